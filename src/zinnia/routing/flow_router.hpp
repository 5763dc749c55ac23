#pragma once

#include "zinnia/feed/messages.hpp"
#include "zinnia/routing/flow_packet.hpp"
#include "zinnia/routing/routing_decision.hpp"
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

/** @brief Limits and times of a router. */
struct FlowRouterSettings {
    /** Zone of this router; its upstreams come first. */
    std::string zone;
    std::uint64_t seed = 1;
    /** Flows that are remembered; a flow beyond is routed by its token alone. */
    std::size_t flowLimit = 20000;
    /**
     * An upstream whose answer to an opening does not show after this time is avoided. The time is at least this and
     * several times what handshakes usually take here, and shorter than the 200 ms after which callers repeat.
     */
    Milliseconds shortestHandshake { 50 };
    Milliseconds longestHandshake { 180 };
    /** Unit: usual times of a handshake. */
    std::int64_t handshakeFactor = 4;
    /** Time until an upstream that did not answer is tried again; doubles with each try. */
    Milliseconds avoidance { 500 };
    /** Longest time between two such tries. */
    Milliseconds longestAvoidance { 4000 };
    /** Callers whose openings an upstream leaves unanswered, with no answer to anybody since, before it counts as dead.
     */
    std::size_t unansweredCallers = 2;
    /** Times that it was tried again after a pause, also without an answer. */
    std::uint32_t failedTries = 1;
    /** Time between two tries of a dead upstream while there is no other. */
    Milliseconds lastResortPause { 250 };
    /**
     * Flows of one upstream that repeat packets without any answer of the upstream since, from which on it counts as
     * dead. One alone may have lost a packet.
     */
    std::uint32_t stalledFlows = 2;
    /** Repeated packets of a single flow with the same meaning. */
    std::uint32_t repeats = 3;
    /**
     * A packet counts as repeated only this long after its first copy. Callers repeat after 200 ms; copies that come
     * closer together were held up on their way, or here.
     */
    Milliseconds shortestRepeat { 120 };
    /**
     * Shortest time between two checks of an address. While only openings ask for them it doubles with each check that
     * fails, three times at most.
     */
    Milliseconds checkInterval { 500 };
    /**
     * An answer that does not show for this long, in flows whose callers acknowledge answers at once, asks for a check
     * too: a caller whose machine was refused repeats nothing. At least this, and several times the usual answer.
     */
    Milliseconds shortestAnswer { 100 };
    /** Unit: usual times of an answer. */
    std::int64_t answerFactor = 4;
    /** How long a failed check stands for an open flow; an upstream may have come back since, with its flows. */
    Milliseconds checkValidity { 1000 };
    /**
     * Time for the connection of a check: several times the usual handshake, which grows with queues on the way, and
     * so short that the caller's next try can still be answered in time.
     */
    Milliseconds shortestCheck { 80 };
    Milliseconds longestCheck { 400 };
    /** Unit: usual times of a handshake. */
    std::int64_t checkFactor = 8;
    /** A zone that was put back takes new flows after this time, when announcements tell whether it is cold. */
    Milliseconds returnDelay { 2000 };
};

/**
 * @brief Decides where the packets of flows go.
 *
 * A new flow gets an upstream, whose token both ends return from then on. Other packets go to the upstream that
 * their token names. The flows seen are remembered only to judge load and silence of the upstreams: a router that
 * has just started sends packets of open flows on in the same way.
 */
class FlowRouter {
public:
    explicit FlowRouter(const FlowRouterSettings& settings);

    /** @brief Adopts routes and withdrawn zones if they are newer. @return Whether they were. */
    bool adopt(const feed::RoutingState& state, TimePoint now);
    bool merge(const std::vector<upstream::AgedAnnouncement>& announcements, TimePoint now);
    /** @brief Tells that everything that a control instance knows was merged once; until then packets are held. */
    void setComplete() noexcept { this->complete = true; }
    [[nodiscard]] RoutingDecision route(const FlowPacket& packet, TimePoint now);
    /**
     * @brief Takes the flows of upstreams that were found to be dead since the last call.
     *
     * Their callers learn of it before they send the next request, which for a non-idempotent one is the difference
     * between a new flow and an unknown outcome.
     */
    [[nodiscard]] std::vector<FlowReset> takeResets() { return std::exchange(this->resets, {}); }
    /** @brief Takes the addresses to be checked since the last call, as first signs of a dead upstream were seen. */
    [[nodiscard]] std::vector<AddressCheck> takeChecks() { return std::exchange(this->checks, {}); }
    /** @brief Another router has failed to reach an upstream: this one looks for itself before a caller finds out. */
    void suspect(const upstream::AgedSuspicion& suspicion, TimePoint now);
    /** @brief Takes the upstreams that this router has found to be unreachable since the last call. */
    [[nodiscard]] std::vector<upstream::UpstreamNumber> takeFindings() { return std::exchange(this->findings, {}); }
    /** @brief Takes the result of a check. A connection proves nothing: a process may listen and not work. */
    void checked(RoutingToken token, bool connected, TimePoint now);
    /** @brief Takes what was concluded about upstreams since the last call, for the log. */
    [[nodiscard]] std::vector<UpstreamNote> takeNotes() { return std::exchange(this->notes, {}); }
    /** @brief Forgets which upstreams left openings unanswered: this process stood still and has seen no answers. */
    void forgive() { this->upstreams.forgiveAll(); }
    /** @brief Looks for answers that are overdue; to be called about each 50 ms. */
    void watch(TimePoint now);
    /** @brief Forgets ended flows and upstreams; to be called about once a second. */
    void expire(TimePoint now);

