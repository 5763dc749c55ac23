#pragma once

#include "zinnia/request/classify.hpp"
#include "zinnia/request/owner_events.hpp"
#include "zinnia/request/retry_budget.hpp"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace zinnia::request {

/** @brief Limits, times and policies of the owner side. The flags switch mechanisms off for tests and benches. */
struct OwnerSettings {
    /** Request keys kept at most. */
    std::size_t maxRequests = 65536;
    /** Bytes of kept answers at most; the oldest are dropped first. */
    std::size_t maxCachedAnswerBytes = std::size_t { 16 } << 20U;
    std::size_t maxUnconfirmed = 4096;
    /** Retries as a share of fresh requests, and how many may be saved up. */
    double retryRatio = 0.1;
    double retryBurst = 10;
    bool enforceRetryBudget = true;
    std::uint32_t maxAttempts = 4;
    /** A non-idempotent request is recorded at the deputy before it is dispatched. */
    bool recordAtDeputy = true;
    /** A new owner answers "unknown" to what the previous owner may have run. */
    bool unknownOutcomeAfterTakeover = true;
    /** Retransmissions of callers are not run again. */
    bool deduplicateRetransmissions = true;
    /** Without the lease, new requests wait: another owner may have taken over. */
    bool requireLease = true;
    /** Retries non-idempotent requests whose outcome is not known. */
    bool retryUnknownOutcomes = false;
    /** How much later than the first copy the retransmission may have travelled. */
    Milliseconds ageMargin { 250 };
    /** MAX_TRANSMIT_WAIT and EXCHANGE_LIFETIME of RFC 7252. */
    Seconds maxTransmitWait { 93 };
    Seconds exchangeLifetime { 247 };
    Milliseconds maxDeadline { 10000 };
    /** A home that took over dispatches nothing until the longest deadline and this have passed. */
    Milliseconds slotReleaseDelay { 1000 };
    /** Prefers upstreams whose home has not just changed. */
    bool avoidNewHomes = true;
    /** A deputy hears of an observation again after this long, as it may have missed its end. */
    Seconds observationRefreshInterval { 60 };
    /** Added to the Observe value by an owner that goes on with an observation; more than come between two refreshes.
     */
    std::uint32_t takeoverObserveStep { 1U << 16U };
    /** Time for the result that a home sends at the deadline. */
    Milliseconds resultGrace { 500 };
    Milliseconds recordRetryInterval { 200 };
    Milliseconds recordTimeout { 1500 };
    Milliseconds dispatchRetryInterval { 100 };
    /** Interval once the home has accepted: repeats then only guard against a lost result. */
    Milliseconds acceptedRetryInterval { 500 };
    /** An idempotent request is tried elsewhere if its home is silent, or its upstream works on it, for this long. */
    Milliseconds attemptTimeout { 3000 };
    Milliseconds minRetryTime { 50 };
    /** A notification is confirmable after this long without one, to find callers that have gone (RFC 7641, 4.5). */
    Seconds confirmableInterval { 60 };
    /** ACK_TIMEOUT and MAX_RETRANSMIT of RFC 7252. */
    Milliseconds ackTimeout { 2000 };
    unsigned maxRetransmit = 4;
};

/**
 * @brief The owner side of requests: from the caller's datagram to its one outcome.
 *
 * It also keeps, as a deputy, the records of another owner's non-idempotent requests.
 */
class RequestOwner {
public:
    RequestOwner(const OwnerSettings& settings, PeerProcess self);

    [[nodiscard]] OwnerActions handle(const OwnerEvent& event, TimePoint now);

    /** @return Request keys that are kept, ended ones and records for other owners included. */
    [[nodiscard]] std::size_t size() const noexcept { return this->requests.size(); }
    /** @return Whether every request has ended; observations that go on do not count. */
    [[nodiscard]] bool isIdle() const noexcept;

private:
    /**
     * `Waiting`: for the lease, without which another entry may own the bucket by now. `Asking`: the previous owner,
     * which may know a copy.
     */
    enum class Stage : unsigned char {
        Waiting,
        Asking,
        Recording,
        Dispatched,
        Observing,
        Ended,
        RecordOpen,
        RecordClosed
    };

