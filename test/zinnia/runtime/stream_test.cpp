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

    /** @brief Forwards one connection to a server, at a limited rate in its direction. */
    class SlowRelay {
    public:
        /** @param bytesPerTurn Bytes forwarded in 5 ms. */
        SlowRelay(EventLoop& loop, const Endpoint& target, std::size_t bytesPerTurn)
            : loop { &loop }
            , target { internal::socketAddressOf(target) }
            , bytesPerTurn { bytesPerTurn }
            , listener { socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0) }
        {
            const int receiveBuffer = 16 << 10;
            setsockopt(this->listener, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
            sockaddr_in address = internal::socketAddressOf(anyPort);
            socklen_t size = sizeof(address);
            bind(this->listener, reinterpret_cast<sockaddr*>(&address), size);
            listen(this->listener, 8);
            getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &size);
            this->address = internal::endpointOf(address);
            this->turn();
        }
        ~SlowRelay()
        {
            this->loop->cancel(this->timer);
            for (const int fd : { this->listener, this->caller, this->server }) {
                if (fd >= 0)
                    close(fd);
            }
        }
        SlowRelay(const SlowRelay&) = delete;
        SlowRelay& operator=(const SlowRelay&) = delete;

        Endpoint address;

    private:
        void turn()
        {
            this->timer = this->loop->schedule(Milliseconds { 5 }, [this] { this->turn(); });
            if (this->caller < 0) {
                this->caller = accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK);
                if (this->caller < 0)
                    return;
                this->server = socket(AF_INET, SOCK_STREAM, 0);
                connect(this->server, reinterpret_cast<const sockaddr*>(&this->target), sizeof(this->target));
            }
            Bytes buffer(1U << 20U);
            const ssize_t forward = recv(this->caller, buffer.data(), this->bytesPerTurn, MSG_DONTWAIT);
            if (forward > 0)
                send(this->server, buffer.data(), static_cast<std::size_t>(forward), 0);
            const ssize_t back = recv(this->server, buffer.data(), buffer.size(), MSG_DONTWAIT);
            if (back > 0)
                send(this->caller, buffer.data(), static_cast<std::size_t>(back), 0);
        }

        EventLoop* loop;
        sockaddr_in target;
        std::size_t bytesPerTurn;
        TimerId timer;
        int listener = -1;
        int caller = -1;
        int server = -1;
    };

    // Guards against a large body that is sent from the start for ever, because it takes longer than a request may wait
    // for its answer; and against small ones that have to wait until it was sent.
    TEST_F(Stream, SendsALargeBodyOverASlowLink)
    {
        const auto server = this->serve(anyPort, &Stream::echo);
        // 0.8 MB/s.
        SlowRelay relay { *this->loop, server->address(), 4U << 10U };
        StreamClientSettings settings;
        settings.timeout = Milliseconds { 1000 };
        StreamClient client { *this->loop, relay.address, settings };
        std::optional<bool> largeArrived;
        const Bytes large(3U << 20U, 7);
        const TimePoint start = this->clock.now();
        Microseconds longest {};
        ASSERT_TRUE(client.send(large,
            [&](const Result<Bytes, StreamError>& answer) { largeArrived = answer && answer.value() == large; }));
        int smallArrived = 0;
        for (int i = 0; i < 5; ++i) {
            bool done = false;
            const TimePoint sentAt = this->clock.now();
            ASSERT_TRUE(client.send({ 1 }, [&](const Result<Bytes, StreamError>& answer) {
                done = true;
                smallArrived += answer ? 1 : 0;
            }));
            ASSERT_TRUE(this->runUntil([&] { return done; }));
            EXPECT_FALSE(largeArrived.has_value());
            longest = std::max(longest, this->clock.now() - sentAt);
        }
        ASSERT_TRUE(this->runUntil([&] { return largeArrived.has_value(); }));
        EXPECT_TRUE(*largeArrived);
        EXPECT_EQ(smallArrived, 5);
        // Heartbeats have to arrive within the shortest election timeout.
        EXPECT_LT(longest, Milliseconds { 500 });
        EXPECT_GT(this->clock.now() - start, 2 * settings.timeout);
    }

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
        // The socket takes the first part of a large body; this is no progress later on.
        const TimePoint start = this->clock.now();
        ASSERT_TRUE(client.send(Bytes(32U << 20U), [&](const Result<Bytes, StreamError>&) { ++timedOut; }));
        ASSERT_TRUE(this->runUntil([&] { return client.queueSize() == 0; }));
        EXPECT_LT(this->clock.now() - start, Seconds { 2 });
        close(unresponsive);
    }

    // Guards against peers that hold the memory of the process with bodies that they do not complete, and against
    // their connections, which keep others from connecting.
    TEST_F(Stream, UnfinishedBodiesOfAllConnectionsShareABudget)
    {
        ByteBudget budget { 1U << 20U };
        std::array<int, 2> pair {};
        ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, pair.data()), 0);
        std::size_t received = 0;
        std::size_t reset = 0;
        Http2Connection server { *this->loop, pair[0], Http2Connection::Side::Server,
            { [&](std::int32_t, bool, const Bytes& body) { received += body.size(); }, [](std::int32_t) {}, [] {} },
            &budget };
        Http2Connection client { *this->loop, pair[1], Http2Connection::Side::Client,
            { [](std::int32_t, bool, const Bytes&) {}, [&](std::int32_t) { ++reset; }, [] {} } };
        Bytes tooLarge(2U << 20U, 7);
        ASSERT_TRUE(client.post(tooLarge));
        ASSERT_TRUE(this->runUntil([&] { return reset == 1; }));
        EXPECT_EQ(received, 0U);
        EXPECT_EQ(budget.usedBytes(), 0U);
        Bytes small(1U << 19U, 7);
        ASSERT_TRUE(client.post(small));
        ASSERT_TRUE(this->runUntil([&] { return received == 1U << 19U; }));
        EXPECT_EQ(budget.usedBytes(), 0U);
    }

    // Guards against a stranger that holds the whole budget with a body that it does not complete, so that the messages
    // of the group are refused for good.
    TEST_F(Stream, AnUnfinishedBodyMakesRoomForOthers)
    {
        ByteBudget budget { 1U << 20U };
        ByteBudget::Share unfinished;
        ASSERT_TRUE(unfinished.grow(budget, 1U << 20U));
        std::array<int, 2> pair {};
        ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, pair.data()), 0);
        std::size_t received = 0;
        std::size_t reset = 0;
        bool canMakeRoom = false;
        Http2Connection::Callbacks callbacks { [&](std::int32_t, bool, const Bytes& body) { received += body.size(); },
            [](std::int32_t) {}, [] {} };
        callbacks.makeRoom = [&] {
            if (canMakeRoom)
                unfinished.release();
            return canMakeRoom;
        };
        Http2Connection server { *this->loop, pair[0], Http2Connection::Side::Server, callbacks, &budget };
        Http2Connection client { *this->loop, pair[1], Http2Connection::Side::Client,
            { [](std::int32_t, bool, const Bytes&) {}, [&](std::int32_t) { ++reset; }, [] {} } };
        Bytes first(1000, 7);
        ASSERT_TRUE(client.post(first));
        ASSERT_TRUE(this->runUntil([&] { return reset == 1; }));
        canMakeRoom = true;
        Bytes second(1000, 7);
        ASSERT_TRUE(client.post(second));
        EXPECT_TRUE(this->runUntil([&] { return received == 1000; }));
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