    [[nodiscard]] const feed::RoutingState& state() const noexcept { return this->current; }
    [[nodiscard]] const UpstreamDirectory& directory() const noexcept { return this->upstreams; }
    [[nodiscard]] std::size_t flowCount() const noexcept { return this->flows.size(); }

private:
    struct FlowId {
        Endpoint caller;
        Endpoint service;
        [[nodiscard]] friend bool operator==(const FlowId&, const FlowId&) = default;
    };

    struct FlowIdHash {
        [[nodiscard]] std::size_t operator()(const FlowId& id) const noexcept;
    };

    struct Flow {
        RoutingToken token;
        /** The upstreams to which other copies of the opening went. */
        std::array<RoutingToken, 2> tried {};
        std::uint32_t sequence {};
        std::uint32_t acknowledged {};
        /** When the packet with `sequence` was first seen. */
        TimePoint sentAt;
        TimePoint seenAt;
        std::uint32_t repeats {};
        bool established {};
        /** Its caller waits for an answer. */
        bool waiting {};
        bool stalled {};
        /** Its caller has acknowledged an answer before it sent the next request. */
        bool acknowledgesAtOnce {};
    };

    struct ReturnedZone {
        std::string zone;
        TimePoint usableAt;
    };

    using Candidates = std::vector<Upstream*>;

    [[nodiscard]] RoutingDecision open(const FlowPacket& packet, TimePoint now);
    [[nodiscard]] RoutingDecision forward(const FlowPacket& packet, TimePoint now);
    /** @return The token of the upstream where the flow is open, given the one that a packet carries. */
    [[nodiscard]] RoutingToken tokenOfOpenFlow(Flow& flow, RoutingToken received);
    void observe(Flow& flow, Upstream& upstream, const FlowPacket& packet, RoutingDecision& decision, TimePoint now);
    void answered(Flow& flow, Upstream& upstream, TimePoint now);
    void end(Flow& flow);
    [[nodiscard]] bool isDead(const Flow& flow, const Upstream& upstream, const FlowPacket& packet) const;
    [[nodiscard]] bool isDeadToOpenings(const Upstream& upstream, TimePoint now) const;
    void resetFlowsOf(Upstream& upstream, SuspicionCause cause, TimePoint now);
    void requestCheck(Upstream& upstream, Milliseconds interval, TimePoint now);
    void noteOpening(Upstream& upstream, const Endpoint& caller, TimePoint now);
    void noteHandshake(Microseconds duration);
    void noteAnswer(Microseconds duration);
    [[nodiscard]] Microseconds handshakeTimeout() const;
    /** @return Whether an upstream has left an opening unanswered and its next try is not due. */
    [[nodiscard]] bool isAvoided(const Upstream& upstream, TimePoint now) const;
    [[nodiscard]] Upstream* choose(const feed::CompactRoute& route, const Flow* previous, TimePoint now);
    [[nodiscard]] Upstream* chooseOf(const std::string& service, const Flow* previous, TimePoint now);
    [[nodiscard]] Upstream* leastLoaded(const Candidates& candidates);
    [[nodiscard]] bool isUsable(const Upstream& upstream, TimePoint now) const;
    [[nodiscard]] bool isOutOfService(const std::string& zone, TimePoint now) const;

    FlowRouterSettings settings;
    std::mt19937_64 random;
    feed::RoutingState current;
    bool complete {};
    std::vector<FlowReset> resets;
    std::vector<AddressCheck> checks;
    std::vector<upstream::UpstreamNumber> findings;
    std::vector<UpstreamNote> notes;
    /** Running mean of the time from an opening to the end of its handshake. */
    Microseconds usualHandshake {};
    /** Running mean of the time until an answer is acknowledged, where that is done at once. */
    Microseconds usualAnswer {};
    std::unordered_map<Endpoint, std::size_t> routeOf;
    std::unordered_set<std::string> withdrawn;
    std::vector<ReturnedZone> returned;
    UpstreamDirectory upstreams;
    std::unordered_map<FlowId, Flow, FlowIdHash> flows;
};

} // namespace zinnia::routing
