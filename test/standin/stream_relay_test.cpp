#include "standin/stream_relay.hpp"
#include "zinnia/runtime/event_loop.hpp"
#include "zinnia/runtime/steady_clock.hpp"

#include <gtest/gtest.h>

namespace zinnia::standin {
namespace {

    struct StreamRelayTest : testing::Test {
        runtime::SteadyClock clock;
        std::unique_ptr<runtime::EventLoop> loop = std::move(runtime::EventLoop::create(this->clock).value());
        LinkTable links { 1 };
        Poco::Net::ServerSocket server { Poco::Net::SocketAddress { "127.0.0.1:0" } };
        Endpoint listen = [] {
            const Poco::Net::ServerSocket free { Poco::Net::SocketAddress { "127.0.0.1:0" } };
            return *Endpoint::parse(free.address().toString());
        }();
        std::unique_ptr<StreamRelay> relay = StreamRelay::open(*this->loop, this->links,
            { this->listen, *Endpoint::parse(this->server.address().toString()), "b", "a" }, {});

        void runLoop()
        {
            const TimePoint end = this->clock.now() + Milliseconds { 60 };
            while (this->clock.now() < end)
                this->loop->runOnce(Milliseconds { 5 });
        }
        /** @return The bytes that have arrived at the socket; "end" at the end of the stream. */
        static std::string arrived(Poco::Net::StreamSocket& socket)
        {
            if (!socket.poll(Poco::Timespan { 0 }, Poco::Net::Socket::SELECT_READ))
                return "";
            std::array<char, 100> buffer {};
            const int size = socket.receiveBytes(buffer.data(), buffer.size());
            return size == 0 ? "end" : std::string(buffer.data(), static_cast<std::size_t>(size));
        }
        static void send(Poco::Net::StreamSocket& socket, const std::string& text)
        {
            socket.sendBytes(text.data(), static_cast<int>(text.size()));
        }
    };

    // Guards against a partition that closes a connection or loses bytes of the stream.
    TEST_F(StreamRelayTest, APartitionIsOneWayAndClosesNoConnection)
    {
        ASSERT_TRUE(this->relay);
        Poco::Net::StreamSocket caller { Poco::Net::SocketAddress { this->listen.toString() } };
        this->runLoop();
        Poco::Net::StreamSocket target = this->server.acceptConnection();
        send(caller, "one");
        this->runLoop();
        EXPECT_EQ(arrived(target), "one");
        this->links.setPartitioned("a", "b", true);
        send(caller, "two");
        send(target, "back");
        this->runLoop();
        EXPECT_EQ(arrived(target), "");
        EXPECT_EQ(arrived(caller), "back");
        caller.shutdownSend();
        this->runLoop();
        EXPECT_EQ(arrived(target), "");
        this->links.endPartitions();
        this->runLoop();
        EXPECT_EQ(arrived(target), "two");
        EXPECT_EQ(arrived(target), "end");
        target.close();
        this->runLoop();
        EXPECT_EQ(arrived(caller), "end");
        EXPECT_EQ(this->relay->connections(), 0U);
    }

    // Guards against connections that reach the target although the reverse direction is partitioned.
    TEST_F(StreamRelayTest, NoNewConnectionDuringAPartition)
    {
        this->links.setPartitioned("b", "a", true);
        const Poco::Net::StreamSocket caller { Poco::Net::SocketAddress { this->listen.toString() } };
        this->runLoop();
        EXPECT_FALSE(this->server.poll(Poco::Timespan { 0 }, Poco::Net::Socket::SELECT_READ));
        this->links.endPartitions();
        this->runLoop();
        EXPECT_TRUE(this->server.poll(Poco::Timespan { 0 }, Poco::Net::Socket::SELECT_READ));
    }

    // Guards against a connection that stays open when no socket listens at the target.
    TEST_F(StreamRelayTest, ClosesWhenTheTargetRefuses)
    {
        this->server.close();
        Poco::Net::StreamSocket caller { Poco::Net::SocketAddress { this->listen.toString() } };
        this->runLoop();
        EXPECT_EQ(arrived(caller), "end");
        EXPECT_EQ(this->relay->accepted(), 1U);
    }

} // namespace
} // namespace zinnia::standin
