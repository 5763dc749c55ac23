#include "zinnia/runtime/connection_check.hpp"
#include "zinnia/runtime/event_loop.hpp"
#include "zinnia/runtime/socket_address.hpp"
#include "zinnia/runtime/steady_clock.hpp"

#include <gtest/gtest.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>

namespace zinnia::runtime {
namespace {

    class ConnectionCheckTest : public ::testing::Test {
    protected:
        ConnectionCheckTest()
            : loop { std::move(EventLoop::create(this->clock)).value() }
            , checks { *this->loop }
        {
        }

        /** @brief A socket bound to a free port of the loopback interface. */
        int bindSocket(int backlog)
        {
            const int fd = socket(AF_INET, SOCK_STREAM, 0);
            sockaddr_in address = internal::socketAddressOf({ 0x7F000001, 0 });
            EXPECT_EQ(bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)), 0);
            if (backlog >= 0) {
                EXPECT_EQ(listen(fd, backlog), 0);
            }
            socklen_t size = sizeof(address);
            EXPECT_EQ(getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size), 0);
            this->bound = { 0x7F000001, ntohs(address.sin_port) };
            return fd;
        }

        std::optional<bool> check(Milliseconds timeout)
        {
            std::optional<bool> result;
            EXPECT_TRUE(this->checks.check(this->bound, timeout, [&](bool connected) { result = connected; }));
            EXPECT_FALSE(result) << "not before the call returns";
            const auto end = this->loop->now() + Seconds { 2 };
            while (!result && this->loop->now() < end)
                this->loop->runOnce(Milliseconds { 10 });
            return result;
        }

        SteadyClock clock;
        std::unique_ptr<EventLoop> loop;
        ConnectionCheck checks;
        Endpoint bound;
    };

    // Guards against inverted results, and against a check that never finishes.
    TEST_F(ConnectionCheckTest, DistinguishesListenersRefusalsAndTimeouts)
    {
        const int listening = this->bindSocket(8);
        EXPECT_EQ(this->check(Milliseconds { 500 }), true);
        close(listening);
        const int closed = this->bindSocket(-1);
        EXPECT_EQ(this->check(Milliseconds { 500 }), false);
        close(closed);
        // With a full accept queue, further connection attempts get no answer.
        const int full = this->bindSocket(0);
        const int first = socket(AF_INET, SOCK_STREAM, 0);
        const sockaddr_in address = internal::socketAddressOf(this->bound);
        ASSERT_EQ(connect(first, reinterpret_cast<const sockaddr*>(&address), sizeof(address)), 0);
        EXPECT_EQ(this->check(Milliseconds { 100 }), false);
        close(first);
        close(full);
    }

    // The process is paused during a check. Guards against a timeout that is due together with the open connection and
    // counts as a failure, after which the router would reset the flows of a live upstream.
    TEST_F(ConnectionCheckTest, APauseOfThisProcessIsNoFailure)
    {
        ManualClock pausedClock;
        const auto pausedLoop = std::move(EventLoop::create(pausedClock)).value();
        ConnectionCheck pausedChecks { *pausedLoop };
        const int listening = this->bindSocket(8);
        std::optional<bool> result;
        EXPECT_TRUE(pausedChecks.check(this->bound, Milliseconds { 80 }, [&](bool connected) { result = connected; }));
        pausedClock.advance(Seconds { 5 });
        pausedLoop->runOnce(Milliseconds { 0 });
        EXPECT_EQ(result, true);
        close(listening);
    }

    // Guards against unbounded use of descriptors when many upstreams do not answer at the same time.
    TEST_F(ConnectionCheckTest, RefusesMoreThanTheLimit)
    {
        const int listening = this->bindSocket(8);
        std::size_t ended = 0;
        for (std::size_t i = 0; i < ConnectionCheck::limit; ++i)
            EXPECT_TRUE(this->checks.check(this->bound, Milliseconds { 50 }, [&](bool) { ++ended; }));
        EXPECT_FALSE(this->checks.check(this->bound, Milliseconds { 50 }, [](bool) {}));
        const auto end = this->loop->now() + Seconds { 2 };
        while (ended < ConnectionCheck::limit && this->loop->now() < end)
            this->loop->runOnce(Milliseconds { 10 });
        EXPECT_EQ(ended, ConnectionCheck::limit);
        EXPECT_TRUE(this->checks.check(this->bound, Milliseconds { 50 }, [](bool) {}));
        close(listening);
    }

} // namespace
} // namespace zinnia::runtime
