#include "zinnia/feed/state_transfer.hpp"

#include <gtest/gtest.h>
#include <random>

namespace zinnia::feed {
namespace {

    constexpr InstanceId one { 1 };
    constexpr InstanceId two { 2 };
    const TimePoint start { Seconds { 1000 } };

    Bytes stateOf(std::uint64_t revision, std::size_t size)
    {
        std::mt19937_64 random { revision };
        Bytes bytes(size);
        for (auto& byte : bytes)
            byte = static_cast<std::uint8_t>(random());
        return bytes;
    }

    /** @brief A control instance whose newest state has a revision and a size. */
    struct Control {
        StateArchive archive;
        std::uint64_t revision {};

        void change(std::uint64_t newRevision, std::size_t size)
        {
            this->revision = newRevision;
            (void)this->archive.sizeOf(newRevision, [&] { return stateOf(newRevision, size); });
        }
    };

    /** @brief Exchanges requests and parts, of which some are lost, until no request is left. */
    void exchange(StateTransfer& transfer, Control& control, InstanceId id, std::optional<OutgoingPartsRequest> request,
        TimePoint now, const std::function<bool()>& isLost)
    {
        while (request) {
            std::optional<OutgoingPartsRequest> next;
            for (const StatePart& part : control.archive.answer(request->request)) {
                if (isLost())
                    continue;
                if (auto more = transfer.receive(id, part, now))
                    next = std::move(more);
            }
            request = std::move(next);
        }
    }

    // Guards against a state that arrives incomplete or mixed, or never, when parts are lost.
    TEST(StateTransfer, ReceivesAStateThoughPartsAreLost)
    {
        for (const std::size_t size : { 1U, 1199U, 1200U, 1201U, 70000U, 500000U }) {
            Control control;
            control.change(5, size);
            std::mt19937_64 random { size };
            StateTransfer transfer { StateSubject::Routing };
            TimePoint now = start;
            auto request = transfer.offer(one, 5, now);
            ASSERT_TRUE(request);
            std::optional<Bytes> state;
            for (int round = 0; round < 200 && !state; ++round) {
                exchange(transfer, control, one, request, now, [&] { return random() % 10 == 0; });
                state = transfer.takeState();
                now += Milliseconds { 150 };
                request = transfer.tick(now);
            }
            ASSERT_TRUE(state) << size;
            EXPECT_EQ(*state, stateOf(5, size));
            EXPECT_FALSE(transfer.isInProgress());
            EXPECT_FALSE(transfer.takeState());
        }
    }

    // Guards against a router that starts again with each change, and never gets a state while they follow each other.
    TEST(StateTransfer, FinishesAStateThoughNewerOnesFollow)
    {
        Control control;
        control.change(5, 100000);
        StateTransfer transfer { StateSubject::Routing };
        auto request = transfer.offer(one, 5, start);
        ASSERT_TRUE(request);
        for (std::uint64_t revision = 6; !transfer.takeState(); ++revision) {
            ASSERT_LT(revision, 9U);
            ASSERT_TRUE(request);
            EXPECT_EQ(request->request.revision, 5U);
            std::optional<OutgoingPartsRequest> next;
            for (const StatePart& part : control.archive.answer(request->request)) {
                if (auto more = transfer.receive(one, part, start))
                    next = std::move(more);
            }
            request = next;
            control.change(revision, 100000);
            EXPECT_FALSE(transfer.offer(one, revision, start));
        }
    }

    // Guards against a router that waits for ever for a revision that the control instance has dropped.
    TEST(StateTransfer, GoesOnWithTheNewestStateIfItsOwnIsNoLongerKept)
    {
        Control control;
        control.change(5, 100000);
        StateTransfer transfer { StateSubject::Routing };
        auto request = transfer.offer(one, 5, start);
        ASSERT_TRUE(request);
        const auto first = control.archive.answer(request->request);
        (void)transfer.receive(one, first.front(), start);
        for (std::uint64_t revision = 6; revision < 20; ++revision)
            control.change(revision, 90000);
        request = transfer.tick(start + Milliseconds { 150 });
        ASSERT_TRUE(request);
        exchange(transfer, control, one, request, start + Milliseconds { 150 }, [] { return false; });
        EXPECT_EQ(transfer.takeState(), stateOf(19, 90000));
    }

    // Guards against a transfer that ends with its control instance, or starts again with the next one.
    TEST(StateTransfer, GoesOnWithAnotherControlInstance)
    {
        Control first;
        Control second;
        first.change(5, 100000);
        second.change(5, 100000);
        StateTransfer transfer { StateSubject::Routing };
        auto request = transfer.offer(one, 5, start);
        ASSERT_TRUE(request);
        // The second request of the router is lost, and the instance stops.
        for (const StatePart& part : first.archive.answer(request->request))
            (void)transfer.receive(one, part, start);
        EXPECT_FALSE(transfer.offer(two, 5, start + Milliseconds { 100 }));
        ASSERT_TRUE(transfer.tick(start + Milliseconds { 150 }));
        request = transfer.offer(two, 5, start + Milliseconds { 155 });
        ASSERT_TRUE(request);
        EXPECT_EQ(request->control, two);
        EXPECT_EQ(request->request.parts.front(), 32U);
        exchange(transfer, second, two, request, start + Milliseconds { 155 }, [] { return false; });
        EXPECT_EQ(transfer.takeState(), stateOf(5, 100000));
    }

