#include "zinnia/request/owner.hpp"

#include <algorithm>
#include <gtest/gtest.h>

namespace zinnia::request {
namespace {

    constexpr ServiceId service { 1 };
    constexpr Endpoint caller { 1, 7 };
    constexpr PeerProcess self { InstanceId { 1 }, Epoch { 1 } };
    constexpr PeerProcess homePeer { InstanceId { 2 }, Epoch { 1 } };

    template <class T> std::vector<T> collect(const OwnerActions& actions)
    {
        std::vector<T> found;
        for (const auto& action : actions) {
            if (const auto* match = std::get_if<T>(&action))
                found.push_back(*match);
        }
        return found;
    }

    class OwnerTest : public testing::Test {
    protected:
        OwnerTest()
        {
            (void)this->handle(LeaseExtended { this->now + Seconds { 1000 } });
            for (std::uint64_t id = 1; id <= 3; ++id) {
                upstream::UpstreamInfo info;
                info.id = UpstreamId { id };
                info.state = upstream::UpstreamState::Ready;
                (void)this->handle(UpstreamsUpdated { { info }, {} });
                (void)this->handle(HomeChanged { info.id, homePeer });
            }
        }

        OwnerActions handle(const OwnerEvent& event) { return this->owner.handle(event, this->now); }

        OwnerActions receiveRequest(std::uint16_t messageId, std::uint8_t code = coap::get, bool observes = false)
        {
            CoapMessage message;
            message.code = code;
            message.messageId = messageId;
            message.token = { 5 };
            if (observes)
                message.addUint(coap::observe, 0);
            return this->handle(RequestReceived { service, caller, {}, BucketIndex { 3 },
                { UpstreamId { 1 }, UpstreamId { 2 }, UpstreamId { 3 } }, std::nullopt, message });
        }

        /** @return The first dispatched request, or one with attempt 0 if there is none. */
        static DispatchRequest firstDispatch(const OwnerActions& actions)
        {
            for (const auto& action : collect<SendToPeer>(actions)) {
                if (const auto* request = std::get_if<DispatchRequest>(&action.message))
                    return *request;
            }
            return {};
        }

        OwnerActions receiveResult(
            const DispatchRequest& request, ResultKind kind, std::optional<std::uint32_t> observe = {})
        {
            RequestResult result { request.id, request.attempt, request.upstream, kind, {}, {}, {} };
            result.answer.code = coap::content;
            result.answer.payload = { 1, 2, 3 };
            if (observe)
                result.answer.addUint(coap::observe, *observe);
            return this->handle(ResultReceived { homePeer.instance, result });
        }

        RequestOwner owner { OwnerSettings {}, self };
        TimePoint now { Seconds { 1000 } };
    };

    // Guards against a retransmission that runs again or does not get the cached answer.
    TEST_F(OwnerTest, AnswersRetransmissionsFromTheCachedAnswer)
    {
        const auto request = firstDispatch(this->receiveRequest(7));
        const auto first = collect<SendToCaller>(this->receiveResult(request, ResultKind::Answered)).front().message;
        EXPECT_EQ(first.type, CoapType::Acknowledgement);
        EXPECT_EQ(first.messageId, 7);
        const auto again = this->receiveRequest(7);
        EXPECT_EQ(collect<SendToCaller>(again).front().message, first);
        EXPECT_TRUE(collect<SendToPeer>(again).empty());
        this->now += Seconds { 248 };
        (void)this->handle(OwnerTick {});
        EXPECT_EQ(this->owner.size(), 0U) << "the cached answer expires after EXCHANGE_LIFETIME";
    }

    // Guards against a separate response that is not retransmitted, and against one that is retransmitted for ever.
    TEST_F(OwnerTest, SeparateAnswerIsRetransmittedUntilAcknowledged)
    {
        const auto request = firstDispatch(this->receiveRequest(7));
        EXPECT_EQ(collect<SendToCaller>(this->receiveRequest(7)).front().message.code, coap::empty);
        const auto sent = collect<SendToCaller>(this->receiveResult(request, ResultKind::Answered)).front().message;
        EXPECT_EQ(sent.type, CoapType::Confirmable);
        this->now += Milliseconds { 2000 };
        EXPECT_EQ(collect<SendToCaller>(this->handle(OwnerTick {})).front().message, sent);
        CoapMessage acknowledgement;
        acknowledgement.type = CoapType::Acknowledgement;
        acknowledgement.messageId = sent.messageId;
        (void)this->handle(CallerEmptyMessage { service, caller, acknowledgement });
        this->now += Seconds { 60 };
        EXPECT_TRUE(collect<SendToCaller>(this->handle(OwnerTick {})).empty());
    }

