#include "zinnia/upstream/announcement_limits.hpp"
#include "zinnia/upstream/announcement_table.hpp"

#include <gtest/gtest.h>

namespace zinnia::upstream {
namespace {

    constexpr UpstreamNumber upstreamNumber { 0x7F3A91C2 };
    const TimePoint start { Seconds { 1000 } };

    Announcement announcementOf(std::uint64_t startedAt, std::uint64_t sequence, AnnouncedState state)
    {
        Announcement announcement;
        announcement.number = upstreamNumber;
        announcement.service = "logger";
        announcement.address = { 0x0A800009, 8080 };
        announcement.zone = "a";
        announcement.slots = 2;
        announcement.state = state;
        announcement.version = { startedAt, sequence };
        return announcement;
    }

    // Guards against a late announcement with a lower sequence number that undoes a drain.
    TEST(AnnouncementTable, KeepsTheAnnouncementWithTheHighestSequence)
    {
        AnnouncementTable table { {} };
        EXPECT_EQ(table.merge(announcementOf(5, 4, AnnouncedState::Draining), {}, start), MergeResult::Changed);
        EXPECT_EQ(table.merge(announcementOf(5, 3, AnnouncedState::Ready), {}, start), MergeResult::Stale);
        EXPECT_EQ(table.find(upstreamNumber)->state, AnnouncedState::Draining);
    }

    // Guards against ignoring an upstream that restarts under the same id: its sequence numbers begin again at 1.
    TEST(AnnouncementTable, LaterStartReplacesAnEarlierOne)
    {
        AnnouncementTable table { {} };
        (void)table.merge(announcementOf(5, 900, AnnouncedState::Draining), {}, start);
        (void)table.recordDeparture(upstreamNumber, start);
        EXPECT_EQ(table.merge(announcementOf(5, 901, AnnouncedState::Ready), {}, start), MergeResult::Stale);
        EXPECT_EQ(table.merge(announcementOf(5, 902, AnnouncedState::Draining), {}, start), MergeResult::Stale);
        EXPECT_EQ(table.merge(announcementOf(6, 1, AnnouncedState::Ready), {}, start), MergeResult::Changed);
        EXPECT_EQ(table.find(upstreamNumber)->state, AnnouncedState::Ready);
    }

    constexpr AnnouncementTableSettings departureSettings { .lease = Milliseconds { 4000 },
        .retention = Milliseconds { 60000 } };

    // Guards against a departure that was held up by a partition and ends the next start of the upstream, whose open
    // flows routers then reset (review/5).
    TEST(AnnouncementTable, ALateDepartureOfAnEarlierStartDoesNotEndTheNextOne)
    {
        AnnouncementTable table { departureSettings };
        (void)table.merge(announcementOf(5, 9, AnnouncedState::Draining), {}, start);
        (void)table.merge(announcementOf(6, 4, AnnouncedState::Ready), {}, start + Seconds { 1 });
        (void)table.recordDeparture(upstreamNumber, start + Seconds { 2 });
        EXPECT_NE(table.find(upstreamNumber)->state, AnnouncedState::Gone);
        EXPECT_EQ(
            table.merge(announcementOf(6, 5, AnnouncedState::Ready), {}, start + Seconds { 3 }), MergeResult::Changed);
        (void)table.expire(true, start + Seconds { 6 });
        EXPECT_EQ(table.find(upstreamNumber)->state, AnnouncedState::Ready);
    }

    // Guards against the same when the next start is itself draining, and still has flows, as the departure arrives.
    TEST(AnnouncementTable, ALateDepartureDoesNotEndANextStartThatDrains)
    {
        AnnouncementTable table { departureSettings };
        (void)table.merge(announcementOf(5, 9, AnnouncedState::Draining), {}, start);
        (void)table.merge(announcementOf(6, 4, AnnouncedState::Draining), {}, start + Seconds { 1 });
        (void)table.recordDeparture(upstreamNumber, start + Seconds { 2 });
        for (std::uint64_t i = 0; i < 8; ++i) {
            (void)table.merge(announcementOf(6, 5 + i, AnnouncedState::Draining), {}, start + Seconds { 3 + i });
            (void)table.expire(true, start + Seconds { 3 + i });
            EXPECT_EQ(table.find(upstreamNumber)->state, AnnouncedState::Draining);
        }
    }

