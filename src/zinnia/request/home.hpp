#pragma once

#include "zinnia/request/bounded_queue.hpp"
#include "zinnia/request/home_events.hpp"
#include "zinnia/upstream/cold_start.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace zinnia::request {

/** @brief Limits, times and policies of a home. Tests and benchmarks clear the flags to disable a mechanism each. */
struct HomeSettings {
    upstream::ColdStartSettings coldStart;
    /** Maximum number of queued requests per upstream. */
    std::size_t queueLimit = 64;
    /** Upper bound of the attempts kept in memory, including ended ones. */
    std::size_t maxAttempts = 65536;
    QueueOrder order = QueueOrder::ByPriority;
    /** Refuses a request at once if its expected queueing and service time exceeds its remaining deadline. */
    bool refuseInfeasibleDeadlines = true;
    /** Limits the requests in flight to the slots of the upstream. */
    bool enforceSlots = true;
    /** After a takeover, assumes that requests of the previous home occupy slots; see `takeoverDelay`. */
    bool assumeBusyAfterTakeover = true;
    /** Answers a duplicate `DispatchRequest` from the recorded result instead of running it again. */
    bool deduplicateDispatches = true;
    /** Dispatches requests only while the lease is valid. */
    bool requireLease = true;
    /** Retransmits non-idempotent requests too; an upstream that restarts between two copies runs both. */
    bool retransmitNonIdempotent = false;
    /** Upper bound of the deadline of a request; the owner applies the same bound. */
    Milliseconds maxDeadline { 10000 };
    /**
     * Time from the deadline of a request until its slot is free. The upstream stops the request at the deadline; this
     * covers network delay.
     */
    Milliseconds slotReleaseDelay { 1000 };
    /**
     * Time for which the result of an ended attempt is kept. It exceeds the time for which an owner sends duplicates of
     * a request (`maxDeadline` and 0.5 s) by a margin for late copies.
     */
    Milliseconds resultRetention { 15000 };
    /**
     * After a takeover, a home sends the upstream no request for this long, and then one at a time until the longest
     * deadline of the previous home's requests has passed. Sending none until then would leave the upstream idle for
     * 11 s (`maxDeadline` and `slotReleaseDelay`) after each change of its home.
     */
    Milliseconds takeoverDelay { 1000 };
    /**
     * After a shorter lapse of its lease, a home does not assume that another entry has taken over in the meantime: any
     * other entry waits 200 ms after the end of the lease.
     */
    Milliseconds leaseLapseTolerance { 150 };
    /** ACK_TIMEOUT and MAX_RETRANSMIT of RFC 7252. */
    Milliseconds ackTimeout { 2000 };
    unsigned maxRetransmit = 4;
    /** Back-off after a refusal without Max-Age, and the upper bound applied to a Max-Age. */
    Seconds defaultBackOff { 1 };
    Seconds maxBackOff { 5 };
};

/**
 * @brief The home of upstreams: schedules the requests to each of them.
 *
 * The home of an upstream is the one entry of the zone that sends it requests. Per upstream it has a bounded queue, the
 * slots in flight, the cold-start limit and the back-off. It keeps the result of every attempt that was refused or has
 * ended, so that the answer to a duplicate `DispatchRequest` never contradicts an earlier result.
 */
class RequestHome {
public:
    RequestHome(const HomeSettings& settings, PeerProcess self, std::uint64_t seed);

    /** @brief Handles one event. @return The actions to perform, in order. */
    [[nodiscard]] HomeActions handle(const HomeEvent& event, TimePoint now);

    /** @return Number of requests that occupy slots of the upstream, as far as this home knows. */
    [[nodiscard]] std::uint32_t inFlight(UpstreamId upstream) const;
    /** @return True if no request is queued or in flight. */
    [[nodiscard]] bool isIdle() const noexcept { return this->activeAttempts.empty(); }

private:
    struct AttemptKey {
        RequestId id;
        std::uint32_t attempt {};
        [[nodiscard]] friend auto operator<=>(const AttemptKey&, const AttemptKey&) noexcept = default;
    };

    /** An attempt that is `Observing` has released its slot and receives notifications. */
    enum class Stage : unsigned char { Queued, InFlight, Observing, Ended };

