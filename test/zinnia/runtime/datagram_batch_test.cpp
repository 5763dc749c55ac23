#include "zinnia/runtime/datagram_batch.hpp"
#include "zinnia/runtime/udp_socket.hpp"

#include <gtest/gtest.h>
#include <poll.h>
#include <sys/resource.h>

namespace zinnia::runtime {
namespace {

    const Endpoint anyLocalPort { 0x7F000001, 0 };

    std::vector<Bytes> receiveAll(DatagramReceiver& receiver, const UdpSocket& socket, std::size_t expected)
    {
        std::vector<Bytes> all;
        while (all.size() < expected) {
            pollfd ready { socket.descriptor(), POLLIN, 0 };
            if (::poll(&ready, 1, 2000) <= 0)
                break;
            for (const auto& datagram : receiver.receive(socket.descriptor()))
                all.emplace_back(datagram.bytes.begin(), datagram.bytes.end());
        }
        return all;
    }

    // Guards against lost or reordered datagrams when a flush needs more than one system call for a socket.
    TEST(DatagramBatch, KeepsOrderOverSeveralBatches)
    {
        auto sender = UdpSocket::bind(anyLocalPort);
        auto target = UdpSocket::bind(anyLocalPort);
        ASSERT_TRUE(sender.has_value() && target.has_value());
        DatagramSender out;
        for (std::uint8_t i = 0; i < 150; ++i)
            out.add(sender.value().descriptor(), target.value().localAddress(), Bytes { i }, Bytes { 7, 8 });
        out.flush();
        EXPECT_EQ(out.sent(), 150U);
        DatagramReceiver in;
        const auto received = receiveAll(in, target.value(), 150);
        ASSERT_EQ(received.size(), 150U);
        for (std::uint8_t i = 0; i < 150; ++i)
            EXPECT_EQ(received[i], (Bytes { i, 7, 8 }));
    }

    // Guards against one unreachable destination that blocks the datagrams queued behind it.
    TEST(DatagramBatch, SkipsADatagramThatCannotBeSent)
    {
        auto sender = UdpSocket::bind(anyLocalPort);
        auto target = UdpSocket::bind(anyLocalPort);
        ASSERT_TRUE(sender.has_value() && target.has_value());
        DatagramSender out;
        out.add(sender.value().descriptor(), target.value().localAddress(), Bytes(65536, 0), {});
        out.add(sender.value().descriptor(), target.value().localAddress(), Bytes { 1 }, {});
        out.flush();
        EXPECT_EQ(out.dropped(), 1U);
        DatagramReceiver in;
        EXPECT_EQ(receiveAll(in, target.value(), 1), (std::vector<Bytes> { Bytes { 1 } }));
    }

    // Guards against an exception or a bare error code where a typed error is expected.
    TEST(UdpSocket, ReportsAnAddressInUse)
    {
        auto first = UdpSocket::bind(anyLocalPort);
        ASSERT_TRUE(first.has_value());
        auto second = UdpSocket::bind(first.value().localAddress());
        ASSERT_TRUE(second.has_error());
        EXPECT_EQ(second.error(), SocketError::AddressInUse);
    }

    // Guards against buffers that are written before anything is received: on a small share of a core this delayed the
    // return of a router after a power failure by more than a tenth of a second.
    TEST(DatagramBatch, ReceiverWritesItsBuffersOnlyWhenItReceives)
    {
        constexpr long bufferPages = 1024;
        // The address sanitizer writes one shadow byte for each eight bytes of an allocation.
#if defined(__SANITIZE_ADDRESS__)
        constexpr long allowedPages = 64 + bufferPages / 8;
#else
        constexpr long allowedPages = 64;
#endif
        rusage before {};
        rusage after {};
        ASSERT_EQ(getrusage(RUSAGE_SELF, &before), 0);
        const DatagramReceiver receiver;
        ASSERT_EQ(getrusage(RUSAGE_SELF, &after), 0);
        EXPECT_LT(after.ru_minflt - before.ru_minflt, allowedPages) << "of " << bufferPages;
    }

} // namespace
} // namespace zinnia::runtime