    // Guards against a router that never gets a state because the only instance left has an older one than the one
    // whose transfer it began.
    TEST(StateTransfer, TakesAnOlderStateIfTheNewerOneIsOutOfReach)
    {
        Control second;
        second.change(4, 50000);
        StateTransfer transfer { StateSubject::Routing };
        ASSERT_TRUE(transfer.offer(one, 5, start));
        const auto request = transfer.offer(two, 4, start + Milliseconds { 200 });
        ASSERT_TRUE(request);
        exchange(transfer, second, two, request, start + Milliseconds { 200 }, [] { return false; });
        EXPECT_EQ(transfer.takeState(), stateOf(4, 50000));
    }

    // Guards against parts of other states, of other senders or with odd numbers that damage a state or the process.
    TEST(StateTransfer, IgnoresPartsThatDoNotBelongToTheTransfer)
    {
        Control control;
        control.change(5, 5000);
        StateTransfer transfer { StateSubject::Routing };
        StatePart late { StateSubject::Routing, 5, 5000, 1, 0, Bytes(statePartBytes) };
        EXPECT_FALSE(transfer.receive(one, late, start));
        EXPECT_FALSE(transfer.isInProgress());
        const auto request = transfer.offer(one, 5, start);
        ASSERT_TRUE(request);
        const auto parts = control.archive.answer(request->request);
        (void)transfer.receive(one, parts[0], start);
        StatePart odd = parts[1];
        for (const auto& change : std::vector<std::function<void(StatePart&)>> {
                 [](StatePart& part) { part.revision = 4; },
                 [](StatePart& part) { part.part = 4000000000; },
                 [](StatePart& part) { part.stateBytes = 4000000000; },
                 [](StatePart& part) { part.stateBytes = 0; },
                 [](StatePart& part) { part.bytes.clear(); },
                 [](StatePart& part) { part.bytes.resize(1300); },
             }) {
            odd = parts[1];
            change(odd);
            EXPECT_FALSE(transfer.receive(one, odd, start));
        }
        odd = parts[1];
        odd.revision = 6;
        EXPECT_FALSE(transfer.receive(two, odd, start));
        for (const StatePart& part : parts)
            (void)transfer.receive(one, part, start);
        EXPECT_EQ(transfer.takeState(), stateOf(5, 5000));
    }

    // Guards against a damaged state that is taken for an intact one.
    TEST(StateTransfer, RefusesAStateWithAnotherHash)
    {
        Control control;
        control.change(5, 2000);
        StateTransfer transfer { StateSubject::Routing };
        const auto request = transfer.offer(one, 5, start);
        ASSERT_TRUE(request);
        auto parts = control.archive.answer(request->request);
        parts[1].bytes[0] ^= 1U;
        for (const StatePart& part : parts)
            (void)transfer.receive(one, part, start);
        EXPECT_FALSE(transfer.takeState());
        EXPECT_FALSE(transfer.isInProgress());
    }

    // Guards against a control instance that hands out an older state than it was asked for, or encodes a state anew
    // for each router.
    TEST(StateArchive, AnswersWithTheStateAskedForOrANewerOne)
    {
        StateArchive archive;
        int encoded = 0;
        const auto change = [&](std::uint64_t revision) {
            return archive.sizeOf(revision, [&] { return ++encoded, stateOf(revision, 3000); });
        };
        EXPECT_TRUE(archive.answer({ StateSubject::Routing, 1, { 0 } }).empty());
        EXPECT_EQ(change(5), 3000U);
        EXPECT_EQ(change(5), 3000U);
        EXPECT_EQ(encoded, 1);
        EXPECT_TRUE(archive.answer({ StateSubject::Routing, 6, { 0 } }).empty());
        change(7);
        EXPECT_EQ(archive.answer({ StateSubject::Routing, 5, { 0, 2, 3 } }).size(), 2U);
        EXPECT_EQ(archive.answer({ StateSubject::Routing, 6, { 0 } }).front().revision, 7U);
        EXPECT_EQ(archive.answer({ StateSubject::Routing, 7, std::vector<std::uint32_t>(1000) }).size(), 64U);
        // After the loss of its disk an instance begins with an older state.
        change(3);
        EXPECT_TRUE(archive.answer({ StateSubject::Routing, 5, { 0 } }).empty());
    }

} // namespace
} // namespace zinnia::feed