    struct Attempt {
        Stage stage = Stage::Queued;
        UpstreamId upstream;
        std::uint8_t priority {};
        bool idempotent {};
        bool observe {};
        /** Stays set after the attempt has ended, until the upstream has responded or must have stopped the request. */
        bool holdsSlot {};
        bool acknowledged {};
        unsigned transmissions = 0;
        std::uint16_t messageId {};
        std::uint64_t token {};
        TimePoint deadline;
        TimePoint sentAt;
        TimePoint nextTransmission;
        CoapMessage message;
        RequestResult result;
    };

    struct ManagedUpstream {
        upstream::UpstreamInfo info;
        bool isRegistered = false;
        bool isHome = false;
        upstream::ColdStartLimiter limiter;
        upstream::ColdDetector detector;
        BoundedQueue<AttemptKey> queue;
        std::uint32_t inFlight = 0;
        /** No request is sent before this time, because requests of the previous home may be in progress. */
        TimePoint dispatchBlockedUntil;
        /** Requests are sent one at a time before this time. */
        TimePoint singleSlotUntil;
        TimePoint backOffUntil;
        std::uint16_t nextMessageId = 0;
    };

    void on(const DispatchReceived& event, TimePoint now);
    void on(const CancelReceived& event, TimePoint now);
    void on(const UpstreamMessage& event, TimePoint now);
    void on(const UpstreamsUpdated& event, TimePoint now);
    void on(const HomeAssignmentsReplaced& event, TimePoint now);
    void on(const LeaseExtended& event, TimePoint now);
    void on(const LiveEntriesReplaced& event, TimePoint now);
    void on(const HomeTick& event, TimePoint now);
    void on(const HomeStop& event, TimePoint now);

    [[nodiscard]] bool holdsLease(TimePoint now) const noexcept;
    [[nodiscard]] static bool acceptsRequests(const ManagedUpstream& target) noexcept;
    [[nodiscard]] RefusalReason admissionResult(const DispatchRequest& request, TimePoint now);
    [[nodiscard]] std::uint32_t slotLimit(const ManagedUpstream& target, TimePoint now) const noexcept;
    void limitAfterTakeover(ManagedUpstream& target, TimePoint now) const;
    void dispatchQueued(ManagedUpstream& target, TimePoint now);
    void dispatch(ManagedUpstream& target, const AttemptKey& key, Attempt& attempt, TimePoint now);
    void transmit(const ManagedUpstream& target, Attempt& attempt, TimePoint now);
    void handleResponse(const AttemptKey& key, Attempt& attempt, const CoapMessage& message, TimePoint now);
    void handleRefusal(const AttemptKey& key, Attempt& attempt, const CoapMessage& message, TimePoint now);
    void handleEmptyMessage(const UpstreamMessage& event, TimePoint now);
    void endAttempt(const AttemptKey& key, Attempt& attempt, ResultKind kind, RefusalReason reason, TimePoint now);
    void releaseSlot(const AttemptKey& key, Attempt& attempt);
    void rejectQueued(ManagedUpstream& target, RefusalReason reason, TimePoint now);
    void cancelObservation(const AttemptKey& key, Attempt& attempt, TimePoint now);
    /** @brief Ends attempts at their deadline, retransmits unacknowledged requests and releases overdue slots. */
    void expireAttempts(TimePoint now);
    /** @brief Removes ended attempts after `resultRetention`, and upstreams that are no longer used. */
    void purgeEnded(TimePoint now);
    void sendResult(const AttemptKey& key, const RequestResult& result);
    void turnCold(ManagedUpstream& target, TimePoint now);
    [[nodiscard]] ManagedUpstream& upstreamFor(UpstreamId id, TimePoint now);

    HomeSettings settings;
    PeerProcess self;
    std::uint64_t seed;
    bool stopping = false;
    TimePoint leaseUntil;
    std::uint64_t nextToken = 0;
    std::map<UpstreamId, ManagedUpstream> upstreams;
    std::map<AttemptKey, Attempt> attempts;
    /** Attempts that are queued or occupy a slot. */
    std::set<AttemptKey> activeAttempts;
    std::set<AttemptKey> observations;
    std::unordered_map<std::uint64_t, AttemptKey> attemptsByToken;
    std::deque<std::pair<TimePoint, AttemptKey>> endedAttempts;
    HomeActions actions;
};

} // namespace zinnia::request