    // Guards against unbounded retries, and against a refusal that a retry could have avoided.
    TEST_F(OwnerTest, RetriesRequestsThatDidNotRunUntilTheBudgetIsSpent)
    {
        std::size_t retried = 0;
        for (std::uint16_t id = 1; id <= 100; ++id) {
            auto actions = this->receiveRequest(id, coap::post);
            for (auto request = firstDispatch(actions); request.attempt != 0; request = firstDispatch(actions)) {
                actions = this->receiveResult(request, ResultKind::NotRun);
                retried += collect<RequestRetried>(actions).size();
            }
            EXPECT_EQ(collect<RequestEnded>(actions).front().outcome, RequestOutcome::NotRun);
        }
        EXPECT_EQ(retried, 19U)
            << "a burst of 10 and a tenth of 100 requests, less what was earned while the budget was full";
    }

    // Guards against a retry of a non-idempotent request with an unknown outcome when its home fails.
    TEST_F(OwnerTest, LostHomeMeansUnknownUnlessIdempotent)
    {
        (void)this->receiveRequest(1, coap::post);
        (void)this->receiveRequest(2, coap::get);
        const auto actions = this->handle(PeerLost { homePeer });
        const auto ended = collect<RequestEnded>(actions);
        ASSERT_EQ(ended.size(), 1U);
        EXPECT_EQ(ended.front().outcome, RequestOutcome::Unknown);
        EXPECT_EQ(collect<RequestRetried>(actions).front().reason, RetryReason::HomeChanged);
    }

    // Guards against an observation that ends when its home fails, against Observe values that decrease, and against an
    // observation that a reset of the caller does not end.
    TEST_F(OwnerTest, ObservationMovesToTheNewHomeAndEndsWithAReset)
    {
        const auto request = firstDispatch(this->receiveRequest(7, coap::get, true));
        (void)this->receiveResult(request, ResultKind::Answered, 10);
        EXPECT_EQ(collect<SendToCaller>(this->receiveResult(request, ResultKind::Notification, 12)).size(), 1U);
        EXPECT_TRUE(collect<SendToCaller>(this->receiveResult(request, ResultKind::Notification, 11)).empty());
        const auto moved = firstDispatch(
            this->handle(HomeChanged { UpstreamId { 1 }, PeerProcess { homePeer.instance, Epoch { 2 } } }));
        EXPECT_EQ(moved.attempt, 2U);
        const auto next = collect<SendToCaller>(this->receiveResult(moved, ResultKind::Answered, 1)).front().message;
        EXPECT_EQ(next.uintOption(coap::observe), 3U) << "the Observe value continues at the new home";
        CoapMessage reset;
        reset.type = CoapType::Reset;
        reset.messageId = next.messageId;
        const auto cancelled = collect<SendToPeer>(this->handle(CallerEmptyMessage { service, caller, reset }));
        ASSERT_EQ(cancelled.size(), 1U);
        EXPECT_TRUE(std::holds_alternative<CancelRequest>(cancelled.front().message));
        EXPECT_TRUE(collect<SendToCaller>(this->receiveResult(moved, ResultKind::Notification, 2)).empty());
    }

    constexpr InstanceId otherOwner { 9 };

    /** @brief Requests within `OwnerSettings::ageMargin` after a planned change of the owner to or from this entry. */
    class TakeoverTest : public OwnerTest {
    protected:
        OwnerActions takeBucketOver()
        {
            return this->handle(OwnershipTaken { service, { bucket }, { { bucket, otherOwner } } });
        }

