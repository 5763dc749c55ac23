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

/** @brief Limits, times and policies of the home side. The flags switch mechanisms off for tests and benches. */
struct HomeSettings {
    upstream::ColdStartSettings coldStart;
    std::size_t queueLimit = 64;
    /** Attempts remembered at most, ended ones included. */
    std::size_t maxAttempts = 65536;
    QueueOrder order = QueueOrder::ByPriority;
    /** Refuses a request at once if the queue ahead of it takes longer than its deadline. */
    bool refuseInfeasibleDeadlines = true;
    /** No more requests in flight than the upstream has slots. */
    bool enforceSlots = true;
    /** A home that took over counts slots as busy with requests of the previous home; see `takeoverDelay`. */
    bool assumeBusyAfterTakeover = true;
    /** A repeated `DispatchRequest` is answered from the record and not run again. */
    bool deduplicateDispatches = true;
    /** Nothing is dispatched without the lease. */
    bool requireLease = true;
    /** Retransmits non-idempotent requests too; an upstream that restarts between the copies runs both. */
    bool retransmitNonIdempotent = false;
    /** Longest deadline of a request; the owner cuts deadlines to the same value. */
    Milliseconds maxDeadline { 10000 };
    /** An upstream stops work at the deadline; this covers the way there. */
    Milliseconds slotReleaseDelay { 1000 };
    /** Longer than an owner repeats a request (the longest deadline and half a second), with room for late copies. */
    Milliseconds resultRetention { 15000 };
    /**
     * A home that took over an upstream sends it nothing for this long, and then one request at a time until the
     * longest deadline of the previous home's requests has passed. Sending nothing until then would stop the
     * upstream for 11 s after each change of homes.
     */
    Milliseconds takeoverDelay { 1000 };
    /** No other entry can take over while a lease has lapsed for less: it waits 200 ms after the end of the lease. */
    Milliseconds leaseLapseTolerance { 150 };
    /** ACK_TIMEOUT and MAX_RETRANSMIT of RFC 7252. */
    Milliseconds ackTimeout { 2000 };
    unsigned maxRetransmit = 4;
    /** Back-off after a refusal without Max-Age, and the longest one that is honoured. */
    Seconds defaultBackOff { 1 };
    Seconds maxBackOff { 5 };
};

/**
 * @brief The home side of requests: decides when a request goes to an upstream.
 *
 * Per upstream it holds a bounded queue, the slots in flight, the cold-start limit and the back-off. Every attempt
 * that was refused or has ended is remembered, so that a repeated `DispatchRequest` never contradicts an earlier
 * result.
 */
class RequestHome {
public:
    RequestHome(const HomeSettings& settings, PeerProcess self, std::uint64_t seed);

    [[nodiscard]] HomeActions handle(const HomeEvent& event, TimePoint now);

    /** @return Requests that occupy slots of the upstream, as far as this home knows. */
    [[nodiscard]] std::uint32_t inFlight(UpstreamId upstream) const;
    /** @return Whether no request is queued or in flight. */
    [[nodiscard]] bool isIdle() const noexcept { return this->active.empty(); }

private:
    struct AttemptKey {
        RequestId id;
        std::uint32_t attempt {};
        [[nodiscard]] friend auto operator<=>(const AttemptKey&, const AttemptKey&) noexcept = default;
    };

    enum class Stage : unsigned char { Queued, InFlight, Observing, Ended };

    struct Attempt {
        Stage stage = Stage::Queued;
        UpstreamId upstream;
        std::uint8_t priority {};
        bool idempotent {};
        bool observe {};
        /** Also after the end, until the upstream answers or must have stopped. */
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

    struct Station {
        upstream::UpstreamInfo info;
        bool present = false;
        bool isHome = false;
        upstream::ColdStartLimiter limiter;
        upstream::ColdDetector detector;
        BoundedQueue<AttemptKey> queue;
        std::uint32_t inFlight = 0;
        /** Until then nothing is sent, because requests of the previous home may be in progress. */
        TimePoint settledAt;
        /** Until then requests are sent one at a time. */
        TimePoint cautiousUntil;
        TimePoint pausedUntil;
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
    [[nodiscard]] static bool takesWork(const Station& station) noexcept;
    [[nodiscard]] RefusalReason admission(const DispatchRequest& request, TimePoint now);
    [[nodiscard]] std::uint32_t limitOf(const Station& station, TimePoint now) const noexcept;
    void beCautious(Station& station, TimePoint now) const;
    void pump(Station& station, TimePoint now);
    void dispatch(Station& station, const AttemptKey& key, Attempt& attempt, TimePoint now);
    void transmit(const Station& station, Attempt& attempt, TimePoint now);
    void answered(const AttemptKey& key, Attempt& attempt, const CoapMessage& message, TimePoint now);
    void refusedByUpstream(const AttemptKey& key, Attempt& attempt, const CoapMessage& message, TimePoint now);
    void control(const UpstreamMessage& event, TimePoint now);
    void end(const AttemptKey& key, Attempt& attempt, ResultKind kind, RefusalReason reason, TimePoint now);
    void releaseSlot(const AttemptKey& key, Attempt& attempt);
    void returnQueue(Station& station, RefusalReason reason, TimePoint now);
    void deregister(const AttemptKey& key, Attempt& attempt, TimePoint now);
    void expireActive(TimePoint now);
    void forgetEnded(TimePoint now);
    void send(const AttemptKey& key, const RequestResult& result);
    void turnCold(Station& station, TimePoint now);
    [[nodiscard]] Station& stationOf(UpstreamId id, TimePoint now);

    HomeSettings settings;
    PeerProcess self;
    std::uint64_t seed;
    bool stopping = false;
    TimePoint leaseUntil;
    std::uint64_t nextToken = 0;
    std::map<UpstreamId, Station> stations;
    std::map<AttemptKey, Attempt> attempts;
    /** Attempts that are queued or hold a slot. */
    std::set<AttemptKey> active;
    std::set<AttemptKey> observations;
    std::unordered_map<std::uint64_t, AttemptKey> tokens;
    std::deque<std::pair<TimePoint, AttemptKey>> ended;
    HomeActions actions;
};

} // namespace zinnia::request
