#pragma once

#include "zinnia/feed/messages.hpp"
#include "zinnia/routing/admission_controller.hpp"
#include "zinnia/routing/flow_id.hpp"
#include "zinnia/routing/flow_packet.hpp"
#include "zinnia/routing/liveness.hpp"
#include "zinnia/routing/load_sharing_settings.hpp"
#include "zinnia/routing/load_view.hpp"
#include "zinnia/routing/opening_copies.hpp"
#include "zinnia/routing/routing_decision.hpp"
#include "zinnia/routing/spill_policy.hpp"
#include "zinnia/routing/upload_admission.hpp"
#include "zinnia/routing/upstream_chooser.hpp"
#include "zinnia/routing/upstream_directory.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace zinnia::routing {

/** @brief Limits, timeouts and thresholds of a router. */
struct FlowRouterSettings {
    /** Zone of this router; upstreams of this zone are preferred. */
    std::string zone;
    /** Seed of the random choice between services and between equally loaded upstreams. */
    std::uint64_t seed = 1;
    /** Maximum number of tracked flows; packets of further flows are routed by their token alone. */
    std::size_t maxFlows = 20000;
    /**
     * Bounds of the handshake timeout, after which an upstream that has not answered an opening is avoided. The timeout
     * is a multiple of the mean handshake time, and stays below the 200 ms after which callers retransmit.
     */
    Milliseconds minHandshakeTimeout { 50 };
    Milliseconds maxHandshakeTimeout { 180 };
    /** Handshake timeout as a multiple of the mean handshake time. */
    std::int64_t handshakeTimeoutFactor = 4;
    /** Time before an upstream that did not answer is retried; doubles with each retry. */
    Milliseconds minBackoff { 500 };
    /** Maximum time between two such retries. */
    Milliseconds maxBackoff { 4000 };
    /**
     * An upstream is taken to reject new flows once the openings of this many callers are unanswered and it has
     * answered no caller since the first of them.
     */
    std::size_t unansweredCallerThreshold = 2;
    /** Retries after a backoff that must be unanswered too before `unansweredCallerThreshold` applies. */
    std::uint32_t failedRetryThreshold = 1;
    /** Time between two openings sent to an upstream that is dead or rejects them, while no other is available. */
    Milliseconds rejectedOpeningInterval { 250 };
    /** Time after the last unanswered opening at which it no longer says anything about the upstream. */
    Milliseconds maxOpeningEvidenceAge { 10000 };
    /**
     * A health check is requested without waiting for `minHealthCheckInterval` once the callers of this many flows of
     * an upstream retransmit and it has answered none since. A single flow may just have lost a packet.
     */
    std::uint32_t stalledFlowThreshold = 2;
    /** Retransmissions in a single flow that suffice in place of `stalledFlowThreshold` stalled flows. */
    std::uint32_t retransmissionThreshold = 3;
    /**
     * Minimum time after the first transmission for a packet to count as a retransmission. Callers retransmit after
     * 200 ms; copies that arrive closer together were delayed in the network or in this process.
     */
    Milliseconds minRetransmissionDelay { 120 };
    /**
     * Minimum time between two health checks of an upstream. For checks requested by openings it doubles with each
     * failed check, at most three times.
     */
    Milliseconds minHealthCheckInterval { 500 };
    /**
     * Minimum of the answer timeout, which is a multiple of the mean answer time. An answer that takes longer, in a
     * flow whose caller acknowledges answers at once, triggers a health check. Retransmissions do not reveal every
     * failure: a caller whose packet the upstream's machine refused does not retransmit.
     */
    Milliseconds minAnswerTimeout { 100 };
    /** Answer timeout as a multiple of the mean answer time. */
    std::int64_t answerTimeoutFactor = 4;
    /**
     * Time after a failed health check during which the router resets open flows of the upstream; later the upstream
     * may be back with its flows.
     */
    Milliseconds failedHealthCheckValidity { 1000 };
    /**
     * Bounds of the connect timeout of a health check. The timeout is a multiple of the mean handshake time, which
     * grows with queues in the network, and short enough for the caller's next attempt to be answered in time.
     */
    Milliseconds minHealthCheckTimeout { 80 };
    Milliseconds maxHealthCheckTimeout { 400 };
    /** Connect timeout as a multiple of the mean handshake time. */
    std::int64_t healthCheckTimeoutFactor = 8;
    /**
     * Time before a zone that is no longer withdrawn receives new flows; by then announcements tell whether its
     * upstreams are cold.
     */
    Milliseconds zoneReturnDelay { 2000 };
    /** Limits of uploads by the outgoing link. */
    UploadAdmissionSettings uploads {};
    /** Load sharing with the other routers; off by default. */
    LoadSharingSettings load {};
};