        OwnerActions receiveRequestWithAge(std::uint16_t messageId, Milliseconds age)
        {
            CoapMessage message;
            message.type = CoapType::Confirmable;
            message.code = coap::post;
            message.messageId = messageId;
            message.token = { 5 };
            message.addUint(coap::age, static_cast<std::uint64_t>(age.count()));
            return this->handle(
                RequestReceived { service, caller, {}, bucket, { UpstreamId { 1 } }, std::nullopt, message });
        }

        OwnerActions acknowledge(const RecordRequest& record, RefusalReason reason)
        {
            return this->handle(RecordAckReceived { otherOwner, { record.id, reason, {} } });
        }

        /** @brief Handles the query of the instance that took the bucket over from this one. */
        OwnerActions queryByNewOwner(std::uint16_t messageId, Milliseconds maxCopyAge)
        {
            RecordRequest record;
            record.id = { otherOwner, Epoch { 1 }, messageId };
            record.key = { service, caller, messageId, { 5 } };
            record.bucket = bucket;
            record.confirmable = true;
            record.maxCopyAge = maxCopyAge;
            return this->handle(RecordReceived { otherOwner, record });
        }

        static std::vector<RecordRequest> records(const OwnerActions& actions)
        {
            std::vector<RecordRequest> found;
            for (const auto& action : collect<SendToPeer>(actions)) {
                if (const auto* record = std::get_if<RecordRequest>(&action.message))
                    found.push_back(*record);
            }
            return found;
        }

        static std::optional<RefusalReason> ackOf(const OwnerActions& actions)
        {
            for (const auto& action : collect<SendToPeer>(actions)) {
                if (const auto* ack = std::get_if<RecordRequestAck>(&action.message))
                    return ack->reason;
            }
            return std::nullopt;
        }

        static constexpr BucketIndex bucket { 3 };
        static constexpr Milliseconds margin { OwnerSettings {}.ageMargin };
    };

    // Guards against the refusal of a request whose first copy arrives just after a planned stop of its owner.
    TEST_F(TakeoverTest, RunsARequestUnknownToThePreviousOwner)
    {
        (void)this->takeBucketOver();
        this->now += Milliseconds { 100 };
        const OwnerActions query = this->receiveRequestWithAge(7, Milliseconds { 0 });
        ASSERT_EQ(records(query).size(), 1U);
        EXPECT_EQ(records(query).front().maxCopyAge, margin);
        EXPECT_EQ(firstDispatch(query).attempt, 0U) << "not before the previous owner has answered";
        const auto request = firstDispatch(this->acknowledge(records(query).front(), RefusalReason::None));
        EXPECT_EQ(request.attempt, 1U);
        const OwnerActions ended = this->receiveResult(request, ResultKind::Answered);
        EXPECT_EQ(collect<SendToCaller>(ended).size(), 1U);
        ASSERT_EQ(records(ended).size(), 1U);
        EXPECT_TRUE(records(ended).front().finished);
    }

    // Guards against a second run, and against an answer that contradicts that of the previous owner.
    TEST_F(TakeoverTest, LeavesAKnownRequestToThePreviousOwner)
    {
        (void)this->takeBucketOver();
        const OwnerActions query = this->receiveRequestWithAge(7, Milliseconds { 0 });
        const OwnerActions known = this->acknowledge(records(query).front(), RefusalReason::AlreadyRecorded);
        EXPECT_EQ(firstDispatch(known).attempt, 0U);
        EXPECT_TRUE(collect<SendToCaller>(known).empty());
    }

    // Guards against a caller that never gets an outcome because the previous owner failed with the request in
    // progress.
    TEST_F(TakeoverTest, AnswersTheCallerIfThePreviousOwnerFailsWithTheRequest)
    {
        (void)this->takeBucketOver();
        for (const bool isFinished : { false, true }) {
            const std::uint16_t messageId = isFinished ? 8 : 7;
            const RecordRequest query = records(this->receiveRequestWithAge(messageId, Milliseconds { 0 })).front();
            const RequestId copy { otherOwner, Epoch { 1 }, messageId };
            (void)this->handle(RecordAckReceived { otherOwner, { query.id, RefusalReason::AlreadyRecorded, copy } });
            if (isFinished)
                (void)this->handle(
                    RecordReceived { otherOwner, { copy, query.key, bucket, true, true, Milliseconds { 0 } } });
        }
        const auto answers = collect<SendToCaller>(this->handle(PeerLost { { otherOwner, Epoch { 1 } } }));
        ASSERT_EQ(answers.size(), 1U) << "the previous owner has answered the other request";
        EXPECT_EQ(answers.front().message.uintOption(coap::outcome), 2U) << "coap::Outcome::Unknown";
    }

