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

/** @brief Limits, times and policies of an owner. Tests and benchmarks use the flags to disable single mechanisms. */
struct OwnerSettings {
    /** Upper bound of the request keys kept in memory. */
    std::size_t maxRequests = 65536;
    /** Upper bound of the payload bytes of cached answers; the oldest are dropped first. */
    std::size_t maxCachedAnswerBytes = std::size_t { 16 } << 20U;
    std::size_t maxUnacknowledged = 4096;
    /** Retries as a fraction of the requests, and the size of the token bucket. */
    double retryRatio = 0.1;
    double retryBurst = 10;
    bool enforceRetryBudget = true;
    std::uint32_t maxAttempts = 4;
    /** Records a non-idempotent request at the deputy before it is dispatched. */
    bool recordAtDeputy = true;
    /** A new owner answers "unknown" to a request that the previous owner may have run. */
    bool unknownOutcomeAfterTakeover = true;
    /** Does not run retransmissions of callers again. */
    bool deduplicateRetransmissions = true;
    /** New requests wait for the lease: without it, another owner may have taken over. */
    bool requireLease = true;
    /** Retries non-idempotent requests whose outcome is unknown. */
    bool retryUnknownOutcomes = false;
    /** Upper bound of the extra network delay of a retransmission over the first copy; added to the stated age. */
    Milliseconds ageMargin { 250 };
    /** MAX_TRANSMIT_WAIT and EXCHANGE_LIFETIME of RFC 7252. */
    Seconds maxTransmitWait { 93 };
    Seconds exchangeLifetime { 247 };
    Milliseconds maxDeadline { 10000 };
    /** Delay of slot release; a home that took over counts as busy until `maxDeadline` and this have passed. */
    Milliseconds slotReleaseDelay { 1000 };
    /** Prefers upstreams whose home has not changed recently. */
    bool avoidNewHomes = true;
    /** Interval at which an observation is sent to the deputy again; it expires there, as its end may get lost. */
    Seconds observationRefreshInterval { 60 };
    /** Added to the Observe value of a resumed observation; more than the notifications between two refreshes. */
    std::uint32_t takeoverObserveStep { 1U << 16U };
    /** Time after the deadline for the result that a home sends at the deadline to arrive. */
    Milliseconds resultGrace { 500 };
    Milliseconds recordRetryInterval { 200 };
    Milliseconds recordTimeout { 1500 };
    Milliseconds dispatchRetryInterval { 100 };
    /** Interval once the home has accepted the request: duplicates then only cover a lost result. */
    Milliseconds acceptedRetryInterval { 500 };
    /** An idempotent request is retried elsewhere if its home is silent, or its upstream is working, for this long. */
    Milliseconds attemptTimeout { 3000 };
    Milliseconds minRetryTime { 50 };
    /** A notification is confirmable after this long without one, to detect callers that left (RFC 7641, 4.5). */
    Seconds confirmableInterval { 60 };
    /** ACK_TIMEOUT and MAX_RETRANSMIT of RFC 7252. */
    Milliseconds ackTimeout { 2000 };
    unsigned maxRetransmit = 4;
};

/**
 * @brief The owner of requests: handles each request from the caller's datagram to its single outcome.
 *
 * The owner of a bucket is the entry that handles all flows of the bucket. Its deputy is the entry that takes the
 * bucket over if the owner fails; as a deputy, this class stores records of another owner's non-idempotent requests and
 * observations.
 */
class RequestOwner {
public:
    RequestOwner(const OwnerSettings& settings, PeerProcess self);

    /** @brief Handles one event. @return The actions to perform, in order. */
    [[nodiscard]] OwnerActions handle(const OwnerEvent& event, TimePoint now);

    /** @return Number of request keys in memory, including ended requests and records for other owners. */
    [[nodiscard]] std::size_t size() const noexcept { return this->requests.size(); }
    /** @return True if every request has ended; active observations that are not being handed over do not count. */
    [[nodiscard]] bool isIdle() const noexcept;

private:
    /**
     * `AwaitingLease`: without the lease, another entry may own the bucket by now. `QueryingPreviousOwner`: the
     * previous owner may know a copy.
     */
    enum class Stage : unsigned char {
        AwaitingLease,
        QueryingPreviousOwner,
        Recording,
        Dispatched,
        Observing,
        Ended,
        RecordOpen,
        RecordClosed
    };