    // Guards against an upstream that has left and keeps its flows for a minute, because its departure was in doubt.
    TEST(AnnouncementTable, AnUnconfirmedDepartureCountsOnceTheLeaseEnds)
    {
        for (const AnnouncedState state : { AnnouncedState::Ready, AnnouncedState::Draining }) {
            AnnouncementTable table { departureSettings };
            (void)table.merge(announcementOf(5, 9, AnnouncedState::Ready), {}, start);
            (void)table.merge(announcementOf(6, 4, state), {}, start);
            (void)table.recordDeparture(upstreamNumber, start);
            EXPECT_EQ(table.find(upstreamNumber)->state, AnnouncedState::Draining);
            (void)table.expire(false, start + Seconds { 5 });
            EXPECT_EQ(table.find(upstreamNumber)->state, AnnouncedState::Draining);
            (void)table.expire(true, start + Seconds { 5 });
            EXPECT_EQ(table.find(upstreamNumber)->state, AnnouncedState::Gone);
            EXPECT_EQ(table.recordDeparture(upstreamNumber, start + Seconds { 5 }), MergeResult::Stale);
        }
    }

    // Guards against an upstream that has left and counts as alive, because an announcement that it made before took
    // longer to arrive than its departure.
    TEST(AnnouncementTable, AnAnnouncementMadeBeforeADepartureInDoubtDoesNotUndoIt)
    {
        for (const AnnouncedState state : { AnnouncedState::Ready, AnnouncedState::Draining }) {
            AnnouncementTable table { departureSettings };
            (void)table.merge(announcementOf(5, 9, AnnouncedState::Ready), {}, start);
            (void)table.merge(announcementOf(6, 4, state), {}, start + Seconds { 1 });
            (void)table.recordDeparture(upstreamNumber, start + Seconds { 2 });
            (void)table.merge(
                announcementOf(6, 5, state), Milliseconds { 500 }, start + Seconds { 2 } + Milliseconds { 400 });
            (void)table.expire(true, start + Seconds { 7 });
            EXPECT_EQ(table.find(upstreamNumber)->state, AnnouncedState::Gone);
        }
    }

    // Guards against open flows at an upstream that has drained and left: without an earlier start nothing is in doubt.
    TEST(AnnouncementTable, ADepartureAfterADrainCountsAtOnce)
    {
        AnnouncementTable table { departureSettings };
        (void)table.merge(announcementOf(5, 9, AnnouncedState::Draining), {}, start);
        EXPECT_EQ(table.recordDeparture(upstreamNumber, start), MergeResult::Changed);
        EXPECT_EQ(table.find(upstreamNumber)->state, AnnouncedState::Gone);
    }

    // Guards against control instances that disagree for long after a departure in doubt: gossip has to carry it, and
    // the announcement that follows has to undo it everywhere.
    TEST(AnnouncementTable, GossipCarriesADepartureInDoubtAndItsEnd)
    {
        AnnouncementTable first { departureSettings };
        AnnouncementTable second { departureSettings };
        (void)first.merge(announcementOf(6, 4, AnnouncedState::Ready), {}, start);
        (void)second.merge(announcementOf(6, 4, AnnouncedState::Ready), {}, start);
        (void)first.recordDeparture(upstreamNumber, start);
        const auto exchange = [&](AnnouncementTable& from, AnnouncementTable& to) {
            for (const auto& item : from.takePendingGossip(start))
                (void)to.merge(item.announcement.announcement, item.announcement.age, start);
        };
        exchange(first, second);
        EXPECT_EQ(second.find(upstreamNumber)->state, AnnouncedState::Draining);
        (void)second.merge(announcementOf(6, 5, AnnouncedState::Ready), {}, start);
        exchange(second, first);
        EXPECT_EQ(first.find(upstreamNumber)->state, AnnouncedState::Ready);
        (void)first.expire(true, start + Seconds { 3 });
        EXPECT_EQ(first.find(upstreamNumber)->state, AnnouncedState::Ready);
    }