    // Guards against a request that runs although the only instance that may have an earlier copy cannot be queried.
    TEST_F(TakeoverTest, AnswersUnknownIfThePreviousOwnerCannotAnswer)
    {
        const auto isUnknown = [](const OwnerActions& actions) {
            const auto ended = collect<RequestEnded>(actions);
            return ended.size() == 1 && ended.front().outcome == RequestOutcome::Unknown
                && firstDispatch(actions).attempt == 0;
        };
        (void)this->takeBucketOver();
        const OwnerActions query = this->receiveRequestWithAge(7, Milliseconds { 0 });
        EXPECT_TRUE(isUnknown(this->acknowledge(records(query).front(), RefusalReason::OutcomeUnknown)));
        (void)this->receiveRequestWithAge(8, Milliseconds { 0 });
        EXPECT_TRUE(isUnknown(this->handle(PeerLost { { otherOwner, Epoch { 1 } } })));
        EXPECT_TRUE(isUnknown(this->receiveRequestWithAge(9, Milliseconds { 0 })))
            << "no previous owner is left to query";
        (void)this->takeBucketOver();
        EXPECT_EQ(records(this->receiveRequestWithAge(10, Milliseconds { 0 })).size(), 1U);
        this->now += Milliseconds { 200 };
        EXPECT_EQ(records(this->handle(OwnerTick {})).size(), 1U) << "the query is retried";
        this->now += OwnerSettings {}.recordTimeout;
        EXPECT_TRUE(isUnknown(this->handle(OwnerTick {})));
    }

    // Guards against a previous owner that runs a late retransmission, or does not repeat its cached answer.
    TEST_F(TakeoverTest, PreviousOwnerRepeatsItsAnswerAndRunsNoLateRetransmission)
    {
        (void)this->takeBucketOver();
        this->now += Seconds { 10 };
        const auto request = firstDispatch(this->receiveRequestWithAge(7, Milliseconds { 0 }));
        const auto answer = collect<SendToCaller>(this->receiveResult(request, ResultKind::Answered)).front().message;
        EXPECT_FALSE(ackOf(this->queryByNewOwner(7, margin))) << "this entry does not know of the change yet";
        (void)this->handle(OwnershipLost { service, { bucket }, {} });
        const OwnerActions repeated = this->queryByNewOwner(7, margin);
        EXPECT_EQ(ackOf(repeated), RefusalReason::AlreadyRecorded);
        ASSERT_FALSE(collect<SendToCaller>(repeated).empty());
        EXPECT_EQ(collect<SendToCaller>(repeated).front().message, answer);
        EXPECT_EQ(ackOf(this->queryByNewOwner(8, margin)), RefusalReason::None);
        EXPECT_EQ(ackOf(this->queryByNewOwner(8, margin)), RefusalReason::None)
            << "a duplicate query gets the same answer";
        EXPECT_EQ(firstDispatch(this->receiveRequestWithAge(8, Milliseconds { 0 })).attempt, 0U)
            << "recorded for the new owner";
    }

    // Guards against the answer "no copy known" from an entry that did not own the bucket when the first copy may have
    // arrived.
    TEST_F(TakeoverTest, PreviousOwnerAnswersOnlyForTheTimeWhenItOwnedTheBucket)
    {
        EXPECT_EQ(ackOf(this->queryByNewOwner(7, margin)), RefusalReason::OutcomeUnknown) << "never owned";
        (void)this->takeBucketOver();
        this->now += Milliseconds { 100 };
        (void)this->handle(OwnershipLost { service, { bucket }, {} });
        EXPECT_EQ(ackOf(this->queryByNewOwner(7, margin)), RefusalReason::OutcomeUnknown);
        this->now += margin;
        EXPECT_EQ(ackOf(this->queryByNewOwner(7, margin)), RefusalReason::None);
        EXPECT_EQ(ackOf(this->queryByNewOwner(8, Seconds { 2 })), RefusalReason::OutcomeUnknown);
    }