    /** @brief State that is needed only until a request has ended. */
    struct Progress {
        CoapMessage message;
        RequestClass classification;
        std::vector<UpstreamId> candidates;
        std::size_t nextCandidate = 0;
        std::optional<InstanceId> deputy;
        /** Entries that were sent a record, and are therefore notified of the end. */
        std::set<InstanceId> recordReceivers;
        std::optional<InstanceId> previousOwner;
        bool mayHaveRun = false;
        bool observe = false;
        std::uint32_t attempt = 0;
        /** Attempts before an observation was registered again; they do not count towards `maxAttempts`. */
        std::uint32_t attemptsBeforeMove = 0;
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
        /** Observe value of the newest message to the caller; 0 before the first response. */
        std::uint32_t observeSequence = 0;
        std::uint16_t notificationMessageId = 0;
        TimePoint lastConfirmableAt;
        /** The new owner that the observation is being handed over to. */
        std::optional<InstanceId> newOwner;
        /** Time at which the observation is sent to the deputy or new owner again. */
        TimePoint nextObservationRecord;
    };

    struct Request {
        RequestId id;
        Stage stage {};
        bool confirmable {};
        bool idempotent {};
        bool emptyAckSent {};
        BucketIndex bucket;
        TimePoint expiresAt;
        std::optional<CoapMessage> answer;
        std::unique_ptr<Progress> progress;
    };

    using KeyedRequest = std::pair<const RequestKey, Request>;
    using OwnedBucket = std::pair<ServiceId, BucketIndex>;

    /** @brief Period in which this entry owned a bucket that has another owner now. */
    struct FormerOwnership {
        TimePoint since;
        TimePoint until;
    };

    struct KnownHome {
        PeerProcess peer;
        /** Until this time a home that took over assumes that its slots are busy. */
        TimePoint assumedBusyUntil;
    };

    /** @brief An observation of another owner, stored by its deputy. */
    struct DeputyObservation {
        ObservationRecord record;
        TimePoint expiresAt;
    };

    /** @brief A confirmable message to a caller that has not been acknowledged yet. */
    struct UnacknowledgedMessage {
        ServiceId service;
        Endpoint caller;
        CoapMessage message;
        TimePoint nextTransmission;
        unsigned transmissions = 1;
        /** Request number of the observation that is cancelled if the caller never acknowledges; 0 for none. */
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
    void closeOrphanedRecords(TimePoint now);
    void on(const OwnerConfigured& event, TimePoint now);
    void on(const UpstreamsUpdated& event, TimePoint now);
    void on(const LeaseExtended& event, TimePoint now);
    void on(const OwnerTick& event, TimePoint now);
    void on(const OwnerStop& event, TimePoint now);

    // Callers: owner_callers.cpp
    void handleRetransmission(KeyedRequest& item, TimePoint now);
    void respond(KeyedRequest& item, CoapMessage message, TimePoint now);
    void refuseUnrecorded(const RequestReceived& event, RefusalReason reason);
    void forwardNotification(KeyedRequest& item, const CoapMessage& message, TimePoint now);
    void sendConfirmable(const RequestKey& key, const CoapMessage& message, std::uint64_t observation, TimePoint now);
    void retransmitUnacknowledged(TimePoint now);
    void cancel(KeyedRequest& item, TimePoint now);
    void prepareObservation(const RequestKey& key, Progress& progress, TimePoint now);
    [[nodiscard]] KeyedRequest* observationOf(ServiceId service, const Endpoint& caller, const Bytes& token);
    void handleOwnerChange(ServiceId service, const std::set<BucketIndex>& buckets);
    [[nodiscard]] bool holdsLease(TimePoint now) const noexcept;
    [[nodiscard]] bool mayHaveRunElsewhere(const KeyedRequest& item, TimePoint now) const;
    [[nodiscard]] Milliseconds maxCopyAge(const Progress& progress, TimePoint now) const;
    void admitFirstCopy(KeyedRequest& item, TimePoint now);
    /** @brief Adds a request that this entry owns. */
    [[nodiscard]] KeyedRequest& addOwnedRequest(
        const RequestKey& key, BucketIndex bucket, const CoapMessage& message, TimePoint now);
    void admit(KeyedRequest& item, TimePoint now);
    void dropRequest(KeyedRequest& item);
    [[nodiscard]] const config::Service* serviceOf(ServiceId id) const;

