#include "zinnia/routing/link_pacer.hpp"

#include <gtest/gtest.h>

namespace zinnia::routing::test {
namespace {

    constexpr std::uint64_t rate = 250'000; // bytes per second
    const TimePoint start { Seconds { 1000 } };

    // Guards against a queue in the link, in which the order of packets can no longer be chosen.
    TEST(LinkPacer, KeepsTheQueueOfTheLinkShort)
    {
        LinkPacer pacer { rate };
        int sent = 0;
        while (pacer.isFree(start)) {
            pacer.recordSent(1240, start);
            ++sent;
        }
        // 1,306 bytes with headers take 5.2 ms.
        EXPECT_EQ(sent, 2);
        EXPECT_GT(pacer.timeUntilRefill(start), Milliseconds { 5 });
        EXPECT_LT(pacer.timeUntilRefill(start), Milliseconds { 8 });
        EXPECT_TRUE(pacer.isFree(start + pacer.timeUntilRefill(start)));
    }

    // Guards against a burst after an idle time, and against a rate above that of the link with small packets.
    TEST(LinkPacer, SendsNoMoreThanTheRateOverASecond)
    {
        for (const std::size_t size : { 40U, 300U, 1240U }) {
            LinkPacer pacer { rate };
            std::uint64_t sent = 0;
            for (TimePoint now = start; now < start + Seconds { 1 }; now += Milliseconds { 1 }) {
                while (pacer.isFree(now)) {
                    pacer.recordSent(size, now);
                    sent += size + LinkPacer::headerBytes;
                }
            }
            EXPECT_LE(sent, rate + 15 * rate / 1000) << size;
            EXPECT_GE(sent, rate * 99 / 100) << size;
        }
    }

    TEST(LinkPacer, NeverWaitsWithoutARate)
    {
        LinkPacer pacer { 0 };
        for (int i = 0; i < 100'000; ++i)
            pacer.recordSent(1240, start);
        EXPECT_FALSE(pacer.isLimited());
        EXPECT_TRUE(pacer.isFree(start));
    }

} // namespace
} // namespace zinnia::routing::test