    /** @brief Observations in a bucket whose owner changes. */
    class MovedObservationTest : public TakeoverTest {
    protected:
        static std::vector<ObservationRecord> observations(const OwnerActions& actions)
        {
            std::vector<ObservationRecord> found;
            for (const auto& action : collect<SendToPeer>(actions)) {
                if (const auto* record = std::get_if<ObservationRecord>(&action.message))
                    found.push_back(*record);
            }
            return found;
        }

        /** @brief Handles an observation record that the other owner sends to its deputy or to the new owner. */
        OwnerActions receiveRecord(bool handedOver, bool ended = false)
        {
            ObservationRecord record;
            record.id = { otherOwner, Epoch { 1 }, 4 };
            record.key = { service, caller, 7, { 5 } };
            record.bucket = bucket;
            record.message.code = coap::get;
            record.message.messageId = 7;
            record.message.token = { 5 };
            record.message.addUint(coap::observe, 0);
            record.candidates = { UpstreamId { 2 }, UpstreamId { 1 } };
            record.observeSequence = 40;
            record.handedOver = handedOver;
            record.ended = ended;
            return this->handle(ObservationRecordReceived { otherOwner, record });
        }

        static bool isAcknowledged(const OwnerActions& actions)
        {
            const auto sent = collect<SendToPeer>(actions);
            return std::any_of(sent.begin(), sent.end(),
                [](const auto& action) { return std::holds_alternative<ObservationRecordAck>(action.message); });
        }
    };

    // Guards against an observation that ends when its owner fails, and against Observe values that decrease.
    TEST_F(MovedObservationTest, DeputyResumesTheObservationsOfAFailedOwner)
    {
        EXPECT_TRUE(isAcknowledged(this->receiveRecord(false)));
        (void)this->handle(PeerLost { { otherOwner, Epoch { 1 } } });
        const auto request = firstDispatch(this->handle(OwnershipTaken { service, { bucket }, {} }));
        EXPECT_EQ(request.upstream, UpstreamId { 2 }) << "the first candidate of the record";
        EXPECT_TRUE(request.observe);
        const auto sent = collect<SendToCaller>(this->receiveResult(request, ResultKind::Answered, 1));
        ASSERT_EQ(sent.size(), 1U);
        EXPECT_EQ(sent.front().caller, caller);
        EXPECT_EQ(sent.front().message.token, Bytes { 5 });
        EXPECT_GT(sent.front().message.uintOption(coap::observe), 40U + 60U);
    }

    // Guards against an observation that moves to another upstream when the home of its upstream changes.
    TEST_F(MovedObservationTest, AnObservationStaysWithItsUpstreamWhenTheHomeChanges)
    {
        const auto request = firstDispatch(this->receiveRequest(7, coap::get, true));
        (void)this->receiveResult(request, ResultKind::Answered, 10);
        const PeerProcess next { InstanceId { 3 }, Epoch { 1 } };
        const auto moved = firstDispatch(this->handle(HomeChanged { request.upstream, next }));
        EXPECT_EQ(moved.upstream, request.upstream);
        // The new home fails too, before it has responded.
        const auto again = firstDispatch(this->handle(HomeChanged { request.upstream, homePeer }));
        EXPECT_EQ(again.upstream, request.upstream);
        EXPECT_GT(again.attempt, moved.attempt);
    }