/**
 * @brief Selects the upstream for each packet of a flow.
 *
 * An opening packet is assigned an upstream, whose token both ends include in every later packet. Other packets are
 * forwarded to the upstream identified by their token. Flows are tracked only to estimate the load of upstreams and to
 * detect failed ones, so that a router that has just started forwards packets of open flows as well.
 */
class FlowRouter {
public:
    explicit FlowRouter(const FlowRouterSettings& settings);

    /** @brief Replaces routes and withdrawn zones by a newer revision. @return True if the revision was newer. */
    bool adopt(const feed::RoutingState& state, TimePoint now);
    /** @brief Merges announcements of upstreams. @return True if any of them changed what is known. */
    bool merge(const std::vector<upstream::AgedAnnouncement>& announcements, TimePoint now);
    /**
     * @brief Marks that the complete state of a control instance has been merged.
     *
     * Until then, packets without a known route or upstream are held.
     */
    void setSynchronized() noexcept { this->synchronized = true; }
    /**
     * @brief Merges the load of the zone, as a control instance has reported it. Without load sharing only the flows of
     *        other routers count, for the flow limits.
     */
    void merge(const load::LoadReply& reply, TimePoint now);
    /** @brief Replaces the facts of all routes, which were too large for a reply. */
    void setRouteFacts(const load::RouteFacts& facts);
    /** @brief Forgets the load of the zone, as after a process pause, in which it has changed. */
    void clearLoad() { this->loadView.clear(); }
    /**
     * @brief Tells whether other routers need the flow counts of this one to keep to `max_flows`.
     * @return True if this router has a part of the flow limit of some upstream with which `maxRoutersOfZone` routers
     *         together would reach it.
     */
    [[nodiscard]] bool hasNotableFlows() const;
    /** @return What is known about the load of the zone. */
    [[nodiscard]] const LoadView& load() const noexcept { return this->loadView; }
    /** @return The load of this router since the previous report; its number is 0. */
    [[nodiscard]] load::LoadReport makeLoadReport(TimePoint now);
    /** @return Openings sent to other zones since the start of the process; empty while load sharing is off. */
    [[nodiscard]] const SpillCounters& spillCounters() const noexcept { return this->spill.counters(); }
    /** @return Choices of upstreams that are avoided for their answer time, since the start of the process. */
    [[nodiscard]] std::uint64_t avoidedChoices() const noexcept { return this->chooser.avoidedChoices(); }
    /**
     * @brief Removes and returns the openings that need not wait any longer; to be called after packets have been
     * routed and about every 50 ms.
     */
    [[nodiscard]] std::vector<ReleasedOpening> takeReleased(TimePoint now);
    /** @return How to handle a packet that has arrived. */
    [[nodiscard]] RoutingDecision route(const FlowPacket& packet, TimePoint now);
    /** @brief Sets the number of uploads that wait for the outgoing link, by which new ones are admitted. */
    void setWaitingUploads(std::size_t count) noexcept { this->waitingUploads = count; }
    /**
     * @brief Removes and returns the pending resets for flows of upstreams found dead since the last call.
     *
     * Callers receive the reset before they send the next request. A non-idempotent request then uses a new flow
     * instead of ending with an unknown outcome.
     */
    [[nodiscard]] std::vector<FlowReset> takeResets() { return std::exchange(this->resets, {}); }
    /** @brief Removes and returns the openings to send once more, see `opening_copies.hpp`. */
    [[nodiscard]] std::vector<RepeatedOpening> takeRepeatedOpenings() { return std::exchange(this->repeated, {}); }
    /** @brief Removes and returns the health checks requested since the last call on signs of a failed upstream. */
    [[nodiscard]] std::vector<HealthCheck> takeHealthChecks() { return std::exchange(this->healthChecks, {}); }
    /**
     * @brief Handles a report that another router failed to reach an upstream.
     *
     * Requests a health check by this router, to detect the failure before a request of a caller does.
     */
    void handleSuspicion(const upstream::AgedSuspicion& suspicion, TimePoint now);
    /** @brief Removes and returns the upstreams whose health checks have failed here since the last call. */
    [[nodiscard]] std::vector<upstream::UpstreamNumber> takeUnreachable()
    {
        return std::exchange(this->unreachable, {});
    }
    /**
     * @brief Processes the result of a health check.
     *
     * A failed one ends the open flows of the upstream (`liveness.hpp`). A successful connection ends the unreachable
     * state and has no other effect: a process may accept connections without serving requests.
     */
    void finishHealthCheck(RoutingToken token, bool connected, TimePoint now);
    /** @brief Removes and returns the health transitions of upstreams since the last call, for the log. */
    [[nodiscard]] std::vector<UpstreamHealthChange> takeHealthChanges()
    {
        return std::exchange(this->healthChanges, {});
    }
    /**
     * @brief Clears the recorded failures of all upstreams. Called after a process pause, in which their answers were
     * not seen.
     */
    void clearFailures() { this->upstreams.clearFailures(); }
    /** @brief Requests health checks for overdue answers; to be called about every 50 ms. */
    void checkOverdueAnswers(TimePoint now);
    /** @brief Removes ended and idle flows and old upstreams; to be called about once a second. */
    void expire(TimePoint now);