    // Guards against an instance that was partitioned and marks every upstream as silent when it is connected again.
    TEST(AnnouncementTable, MarksUpstreamsSilentOnlyWhileConnected)
    {
        AnnouncementTable table { { .lease = Milliseconds { 4000 } } };
        (void)table.merge(announcementOf(5, 1, AnnouncedState::Ready), {}, start);
        const TimePoint later = start + Seconds { 5 };
        EXPECT_TRUE(table.expire(false, later).empty());
        EXPECT_EQ(table.expire(true, later), (std::vector { upstreamNumber }));
        EXPECT_EQ(table.find(upstreamNumber)->state, AnnouncedState::Silent);
        // The next announcement shows that the upstream is alive.
        EXPECT_EQ(table.merge(announcementOf(5, 2, AnnouncedState::Ready), {}, later), MergeResult::Changed);
    }

    // Guards against new flows at a draining upstream that has stopped its announcements: silent upstreams get flows if
    // no other is left (soak seed 903).
    TEST(AnnouncementTable, ADrainingUpstreamNeverTurnsSilent)
    {
        AnnouncementTable table { { .lease = Milliseconds { 4000 }, .retention = Milliseconds { 60000 } } };
        (void)table.merge(announcementOf(5, 2, AnnouncedState::Draining), {}, start);
        EXPECT_TRUE(table.expire(true, start + Seconds { 5 }).empty());
        EXPECT_EQ(table.find(upstreamNumber)->state, AnnouncedState::Draining);
        EXPECT_EQ(table.merge(announcementOf(5, 2, AnnouncedState::Silent), {}, start), MergeResult::Stale);
        EXPECT_EQ(table.merge(announcementOf(5, 3, AnnouncedState::Silent), {}, start), MergeResult::Stale);
        EXPECT_EQ(table.find(upstreamNumber)->state, AnnouncedState::Draining);
        // It is gone once its flows cannot be open any more, and forgotten after another retention time.
        const std::uint64_t changeBefore = table.lastChange();
        EXPECT_TRUE(table.expire(true, start + Seconds { 61 }).empty());
        EXPECT_EQ(table.find(upstreamNumber)->state, AnnouncedState::Gone);
        EXPECT_GT(table.lastChange(), changeBefore);
        (void)table.expire(true, start + Seconds { 122 });
        EXPECT_EQ(table.find(upstreamNumber), nullptr);
    }

    // Guards against changes that are lost for a reader that asks in pages, and against renewals that count as changes.
    TEST(AnnouncementTable, ReturnsChangesInPagesWithoutRenewals)
    {
        AnnouncementTable table { {} };
        for (std::uint64_t number = 1; number <= 5; ++number) {
            Announcement announcement = announcementOf(5, 1, AnnouncedState::Ready);
            announcement.number = UpstreamNumber { number };
            (void)table.merge(announcement, {}, start);
        }
        std::uint64_t completeUpTo = 0;
        EXPECT_EQ(table.changedSince(0, 3, completeUpTo, start).size(), 3U);
        EXPECT_EQ(completeUpTo, 3U);
        EXPECT_EQ(table.changedSince(completeUpTo, 3, completeUpTo, start).size(), 2U);
        EXPECT_EQ(completeUpTo, table.lastChange());
        Announcement renewed = announcementOf(5, 2, AnnouncedState::Ready);
        renewed.number = UpstreamNumber { 1 };
        EXPECT_EQ(table.merge(renewed, {}, start), MergeResult::Renewed);
        EXPECT_TRUE(table.changedSince(completeUpTo, 3, completeUpTo, start).empty());
    }

    // Guards against the end of a cold start that shifts by the time for which an announcement was in transit.
    TEST(AnnouncementTable, CarriesTheEndOfAColdStartAsADuration)
    {
        AnnouncementTable table { {} };
        Announcement cold = announcementOf(5, 1, AnnouncedState::Ready);
        cold.coldRemaining = Milliseconds { 2000 };
        (void)table.merge(cold, Milliseconds { 500 }, start);
        const auto all = table.all(start + Milliseconds { 250 });
        ASSERT_EQ(all.size(), 1U);
        EXPECT_EQ(all[0].age, Milliseconds { 750 });
        EXPECT_EQ(all[0].announcement.coldRemaining, Milliseconds { 2000 });
    }

