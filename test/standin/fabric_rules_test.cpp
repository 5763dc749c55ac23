#include "standin/entry_choice.hpp"
#include "standin/link_table.hpp"

#include <gtest/gtest.h>

namespace zinnia::standin {
namespace {

    std::vector<FabricEntry> threeEntries()
    {
        return { { 1, "a", { 1, 1 } }, { 2, "b", { 1, 2 } }, { 3, "c", { 1, 3 } } };
    }

    // Guards against a fabric that keeps a flow on one entry, which would hide forwarding faults.
    TEST(EntryChoice, SpreadsOverAllEntries)
    {
        ManualClock clock;
        for (const ChoiceRule rule : { ChoiceRule::Random, ChoiceRule::RoundRobin }) {
            EntryChoice choice { rule, 1, threeEntries() };
            for (int i = 0; i < 3000; ++i)
                ++choice.next(clock.now())->packetsTo;
            for (const auto& entry : choice.all())
                EXPECT_NEAR(static_cast<double>(entry.packetsTo), 1000, 100) << nameIn(choiceRuleNames, rule);
        }
    }

    // Guards against choices that differ between two runs with the same seed.
    TEST(EntryChoice, IsReproducibleWithTheSameSeed)
    {
        ManualClock clock;
        EntryChoice left { ChoiceRule::Random, 9, threeEntries() };
        EntryChoice right { ChoiceRule::Random, 9, threeEntries() };
        for (int i = 0; i < 100; ++i)
            EXPECT_EQ(left.next(clock.now())->instance, right.next(clock.now())->instance);
    }

    // Guards against packets to a dead entry, and against an entry that is never used again.
    TEST(EntryChoice, ExcludesARefusingEntryForASecond)
    {
        ManualClock clock;
        EntryChoice choice { ChoiceRule::RoundRobin, 1, threeEntries() };
        choice.refused({ 1, 2 }, clock.now());
        for (int i = 0; i < 10; ++i)
            EXPECT_NE(choice.next(clock.now())->instance, InstanceId { 2 });
        choice.refused({ 1, 1 }, clock.now());
        choice.refused({ 1, 3 }, clock.now());
        EXPECT_EQ(choice.next(clock.now()), nullptr);
        clock.advance(Seconds { 1 });
        EXPECT_NE(choice.next(clock.now()), nullptr);
    }

    // Guards against a one-way partition that also drops the reverse direction, and an end of it that removes delays.
    TEST(LinkTable, PartitionsOneDirection)
    {
        LinkTable links { 1 };
        links.set("a", "b", { Microseconds { 1500 }, 0, false });
        links.setPartitioned("a", "b", true);
        EXPECT_FALSE(links.pass("a", "b"));
        EXPECT_EQ(links.pass("b", "a"), Microseconds { 0 });
        links.endPartitions();
        EXPECT_EQ(links.pass("a", "b"), Microseconds { 1500 });
        EXPECT_EQ(links.counters().at({ "a", "b" }).dropped, 1U);
        EXPECT_EQ(links.counters().at({ "a", "b" }).passed, 1U);
    }

    // Guards against a loss rate that differs from the configured one.
    TEST(LinkTable, DropsTheConfiguredShare)
    {
        LinkTable links { 1 };
        links.set(LinkTable::fabric, "a", { Microseconds { 0 }, 0.2, false });
        for (int i = 0; i < 10000; ++i)
            (void)links.pass(LinkTable::fabric, "a");
        EXPECT_NEAR(static_cast<double>(links.counters().at({ "fabric", "a" }).dropped), 2000, 200);
    }

} // namespace
} // namespace zinnia::standin