    /** @brief What is only needed until a request has ended. */
    struct Progress {
        CoapMessage message;
        RequestClass properties;
        std::vector<UpstreamId> candidates;
        std::size_t nextCandidate = 0;
        std::optional<InstanceId> deputy;
        /** Who was sent a record, and is therefore told of the end. */
        std::set<InstanceId> recordHolders;
        std::optional<InstanceId> previousOwner;
        bool mayHaveRun = false;
        bool observe = false;
        std::uint32_t attempt = 0;
        /** Attempts before an observation was registered again; they do not count as its retries. */
        std::uint32_t attemptsBefore = 0;
        std::optional<PeerProcess> home;
        UpstreamId upstream;
        TimePoint startedAt;
        TimePoint attemptStartedAt;
        TimePoint deadline;
        TimePoint nextSend;
        bool accepted = false;
        bool running = false;
        /** Observe value of the newest notification of this attempt. */
        std::optional<std::uint32_t> newestNotification;
        /** Observe value of the newest message to the caller; 0 before the first answer. */
        std::uint32_t observeSequence = 0;
        std::uint16_t notificationId = 0;
        TimePoint confirmedAt;
        /** The new owner, to which the observation is being handed over. */
        std::optional<InstanceId> newOwner;
        /** When the deputy or new owner is sent the observation again. */
        TimePoint nextObservationRecord;
    };

    struct Request {
        RequestId id;
        Stage stage {};
        bool confirmable {};
        bool idempotent {};
        bool emptyAcknowledged {};
        BucketIndex bucket;
        TimePoint expires;
        std::optional<CoapMessage> answer;
        std::unique_ptr<Progress> progress;
    };

    using Item = std::pair<const RequestKey, Request>;
    using OwnedBucket = std::pair<ServiceId, BucketIndex>;

    /** @brief When this entry owned a bucket that has another owner now. */
    struct FormerOwnership {
        TimePoint since;
        TimePoint until;
    };

    struct KnownHome {
        PeerProcess peer;
        /** Until then a home that took over counts its slots as busy. */
        TimePoint busyUntil;
    };

    /** @brief An observation of another owner, kept as its deputy. */
    struct KeptObservation {
        ObservationRecord record;
        TimePoint expires;
    };

    /** @brief A confirmable message to a caller that has not been acknowledged. */
    struct Unconfirmed {
        ServiceId service;
        Endpoint caller;
        CoapMessage message;
        TimePoint nextTransmission;
        unsigned transmissions = 1;
        /** Request number of the observation that ends if the caller stays silent. */
        std::uint64_t observation = 0;
    };

    void on(const RequestReceived& event, TimePoint now);
    void on(const CallerEmptyMessage& event, TimePoint now);
    void on(const ResultReceived& event, TimePoint now);
    void on(const RecordReceived& event, TimePoint now);
    void on(const RecordAckReceived& event, TimePoint now);
    void on(const ObservationRecordReceived& event, TimePoint now);
    void on(const ObservationRecordAckReceived& event, TimePoint now);
    void on(const DeputiesChanged& event, TimePoint now);
    void on(const OwnershipTaken& event, TimePoint now);
    void on(const OwnershipLost& event, TimePoint now);
    void on(const HomeChanged& event, TimePoint now);
    void on(const PeerLost& event, TimePoint now);
    void closeAbandonedRecords(TimePoint now);
    void on(const OwnerConfigured& event, TimePoint now);
    void on(const UpstreamsUpdated& event, TimePoint now);
    void on(const LeaseExtended& event, TimePoint now);
    void on(const OwnerTick& event, TimePoint now);
    void on(const OwnerStop& event, TimePoint now);

