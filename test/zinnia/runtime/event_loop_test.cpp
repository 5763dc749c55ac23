#include "zinnia/runtime/event_loop.hpp"
#include "zinnia/runtime/steady_clock.hpp"

#include <gtest/gtest.h>
#include <thread>
#include <unistd.h>

namespace zinnia::runtime {
namespace {

    // Guards against timers that fire early, out of order, or after they were cancelled.
    TEST(EventLoop, RunsTimersInOrderOfTheirDueTimes)
    {
        ManualClock clock;
        auto loop = std::move(EventLoop::create(clock)).value();
        std::vector<int> fired;
        loop->schedule(Milliseconds { 20 }, [&] { fired.push_back(20); });
        const TimerId cancelled = loop->schedule(Milliseconds { 15 }, [&] { fired.push_back(15); });
        loop->schedule(Milliseconds { 10 }, [&] {
            fired.push_back(10);
            loop->schedule(Milliseconds { 0 }, [&] { fired.push_back(0); });
        });
        loop->cancel(cancelled);
        loop->runOnce(Microseconds { 0 });
        EXPECT_TRUE(fired.empty());
        clock.advance(Milliseconds { 20 });
        loop->runOnce(Microseconds { 0 });
        EXPECT_EQ(fired, (std::vector { 10, 20 }));
        loop->runOnce(Microseconds { 0 });
        EXPECT_EQ(fired, (std::vector { 10, 20, 0 }));
    }

    // Guards against a callback for a descriptor that another callback of the same turn has unwatched.
    TEST(EventLoop, DropsReadinessOfAnUnwatchedDescriptor)
    {
        ManualClock clock;
        auto loop = std::move(EventLoop::create(clock)).value();
        int first[2];
        int second[2];
        ASSERT_EQ(pipe(first) + pipe(second), 0);
        int calls = 0;
        const auto callback = [&](Readiness ready) {
            EXPECT_TRUE(ready.readable);
            ++calls;
            loop->unwatch(first[0]);
            loop->unwatch(second[0]);
        };
        ASSERT_TRUE(loop->watch(first[0], true, false, callback));
        ASSERT_TRUE(loop->watch(second[0], true, false, callback));
        ASSERT_EQ(write(first[1], "x", 1) + write(second[1], "x", 1), 2);
        loop->runOnce(Seconds { 1 });
        loop->runOnce(Microseconds { 0 });
        EXPECT_EQ(calls, 1);
        for (const int fd : { first[0], first[1], second[0], second[1] })
            close(fd);
    }

    // Guards against a lost wake-up between threads: the loop would sleep for its maximum wait.
    TEST(EventLoop, RunsWorkPostedByAnotherThread)
    {
        SteadyClock clock;
        auto loop = std::move(EventLoop::create(clock)).value();
        int sum = 0;
        std::thread other { [&] {
            for (int i = 1; i <= 100; ++i)
                loop->post([&sum, i] { sum += i; });
            loop->post([&] { loop->stop(); });
        } };
        loop->run();
        other.join();
        EXPECT_EQ(sum, 5050);
    }

} // namespace
} // namespace zinnia::runtime
