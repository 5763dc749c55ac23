#include "zinnia/upstream/cold_start.hpp"

#include <gtest/gtest.h>

namespace zinnia::upstream {
namespace {

    constexpr TimePoint start { Seconds { 1000 } };

    // Guards against more than one request at the first step, and against a ramp that does not double.
    TEST(ColdStart, DoublesAfterEachWindowWithoutARefusal)
    {
        ColdStartLimiter limiter { ColdStartSettings {}, start };
        EXPECT_EQ(limiter.slotLimit(16), 1U);
        EXPECT_FALSE(limiter.advance(start + Milliseconds { 999 }));
        EXPECT_TRUE(limiter.advance(start + Milliseconds { 1000 }));
        EXPECT_EQ(limiter.slotLimit(16), 2U);
        limiter.recordRefusal(start + Milliseconds { 1900 });
        EXPECT_FALSE(limiter.advance(start + Milliseconds { 2500 }));
        EXPECT_TRUE(limiter.advance(start + Milliseconds { 2900 }));
        EXPECT_EQ(limiter.slotLimit(16), 4U);
        EXPECT_EQ(limiter.slotLimit(2), 2U);
        limiter.restartRamp(start + Seconds { 3 });
        EXPECT_EQ(limiter.slotLimit(16), 1U);
    }

    // Guards against missing an upstream that is slow, refuses or does not answer, whatever state it announces.
    TEST(ColdDetector, DetectsRefusalsSlowAnswersAndTimeouts)
    {
        ColdDetector detector { ColdStartSettings {} };
        for (int i = 0; i < 10; ++i)
            EXPECT_FALSE(detector.recordAnswer(0, Milliseconds { 20 + i % 3 }));
        EXPECT_FALSE(detector.recordAnswer(0, Milliseconds { 80 }));
        EXPECT_TRUE(detector.recordAnswer(0, Milliseconds { 100 }));
        EXPECT_FALSE(detector.recordAnswer(2, Milliseconds { 400 })) << "each priority has its own median";
        EXPECT_FALSE(detector.recordRefusal());
        EXPECT_FALSE(detector.recordRefusal());
        EXPECT_TRUE(detector.recordRefusal());
        EXPECT_FALSE(detector.recordTimeout());
        (void)detector.recordAnswer(0, Milliseconds { 20 });
        EXPECT_FALSE(detector.recordTimeout());
        EXPECT_FALSE(detector.recordTimeout());
        EXPECT_TRUE(detector.recordTimeout());
    }

} // namespace
} // namespace zinnia::upstream