    [[nodiscard]] const feed::RoutingState& state() const noexcept { return this->current; }
    [[nodiscard]] const UpstreamDirectory& directory() const noexcept { return this->upstreams; }
    /** @return Openings of all services that wait. */
    [[nodiscard]] std::size_t waitingOpenings() const { return this->admission.waiting(); }
    [[nodiscard]] std::size_t flowCount() const noexcept { return this->flows.size(); }

private:
    struct Flow {
        /** Token of the upstream that serves the flow; 0 once the flow has ended. */
        RoutingToken token;
        /** Upstreams that received other transmissions of the opening, latest first. */
        std::array<RoutingToken, 2> otherTokens {};
        /** Sequence number of the last opening or request packet that was not a retransmission. */
        std::uint32_t sequence {};
        /** Next sequence number that the caller expects. */
        std::uint32_t acknowledged {};
        /** Time at which the packet with `sequence` first arrived. */
        TimePoint firstSeenAt;
        /** Time of the last packet. */
        TimePoint lastSeenAt;
        /** Bytes of the unanswered request, or of the last one. */
        std::size_t requestBytes {};
        /** Retransmissions of the packet with `sequence`. */
        std::uint32_t retransmissions {};
        /** Transmissions of the opening after the first one. */
        std::uint32_t openingCopies {};
        /** Time at which its first transmission arrived. */
        TimePoint openedAt;
        /** When the opening was sent once more by this router. */
        std::optional<TimePoint> repeatedAt;
        bool established {};
        /** A request of its caller is unanswered. */
        bool awaitingAnswer {};
        /** Its caller retransmits, without an answer of the upstream since; counted in
         * `FailureEvidence::stalledFlows`. */
        bool stalled {};
        /** Counted in `Upstream::inFlight`. */
        bool inFlight {};
        /** Time at which it was counted there. */
        TimePoint inFlightSince;
        /** Its caller has acknowledged an answer in a packet without data, that is, before its next request. */
        bool acknowledgesImmediately {};
    };

    struct ReturnedZone {
        std::string zone;
        TimePoint usableAt;
    };

    using Candidates = std::vector<Upstream*>;
    using PreferredSlots = std::unordered_map<RoutingToken, std::uint32_t>;