    // Callers: owner_callers.cpp
    void repeat(Item& item, TimePoint now);
    void respond(Item& item, CoapMessage message, TimePoint now);
    void refuseUnrecorded(const RequestReceived& event, RefusalReason reason);
    void notify(Item& item, const CoapMessage& message, TimePoint now);
    void sendConfirmable(const RequestKey& key, const CoapMessage& message, std::uint64_t observation, TimePoint now);
    void retransmit(TimePoint now);
    void cancel(Item& item, TimePoint now);
    void prepareObservation(const RequestKey& key, Progress& progress, TimePoint now);
    [[nodiscard]] Item* observationOf(ServiceId service, const Endpoint& caller, const Bytes& token);
    void ownershipChanged(ServiceId service, const std::set<BucketIndex>& buckets);
    [[nodiscard]] bool holdsLease(TimePoint now) const noexcept;
    [[nodiscard]] bool mayBeKnownElsewhere(const Item& item, TimePoint now) const;
    [[nodiscard]] Milliseconds maxCopyAge(const Progress& progress, TimePoint now) const;
    void beginFresh(Item& item, TimePoint now);
    /** @brief Adds a request of which this entry is the owner. */
    [[nodiscard]] Item& addOwn(const RequestKey& key, BucketIndex bucket, const CoapMessage& message, TimePoint now);
    void begin(Item& item, TimePoint now);
    void drop(Item& item);
    [[nodiscard]] const config::Service* serviceOf(ServiceId id) const;

    // Planned changes of owner: owner_takeover.cpp
    [[nodiscard]] bool askPreviousOwner(Item& item, TimePoint now);
    void answeredByPreviousOwner(Item& item, const RecordRequestAck& ack, TimePoint now);
    void answerSuccessor(const RecordReceived& event, TimePoint now);
    [[nodiscard]] bool addRecord(const RecordRequest& record, TimePoint now);

    // Observations that change their owner: owner_observations.cpp
    void sendObservation(Item& item, TimePoint now);
    void handOver(const OwnershipLost& event, TimePoint now);
    void resumeAbandoned(TimePoint now);
    void resume(const ObservationRecord& record, TimePoint now);
    [[nodiscard]] std::optional<InstanceId> deputyOf(const OwnedBucket& bucket) const;
    [[nodiscard]] bool isFromLostProcess(const RequestId& id) const;

    // Attempts: owner_attempts.cpp
    void start(Item& item, TimePoint now);
    [[nodiscard]] bool chooseUpstream(Progress& progress, TimePoint now);
    void dispatch(Item& item, TimePoint now);
    void sendDispatch(Item& item, TimePoint now);
    void sendRecord(Item& item, InstanceId to, bool finished, Milliseconds maxCopyAge = {});
    void retry(Item& item, RetryReason why, RefusalReason reason, Seconds retryAfter, TimePoint now);
    void moveObservation(Item& item, TimePoint now);
    void registerAgain(Item& item, TimePoint now);
    void sendCancel(Item& item);
    void end(Item& item, RequestOutcome outcome, RefusalReason reason, TimePoint now);
    void refuse(Item& item, RequestOutcome outcome, RefusalReason reason, Seconds retryAfter, TimePoint now);
    void advance(Item& item, TimePoint now);
    void forget(TimePoint now);
    void keep(Item& item, TimePoint now);
    /** @brief Drops the kept answer, if there is one. */
    void dropAnswer(Request& request);
    [[nodiscard]] bool makeRoom(TimePoint now);
    [[nodiscard]] RetryBudget& budgetOf(ServiceId service);

    OwnerSettings settings;
    PeerProcess self;
    bool stopping = false;
    TimePoint leaseUntil;
    std::uint64_t nextNumber = 0;
    std::uint16_t nextMessageId;
    std::size_t keptBytes = 0;
    std::shared_ptr<const config::Configuration> configuration;
    std::unordered_map<RequestKey, Request> requests;
    /** Requests and observations in progress by number; pointers into `requests`, which are stable. */
    std::map<std::uint64_t, Item*> active;
    std::deque<std::pair<TimePoint, RequestKey>> expiry;
    std::deque<RequestKey> answerOrder;
    std::deque<Unconfirmed> unconfirmed;
    std::map<OwnedBucket, TimePoint> takenAt;
    std::set<OwnedBucket> owned;
    std::map<OwnedBucket, InstanceId> previousOwners;
    std::map<OwnedBucket, FormerOwnership> formerlyOwned;
    std::unordered_map<RequestKey, KeptObservation> keptObservations;
    /** Deputies of own buckets; instance 0 for none. */
    std::map<OwnedBucket, InstanceId> deputies;
    /** The newest process of each instance that is known to be gone. */
    std::map<InstanceId, Epoch> lostPeers;
    std::unordered_map<UpstreamId, KnownHome> homes;
    std::unordered_set<UpstreamId> usable;
    std::map<ServiceId, RetryBudget> budgets;
    OwnerActions actions;
};

} // namespace zinnia::request