    // Planned changes of the owner: owner_takeover.cpp
    [[nodiscard]] bool queryPreviousOwner(KeyedRequest& item, TimePoint now);
    void handlePreviousOwnerAck(KeyedRequest& item, const RecordRequestAck& ack, TimePoint now);
    void answerNewOwner(const RecordReceived& event, TimePoint now);
    [[nodiscard]] bool addRecord(const RecordRequest& record, TimePoint now);

    // Replication and handover of observations: owner_observations.cpp
    void sendObservation(KeyedRequest& item, TimePoint now);
    void handOverObservations(const OwnershipLost& event, TimePoint now);
    void resumeOrphanedObservations(TimePoint now);
    void resumeObservation(const ObservationRecord& record, TimePoint now);
    [[nodiscard]] std::optional<InstanceId> deputyOf(const OwnedBucket& bucket) const;
    [[nodiscard]] bool isFromLostProcess(const RequestId& id) const;

    // Attempts: owner_attempts.cpp
    void recordOrDispatch(KeyedRequest& item, TimePoint now);
    [[nodiscard]] bool chooseUpstream(Progress& progress, TimePoint now);
    void dispatch(KeyedRequest& item, TimePoint now);
    void sendDispatch(KeyedRequest& item, TimePoint now);
    void sendRecord(KeyedRequest& item, InstanceId to, bool finished, Milliseconds maxCopyAge = {});
    void retry(KeyedRequest& item, RetryReason retryReason, RefusalReason reason, Seconds retryAfter, TimePoint now);
    /**
     * @brief Sends an observation again to a home that is not ready for it yet.
     * @return False if the refusal has another reason, or if the home has refused for too long.
     */
    [[nodiscard]] bool awaitHome(KeyedRequest& item, RefusalReason reason, TimePoint now);
    void moveObservation(KeyedRequest& item, TimePoint now);
    void reregisterObservation(KeyedRequest& item, TimePoint now);
    void sendCancel(KeyedRequest& item);
    void endRequest(KeyedRequest& item, RequestOutcome outcome, RefusalReason reason, TimePoint now);
    void refuse(KeyedRequest& item, RequestOutcome outcome, RefusalReason reason, Seconds retryAfter, TimePoint now);
    void advanceRequest(KeyedRequest& item, TimePoint now);
    void purgeExpired(TimePoint now);
    void retainUntilExpiry(KeyedRequest& item, TimePoint now);
    /** @brief Drops the cached answer, if there is one. */
    void dropCachedAnswer(Request& request);
    [[nodiscard]] bool ensureCapacity(TimePoint now);
    [[nodiscard]] RetryBudget& budgetOf(ServiceId service);

    OwnerSettings settings;
    PeerProcess self;
    bool stopping = false;
    TimePoint leaseUntil;
    std::uint64_t nextNumber = 0;
    std::uint16_t nextMessageId;
    std::size_t cachedAnswerBytes = 0;
    std::shared_ptr<const config::Configuration> configuration;
    std::unordered_map<RequestKey, Request> requests;
    /** Requests and observations in progress by number; points into `requests`, whose elements are stable. */
    std::map<std::uint64_t, KeyedRequest*> activeRequests;
    std::deque<std::pair<TimePoint, RequestKey>> expiryQueue;
    std::deque<RequestKey> cachedAnswerOrder;
    std::deque<UnacknowledgedMessage> unacknowledged;
    std::map<OwnedBucket, TimePoint> takeoverTimes;
    std::set<OwnedBucket> ownedBuckets;
    std::map<OwnedBucket, InstanceId> previousOwners;
    std::map<OwnedBucket, FormerOwnership> formerOwnerships;
    std::unordered_map<RequestKey, DeputyObservation> deputyObservations;
    /** Deputies of owned buckets; instance 0 for none. */
    std::map<OwnedBucket, InstanceId> deputies;
    /** The newest process of each instance that is known to have ended. */
    std::map<InstanceId, Epoch> lostPeers;
    std::unordered_map<UpstreamId, KnownHome> homes;
    std::unordered_set<UpstreamId> usableUpstreams;
    std::map<ServiceId, RetryBudget> retryBudgets;
    OwnerActions actions;
};

} // namespace zinnia::request