    /** @brief Routes an opening, lets it wait or refuses it. */
    [[nodiscard]] RoutingDecision admitOpening(const FlowPacket& packet, TimePoint now);
    /** @brief Sends openings once more whose answer is overdue. @param timeout Time until an answer is overdue. */
    void repeatOpenings(Microseconds timeout, TimePoint now);
    /** @return The upstream that got the first transmission of an opening, if a copy stays there; otherwise null. */
    [[nodiscard]] Upstream* upstreamOfCopy(const Flow& opening, const FlowPacket& packet, TimePoint now);
    /** @brief Selects an upstream of the service for which the opening was admitted, or of another one if it has none.
     */
    [[nodiscard]] Upstream* chooseAdmitted(
        const feed::CompactRoute& route, std::optional<std::size_t> share, const Flow* previous, TimePoint now);
    /** @return Index of the service in the route for which an opening is admitted, at random by weight. */
    [[nodiscard]] std::size_t selectShare(const feed::CompactRoute& route);
    /**
     * @brief Tells whether the upstreams of another zone have room for an opening of this router.
     *
     * Admission then sends the opening instead of letting it wait; `chooseUpstream` has to choose an upstream of that
     * zone, as the own zone has no room.
     */
    [[nodiscard]] bool hasRemoteRoom(const std::string& service, TimePoint now);
    /** @return True if the usable upstreams of all services of the route are at their flow limit. */
    [[nodiscard]] bool isFull(const feed::CompactRoute& route, TimePoint now) const;
    /** @return The largest priority number of the routes to a service, that is, its least important one. */
    [[nodiscard]] std::uint32_t lowestPriorityOf(const std::string& service) const;
    /** @return What is known about the room for another request of a service. */
    [[nodiscard]] ServiceRoom roomOf(const std::string& service, TimePoint now);
    /** @brief Records the requests of each service when a load reply has arrived. */
    void observeReply(TimePoint now);
    /** @return True until the first load reply, for a limited time after the router was synchronized. */
    [[nodiscard]] bool isCautious(TimePoint now) const;
    /** @brief Routes or refuses an opening whose wait has ended. */
    [[nodiscard]] ReleasedOpening finishWait(const AdmissionRelease& release, TimePoint now);
    /** @return Index of the service in the route with that address; empty if it is not one of its services. */
    [[nodiscard]] std::optional<std::size_t> shareOf(const Endpoint& address, const std::string& service) const;
    [[nodiscard]] AdmissionFigures admissionFigures(const std::string& service, const Endpoint& route, TimePoint now);
    /** @param share Index of the service in the route for which the opening was admitted; empty for any. */
    [[nodiscard]] RoutingDecision routeOpening(
        const FlowPacket& packet, std::optional<std::size_t> share, TimePoint now);
    [[nodiscard]] RoutingDecision routeEstablished(const FlowPacket& packet, TimePoint now);
    /** @return The token of the upstream that serves the flow, given the token of a packet. */
    [[nodiscard]] RoutingToken tokenOfOpenFlow(Flow& flow, RoutingToken received);
    /** @brief Updates the flow and its upstream for a forwarded packet, and completes the decision. */
    void trackPacket(
        Flow& flow, Upstream& upstream, const FlowPacket& packet, RoutingDecision& decision, TimePoint now);
    /** @brief Records evidence that the upstream has answered this flow; clears its failures. */
    void recordAnswer(Flow& flow, const Endpoint& route, Upstream& upstream, TimePoint now);
    /** @brief Counts a request of the flow as in flight, if it is not counted yet. */
    void startRequest(Flow& flow, Upstream& upstream, TimePoint now);
    /** @brief Ends the count of the flow's request; `upstream` may be null. */
    void finishRequest(Flow& flow, Upstream* upstream);
    /** @brief Ends the counts of requests that have taken so long that they were presumably answered or rejected. */
    void expireRequests(TimePoint now);
    /** @brief Removes the flow from the counts of its upstream. */
    void endFlow(Flow& flow);
    /** @return True if a packet with data belongs to a stalled flow and a threshold for a health check is reached. */
    [[nodiscard]] bool isStallThresholdReached(
        const Flow& flow, const Upstream& upstream, const FlowPacket& packet) const;
    /** @brief Records that the upstream rejects new flows, if enough callers and retries were left unanswered. */
    void detectRejection(Upstream& upstream, TimePoint now);
    /** @return What is known about an upstream, apart from checks and callers. */
    [[nodiscard]] LivenessEvidence evidenceOf(const Upstream& upstream, TimePoint now) const;
    /** @brief Requests health checks of upstreams that have left, so that their flows end soon if they are gone. */
    void checkDeparted(const std::vector<upstream::AgedAnnouncement>& announcements, TimePoint now);
    /** @brief Records that the upstream is dead, and ends its flows if it was not known. */
    void markDead(Upstream& upstream, TimePoint now);
    /** @brief Queues resets for the established flows of a dead upstream. */
    void resetFlowsOf(Upstream& upstream, TimePoint now);
    /** @return Time since the last answer that this router has seen; empty if there was none. */
    [[nodiscard]] static std::optional<Microseconds> sinceLastAnswer(const Upstream& upstream, TimePoint now);
    /** @brief Queues a health check unless the last one was requested less than `interval` ago. */
    void requestHealthCheck(Upstream& upstream, Milliseconds interval, TimePoint now);
    void recordOpening(Upstream& upstream, const Endpoint& caller, TimePoint now);
    /** @return Part of the time in flight that requests take a slot or wait for one. Unit: percent. */
    [[nodiscard]] std::uint32_t slotPercent() const;
    /** @brief Records the time of a handshake with an upstream of a zone. */
    void recordHandshakeTime(Microseconds duration, const std::string& zone, TimePoint now);
    void recordAnswerTime(Microseconds duration);
    [[nodiscard]] Microseconds handshakeTimeout() const;
    /** @return True if the upstream is unreachable, or left an opening unanswered and its retry is not due. */
    [[nodiscard]] bool isAvoided(const Upstream& upstream, TimePoint now) const;
    /**
     * @brief Selects the upstream for an opening.
     * @param previous The flow of an earlier transmission of the opening, or null.
     * @return Null if no upstream is available.
     */
    [[nodiscard]] Upstream* chooseUpstream(const feed::CompactRoute& route, const Flow* previous, TimePoint now);
    [[nodiscard]] Upstream* chooseUpstreamOfService(
        const config::ServiceLimits& service, const Endpoint& route, const Flow* previous, TimePoint now);
    /**
     * @brief Selects by the load of the zone: an upstream of the own zone, or of another one if that pays.
     * @param load Load of the service in the own zone.
     * @return Null if all upstreams of the own zone have as many flows as they may have.
     */
    [[nodiscard]] Upstream* chooseByLoad(const Candidates& sameZone, const Candidates& otherZones,
        const load::ServiceLoad& load, const config::ServiceLimits& service, const Endpoint& route, TimePoint now);
    /** @return An upstream of another zone for an opening that is better served there; null if it is not. */
    [[nodiscard]] Upstream* chooseOfOtherZone(const Candidates& otherZones, const load::ServiceLoad& load,
        std::uint32_t maxFlows, const Endpoint& route, TimePoint now);
    /** @return Granted slots of other zones that this router may still use; 0 unless the service spills over. */
    [[nodiscard]] std::uint32_t freeRemoteSlots(const std::string& service, TimePoint now) const;
    /** @brief Selects one of the upstreams by the load of all routers. @return Null if all are at their flow limit. */
    [[nodiscard]] Upstream* placeByLoad(
        const Candidates& candidates, const PlacementLoad& load, const PreferredSlots& preferred, TimePoint now);
    /** @return The slots of the own zone's upstreams that this router uses first; empty if its part is not known. */
    [[nodiscard]] PreferredSlots findPreferredSlots(
        const std::string& service, std::uint32_t routers, TimePoint now) const;
    [[nodiscard]] Upstream* leastLoaded(const Candidates& candidates);
    /** @return True if the flows of all routers, as far as they are known, leave room for another one. */
    [[nodiscard]] bool hasRoom(const Upstream& upstream, std::uint32_t maxFlows, TimePoint now) const;
    /** @return True if the announced state, the cold state and the zone of an upstream allow new flows. */
    [[nodiscard]] bool isUsable(const Upstream& upstream, TimePoint now) const;
    /** @return True if a zone is withdrawn, or has returned less than `zoneReturnDelay` ago. */
    [[nodiscard]] bool isZoneUnavailable(const std::string& zone, TimePoint now) const;

