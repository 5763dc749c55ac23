#include "zinnia/upstream/suspicion_board.hpp"

#include <gtest/gtest.h>

namespace zinnia::upstream {
namespace {

    constexpr UpstreamNumber one { 1 };
    const TimePoint start { Seconds { 1000 } };

    // Guards against a suspicion that never expires because two processes send it to each other.
    TEST(SuspicionTable, RelayedReportDoesNotRenewASuspicion)
    {
        SuspicionBoard left;
        SuspicionBoard right;
        EXPECT_TRUE(left.report({ one, Milliseconds { 0 } }, start));
        for (Milliseconds at { 0 }; at < SuspicionBoard::lifetime; at += Milliseconds { 100 }) {
            for (const auto& suspicion : left.current(start + at))
                (void)right.report(suspicion, start + at);
            for (const auto& suspicion : right.current(start + at))
                (void)left.report(suspicion, start + at);
        }
        EXPECT_TRUE(left.current(start + SuspicionBoard::lifetime).empty());
        EXPECT_TRUE(right.current(start + SuspicionBoard::lifetime).empty());
    }

    // Guards against an older report that replaces a newer one, and against accepting an expired one.
    TEST(SuspicionTable, KeepsTheNewestReportOfAnUpstream)
    {
        SuspicionBoard table;
        EXPECT_FALSE(table.report({ one, SuspicionBoard::lifetime }, start));
        EXPECT_TRUE(table.report({ one, Milliseconds { 300 } }, start));
        EXPECT_FALSE(table.report({ one, Milliseconds { 100 } }, start));
        EXPECT_FALSE(table.report({ one, Milliseconds { 900 } }, start));
        ASSERT_EQ(table.current(start).size(), 1U);
        EXPECT_EQ(table.current(start).front().age, Milliseconds { 100 });
    }

    // Guards against more suspicions than fit into a datagram, as when all upstreams of a fleet are lost.
    TEST(SuspicionTable, IsBounded)
    {
        SuspicionBoard table;
        for (std::uint64_t number = 1; number <= 10 * SuspicionBoard::limit; ++number)
            (void)table.report({ UpstreamNumber { number }, Milliseconds { 0 } }, start);
        EXPECT_EQ(table.current(start).size(), SuspicionBoard::limit);
    }

} // namespace
} // namespace zinnia::upstream
