#include "zinnia/runtime/event_loop.hpp"
#include "zinnia/runtime/socket_address.hpp"
#include "zinnia/runtime/steady_clock.hpp"
#include "zinnia/runtime/stream_client.hpp"
#include "zinnia/runtime/stream_server.hpp"

#include <gtest/gtest.h>
#include <random>
#include <sys/socket.h>
#include <unistd.h>

namespace zinnia::runtime::test {
namespace {

    constexpr Endpoint anyPort { 0x7f000001, 0 };

    class Stream : public testing::Test {
    protected:
        std::unique_ptr<StreamServer> serve(const Endpoint& address, StreamServer::Handler handler)
        {
            auto server = StreamServer::create(*this->loop, address, std::move(handler));
            EXPECT_TRUE(server.has_value());
            return std::move(server).value();
        }

        bool runUntil(const std::function<bool()>& condition)
        {
            const TimePoint end = this->clock.now() + Seconds { 10 };
            while (!condition()) {
                if (this->clock.now() > end)
                    return false;
                this->loop->runOnce(Milliseconds { 20 });
            }
            return true;
        }

        static std::optional<Bytes> echo(BytesView body) { return Bytes { body.begin(), body.end() }; }

        SteadyClock clock;
        std::unique_ptr<EventLoop> loop = std::move(EventLoop::create(this->clock)).value();
    };

    // Guards against lost or mixed-up bodies, also when they exceed the flow-control windows.
    TEST_F(Stream, AnswersEachBodyWithItsOwn)
    {
        const auto server = this->serve(anyPort, &Stream::echo);
        StreamClientSettings settings;
        settings.timeout = Seconds { 8 };
        StreamClient client { *this->loop, server->address(), settings };
        int matching = 0;
        for (std::size_t i = 0; i < 100; ++i) {
            const Bytes body(i % 10 == 0 ? 3000000 : i, static_cast<std::uint8_t>(i));
            if (i % 10 == 0 && i > 10)
                continue; // two large bodies are enough
            EXPECT_TRUE(client.send(body, [&, body](Result<Bytes, StreamError> answer) {
                matching += answer && answer.value() == body ? 1 : 0;
            }));
        }
        EXPECT_TRUE(this->runUntil([&] { return client.queueSize() == 0; }));
        EXPECT_EQ(matching, 92);
        EXPECT_EQ(server->connectionCount(), 1U);
    }

    // Guards against a client that does not reconnect after its peer was unavailable, or sends twice.
    TEST_F(Stream, ReconnectsAndSendsEachRequestAtMostOnce)
    {
        int received = 0;
        const auto count = [&](BytesView) { return ++received, std::optional<Bytes> { Bytes {} }; };
        auto server = this->serve(anyPort, count);
        const Endpoint address = server->address();
        StreamClientSettings settings;
        settings.timeout = Seconds { 5 };
        StreamClient client { *this->loop, address, settings };
        int answers = 0;
        const auto callback = [&](const Result<Bytes, StreamError>& answer) { answers += answer ? 1 : 0; };
        for (int round = 1; round <= 3; ++round) {
            ASSERT_TRUE(client.send({ 1 }, callback));
            ASSERT_TRUE(this->runUntil([&] { return answers == round; }));
            server.reset();
            ASSERT_TRUE(this->runUntil([&] { return !client.isConnected(); }));
            server = this->serve(address, count);
        }
        EXPECT_EQ(received, 3);
    }

    // Guards against requests that wait for ever, and against a queue that grows without bound.
    TEST_F(Stream, BoundsTheQueueAndTheRequestTime)
    {
        const int unresponsive = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address = internal::socketAddressOf(anyPort);
        socklen_t size = sizeof(address);
        ASSERT_EQ(bind(unresponsive, reinterpret_cast<sockaddr*>(&address), size), 0);
        ASSERT_EQ(listen(unresponsive, 8), 0); // accepts connections, never answers
        ASSERT_EQ(getsockname(unresponsive, reinterpret_cast<sockaddr*>(&address), &size), 0);
        StreamClientSettings settings;
        settings.timeout = Milliseconds { 100 };
        settings.maxQueuedRequests = 3;
        StreamClient client { *this->loop, internal::endpointOf(address), settings };
        int timedOut = 0;
        int lost = 0;
        for (int i = 0; i < 3; ++i) {
            ASSERT_TRUE(client.send({ 1 }, [&](const Result<Bytes, StreamError>& answer) {
                timedOut += answer.error() == StreamError::TimedOut ? 1 : 0;
                lost += answer.error() == StreamError::ConnectionLost ? 1 : 0;
            }));
        }
        EXPECT_EQ(client.send({ 1 }, [](auto) {}).error(), StreamError::QueueFull);
        ASSERT_TRUE(this->runUntil([&] { return client.queueSize() == 0; }));
        EXPECT_EQ(timedOut + lost, 3);
        EXPECT_GE(timedOut, 1);
        close(unresponsive);
    }

    // Guards against an answer for a body that the handler refused.
    TEST_F(Stream, ReportsARefusedBody)
    {
        const auto server = this->serve(anyPort, [](BytesView) { return std::nullopt; });
        StreamClient client { *this->loop, server->address() };
        std::optional<StreamError> error;
        ASSERT_TRUE(client.send({ 1 }, [&](const Result<Bytes, StreamError>& answer) { error = answer.error(); }));
        ASSERT_TRUE(this->runUntil([&] { return error.has_value(); }));
        EXPECT_EQ(*error, StreamError::Refused);
    }

    // Guards against crashes and leaked connections on bytes that are not HTTP/2.
    TEST_F(Stream, ClosesConnectionsThatSendRandomBytes)
    {
        const auto server = this->serve(anyPort, &Stream::echo);
        const sockaddr_in address = internal::socketAddressOf(server->address());
        std::mt19937_64 random { 5 };
        for (int round = 0; round < 200; ++round) {
            const int fd = socket(AF_INET, SOCK_STREAM, 0);
            ASSERT_EQ(connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)), 0);
            std::string bytes = round % 2 == 0 ? "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" : "";
            for (int i = 0; i < 64; ++i)
                bytes.push_back(static_cast<char>(random()));
            ASSERT_EQ(write(fd, bytes.data(), bytes.size()), static_cast<ssize_t>(bytes.size()));
            this->loop->runOnce(Milliseconds { 1 });
            close(fd);
        }
        EXPECT_TRUE(this->runUntil([&] { return server->connectionCount() == 0; }));
    }

} // namespace
} // namespace zinnia::runtime::test