    FlowRouterSettings settings;
    std::mt19937_64 random;
    feed::RoutingState current;
    bool synchronized {};
    std::vector<FlowReset> resets;
    std::vector<HealthCheck> healthChecks;
    std::vector<RepeatedOpening> repeated;
    std::vector<upstream::UpstreamNumber> unreachable;
    std::vector<UpstreamHealthChange> healthChanges;
    /** Running mean of the time from an opening to the end of the handshake. */
    Microseconds meanHandshakeTime {};
    /** Running mean of the time from a request to the acknowledged answer, in flows that acknowledge at once. */
    Microseconds meanAnswerTime {};
    /** Index in `RoutingState::routes` by the address of the route. */
    std::unordered_map<Endpoint, std::size_t> routeIndices;
    std::unordered_set<std::string> withdrawnZones;
    std::vector<ReturnedZone> returnedZones;
    UpstreamDirectory upstreams;
    LoadView loadView;
    UpstreamChooser chooser;
    SpillPolicy spill;
    /** Why the last choice of an upstream gave none. */
    RoutingReason noUpstreamReason = RoutingReason::NoUpstream;
    UploadAdmission uploads;
    std::size_t waitingUploads {};
    std::unordered_map<FlowId, Flow, FlowIdHash> flows;
    AdmissionController admission { this->settings.load.admission };
    /** Time at which admission first found the router synchronized. */
    std::optional<TimePoint> synchronizedAt;
    /** Number of load replies that admission has seen. */
    std::uint64_t observedReplies {};
};

} // namespace zinnia::routing