    // Guards against observations that end because the retry budget of their service is spent, when the entry that was
    // the owner of many observations and the home of their upstream fails.
    TEST_F(MovedObservationTest, ObservationsOfAFailedOwnerAndHomeNeedNoRetryBudget)
    {
        const InstanceId failedEntry = homePeer.instance;
        constexpr std::uint16_t observationCount = 50;
        for (std::uint16_t id = 0; id < observationCount; ++id) {
            ObservationRecord record;
            record.id = { failedEntry, Epoch { 1 }, id + 1U };
            record.key = { service, { 1, id }, 7, { 5 } };
            record.bucket = bucket;
            record.message.code = coap::get;
            record.message.addUint(coap::observe, 0);
            record.candidates = { UpstreamId { 1 } };
            record.observeSequence = 40;
            (void)this->handle(ObservationRecordReceived { failedEntry, record });
        }
        (void)this->handle(OwnershipTaken { service, { bucket }, {} });
        EXPECT_TRUE(collect<RequestEnded>(this->handle(PeerLost { homePeer })).empty());
        const auto moved
            = this->handle(HomeChanged { UpstreamId { 1 }, PeerProcess { InstanceId { 3 }, Epoch { 1 } } });
        EXPECT_TRUE(collect<RequestEnded>(moved).empty());
        std::size_t registered = 0;
        for (const auto& action : collect<SendToPeer>(moved))
            registered += std::holds_alternative<DispatchRequest>(action.message) ? 1 : 0;
        EXPECT_EQ(registered, observationCount);
    }

    // Guards against a deputy that resumes an observation that has ended or whose owner is alive.
    TEST_F(MovedObservationTest, DeputyResumesNoObservationThatEndedOrHasALiveOwner)
    {
        (void)this->receiveRecord(false);
        EXPECT_EQ(firstDispatch(this->handle(OwnershipTaken { service, { bucket }, {} })).attempt, 0U);
        (void)this->receiveRecord(false, true);
        EXPECT_EQ(firstDispatch(this->handle(PeerLost { { otherOwner, Epoch { 1 } } })).attempt, 0U);
    }

    // Guards against a planned change that interrupts observations, and against a handover that is lost with one
    // datagram.
    TEST_F(MovedObservationTest, OwnerHandsObservationsOverAndForwardsUntilAcknowledged)
    {
        (void)this->takeBucketOver();
        (void)this->handle(DeputiesChanged { service, { { bucket, InstanceId { 8 } } } });
        const auto request = firstDispatch(this->receiveRequest(7, coap::get, true));
        const auto sentRecords = observations(this->receiveResult(request, ResultKind::Answered, 10));
        ASSERT_EQ(sentRecords.size(), 0U) << "the request was received without a deputy";
        (void)this->handle(DeputiesChanged { service, { { bucket, InstanceId { 8 } } } });
        ASSERT_EQ(observations(this->handle(OwnerTick {})).size(), 1U);
        const auto handedOver
            = observations(this->handle(OwnershipLost { service, { bucket }, { { bucket, otherOwner } } }));
        ASSERT_EQ(handedOver.size(), 1U);
        EXPECT_TRUE(handedOver.front().handedOver);
        EXPECT_FALSE(this->owner.isIdle()) << "the owner may not stop before the handover is acknowledged";
        this->now += Milliseconds { 200 };
        EXPECT_EQ(observations(this->handle(OwnerTick {})).size(), 1U) << "sent again until it is acknowledged";
        EXPECT_EQ(collect<SendToCaller>(this->receiveResult(request, ResultKind::Notification, 11)).size(), 1U);
        const OwnerActions afterAck
            = this->handle(ObservationRecordAckReceived { otherOwner, { handedOver.front().id, true } });
        EXPECT_TRUE(collect<SendToCaller>(afterAck).empty());
        EXPECT_TRUE(this->owner.isIdle());
        EXPECT_TRUE(collect<SendToCaller>(this->receiveResult(request, ResultKind::Notification, 12)).empty());
    }

    // Guards against two observations for one caller when a handover is duplicated or arrives before the change is
    // known.
    TEST_F(MovedObservationTest, NewOwnerResumesAnObservationOnce)
    {
        EXPECT_FALSE(isAcknowledged(this->receiveRecord(true))) << "this entry does not own the bucket yet";
        (void)this->takeBucketOver();
        const OwnerActions first = this->receiveRecord(true);
        EXPECT_TRUE(isAcknowledged(first));
        EXPECT_EQ(firstDispatch(first).upstream, UpstreamId { 2 });
        const OwnerActions again = this->receiveRecord(true);
        EXPECT_TRUE(isAcknowledged(again));
        EXPECT_EQ(firstDispatch(again).attempt, 0U);
    }

} // namespace
} // namespace zinnia::request