    // Guards against entries of another writer that fill the memory, or the datagrams in which the others are sent
    // (review/4).
    TEST(AnnouncementLimits, NamesTheBoundThatIsExceeded)
    {
        const Announcement sample = announcementOf(5, 4, AnnouncedState::Ready);
        EXPECT_FALSE(findFault(sample));
        Announcement odd = sample;
        odd.service = std::string(70000, 'x');
        EXPECT_EQ(findFault(odd), AnnouncementFault::ServiceTooLong);
        odd = sample;
        odd.zone = std::string(256, 'x');
        EXPECT_EQ(findFault(odd), AnnouncementFault::ZoneTooLong);
        odd = sample;
        odd.slots = 65536;
        EXPECT_EQ(findFault(odd), AnnouncementFault::TooManySlots);
        odd = sample;
        odd.coldRemaining = Milliseconds::max();
        EXPECT_EQ(findFault(odd), AnnouncementFault::ColdTooLong);
        odd = sample;
        odd.version.startedAt = std::numeric_limits<std::uint64_t>::max();
        EXPECT_EQ(findFault(odd), AnnouncementFault::StartOutOfRange);
    }

    // Guards against announcements that name no upstream to use, and against a start in the future, which outranks all
    // later starts of the same upstream.
    TEST(AnnouncementLimits, ChecksEveryFieldOnArrival)
    {
        constexpr Milliseconds now { 1'700'000'000'000 };
        Announcement sample;
        sample.service = "logger";
        sample.zone = "a";
        sample.slots = 2;
        sample.address = { 0x0A000001, 8080 };
        sample.version.startedAt = 1'700'000'000'000;
        EXPECT_FALSE(findArrivalFault(sample, now));
        const auto faultWith = [&](auto&& change) {
            Announcement odd = sample;
            change(odd);
            return findArrivalFault(odd, now);
        };
        EXPECT_EQ(faultWith([](Announcement& odd) { odd.service.clear(); }), AnnouncementFault::NoService);
        EXPECT_EQ(faultWith([](Announcement& odd) { odd.zone.clear(); }), AnnouncementFault::NoZone);
        EXPECT_EQ(faultWith([](Announcement& odd) { odd.slots = 0; }), AnnouncementFault::NoSlots);
        EXPECT_EQ(faultWith([](Announcement& odd) { odd.slots = 70000; }), AnnouncementFault::TooManySlots);
        for (const Endpoint address : { Endpoint { 0x0A000001, 0 }, Endpoint { 0, 8080 }, Endpoint { 0xE0000001, 8080 },
                 Endpoint { 0xFFFFFFFF, 8080 } })
            EXPECT_EQ(
                faultWith([&](Announcement& odd) { odd.address = address; }), AnnouncementFault::AddressNotUsable);
        EXPECT_EQ(
            faultWith([](Announcement& odd) { odd.version.startedAt += 3'600'000; }), AnnouncementFault::StartInFuture);
        EXPECT_FALSE(faultWith([](Announcement& odd) { odd.version.startedAt += 60'000; }));
    }

    // Guards against a table that grows with every name that another writer invents.
    TEST(AnnouncementTable, KeepsLivingUpstreamsWhenItIsFull)
    {
        AnnouncementTable table { { .lease = Milliseconds { 4000 }, .capacity = 2 } };
        const auto announce = [&](std::uint64_t number, TimePoint now) {
            Announcement announcement = announcementOf(5, 4, AnnouncedState::Ready);
            announcement.number = UpstreamNumber { number };
            return table.merge(announcement, {}, now);
        };
        EXPECT_EQ(announce(1, start), MergeResult::Changed);
        EXPECT_EQ(announce(2, start + Seconds { 3 }), MergeResult::Changed);
        EXPECT_EQ(announce(3, start + Seconds { 3 }), MergeResult::TableFull);
        (void)table.expire(true, start + Seconds { 5 });
        EXPECT_EQ(announce(3, start + Seconds { 5 }), MergeResult::Changed);
        EXPECT_EQ(table.find(UpstreamNumber { 1 }), nullptr);
        EXPECT_NE(table.find(UpstreamNumber { 2 }), nullptr);
    }

} // namespace
} // namespace zinnia::upstream
