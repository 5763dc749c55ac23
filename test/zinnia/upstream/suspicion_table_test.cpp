#include "zinnia/upstream/suspicion_table.hpp"

#include <gtest/gtest.h>

namespace zinnia::upstream {
namespace {

    constexpr UpstreamNumber one { 1 };
    const TimePoint start { Seconds { 1000 } };

    // Guards against a suspicion that never expires because two processes send it to each other.
    TEST(SuspicionTable, RelayedReportDoesNotRenewASuspicion)
    {
        SuspicionTable left;
        SuspicionTable right;
        EXPECT_TRUE(left.report({ one, Milliseconds { 0 } }, start));
        for (Milliseconds at { 0 }; at < SuspicionTable::lifetime; at += Milliseconds { 100 }) {
            for (const auto& suspicion : left.current(start + at))
                (void)right.report(suspicion, start + at);
            for (const auto& suspicion : right.current(start + at))
                (void)left.report(suspicion, start + at);
        }
        EXPECT_TRUE(left.current(start + SuspicionTable::lifetime).empty());
        EXPECT_TRUE(right.current(start + SuspicionTable::lifetime).empty());
    }

    // Guards against an older report that replaces a newer one, and against accepting an expired one.
    TEST(SuspicionTable, KeepsTheNewestReportOfAnUpstream)
    {
        SuspicionTable table;
        EXPECT_FALSE(table.report({ one, SuspicionTable::lifetime }, start));
        EXPECT_TRUE(table.report({ one, Milliseconds { 300 } }, start));
        EXPECT_FALSE(table.report({ one, Milliseconds { 100 } }, start));
        EXPECT_FALSE(table.report({ one, Milliseconds { 900 } }, start));
        ASSERT_EQ(table.current(start).size(), 1U);
        EXPECT_EQ(table.current(start).front().age, Milliseconds { 100 });
    }

    // Guards against more suspicions than fit into a datagram, as when all upstreams of a fleet are lost.
    TEST(SuspicionTable, IsBounded)
    {
        SuspicionTable table;
        for (std::uint64_t number = 1; number <= 10 * SuspicionTable::capacity; ++number)
            (void)table.report({ UpstreamNumber { number }, Milliseconds { 0 } }, start);
        EXPECT_EQ(table.current(start).size(), SuspicionTable::capacity);
    }

} // namespace
} // namespace zinnia::upstream
