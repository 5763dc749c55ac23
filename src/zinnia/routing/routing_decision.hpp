#pragma once

#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/name_table.hpp"
#include "zinnia/core/time.hpp"
#include "zinnia/routing/upstream_directory.hpp"

#include <cstdint>
#include <optional>

namespace zinnia::routing {

/** @brief What to do with a packet. */
enum class PacketAction : std::uint8_t {
    Forward,
    Reset,
    Drop,
    /** Keep the packet until routes and upstreams are known. */
    Hold,
    /** Keep the opening until `FlowRouter::takeReleased` names it. */
    Wait,
};

inline constexpr NameTable<PacketAction, 5> packetActionNames { {
    { PacketAction::Forward, "forward" },
    { PacketAction::Reset, "reset" },
    { PacketAction::Drop, "drop" },
    { PacketAction::Hold, "hold" },
    { PacketAction::Wait, "wait" },
} };
static_assert(isDense(packetActionNames));

[[nodiscard]] constexpr std::string_view nameOf(PacketAction action) noexcept
{
    return nameIn(packetActionNames, action);
}

/** @brief Why a packet is reset, dropped or held, or why a retransmitted opening moved to another upstream. */
enum class RoutingReason : std::uint8_t {
    None,
    NoRoute,
    NoUpstream,
    UnknownToken,
    UpstreamGone,
    UpstreamDead,
    CopyMoved,
    NoState,
    LinkFull,
    /** The service cannot answer another request in time. */
    Overloaded,
    /** The opening has waited until its request could no longer be answered in time. */
    WaitedTooLong,
    /** Every usable upstream has as many flows as it may have. */
    FlowsFull,
};

inline constexpr NameTable<RoutingReason, 12> routingReasonNames { {
    { RoutingReason::None, "none" },
    { RoutingReason::NoRoute, "no_route" },
    { RoutingReason::NoUpstream, "no_upstream" },
    { RoutingReason::UnknownToken, "unknown_token" },
    { RoutingReason::UpstreamGone, "upstream_gone" },
    { RoutingReason::UpstreamDead, "upstream_dead" },
    { RoutingReason::CopyMoved, "copy_moved" },
    { RoutingReason::NoState, "no_state" },
    { RoutingReason::LinkFull, "link_full" },
    { RoutingReason::Overloaded, "overloaded" },
    { RoutingReason::WaitedTooLong, "waited_too_long" },
    { RoutingReason::FlowsFull, "flows_full" },
} };
static_assert(isDense(routingReasonNames));

[[nodiscard]] constexpr std::string_view nameOf(RoutingReason reason) noexcept
{
    return nameIn(routingReasonNames, reason);
}

/** @brief A reset to send to a caller without a packet of the flow that triggers it. */
struct FlowReset {
    Endpoint caller;
    Endpoint service;
    /** Next sequence number that the caller expects. */
    std::uint32_t acknowledged {};
    upstream::UpstreamNumber upstream;
};

/** @brief The load by which an opening was refused or has to wait. */
struct AdmissionFigures {
    /** Requests that may be in flight: those of the zone, or of this router while it has no load information. */
    std::uint32_t limit {};
    /** Requests in flight, in the zone or of this router. */
    std::uint32_t inFlight {};
    /** Openings that wait, in the zone or in this router. */
    std::uint32_t waiting {};
    /** Priority of the route of the opening. */
    std::uint32_t priority {};
};

/** @brief How one packet is handled. */
struct RoutingDecision {
    PacketAction action {};
    RoutingReason reason {};
    /** Set for `Forward`, and for other actions if the upstream is known; valid until the next call of the router. */
    const Upstream* upstream {};
    /** The packet is the first of a request. */
    bool startsRequest {};
    /** Time from the opening to this packet, if the packet completes the handshake. */
    std::optional<Microseconds> handshakeTime {};
    /** Time from the request to this packet, if the packet acknowledges the first part of the answer. */
    std::optional<Microseconds> answerTime {};
    /** Set if admission has refused the opening or makes it wait. */
    std::optional<AdmissionFigures> admission {};
};

/** @brief An opening that waited, and how it is handled now. */
struct ReleasedOpening {
    FlowPacket packet;
    /** `Forward`, `Reset`, or `Drop` if the caller has given up the opening. */
    RoutingDecision decision;
    Microseconds waited {};
};

/** @brief An opening that is sent once more to the upstream that has not answered it. */
struct RepeatedOpening {
    Endpoint caller;
    Endpoint service;
    /** Valid until the next call of the router. */
    const Upstream* upstream {};
};

/** @brief Why an upstream is suspected: it takes no new flows (`UnansweredOpenings`), or it is dead. */
enum class SuspicionCause : std::uint8_t { None, UnansweredOpenings, Unreachable };

inline constexpr NameTable<SuspicionCause, 3> suspicionCauseNames { {
    { SuspicionCause::None, "none" },
    { SuspicionCause::UnansweredOpenings, "unanswered_openings" },
    { SuspicionCause::Unreachable, "unreachable" },
} };
static_assert(isDense(suspicionCauseNames));

[[nodiscard]] constexpr std::string_view nameOf(SuspicionCause cause) noexcept
{
    return nameIn(suspicionCauseNames, cause);
}

/** @brief A transition of an upstream to dead or rejecting, or back after an answer or a connection. */
struct UpstreamHealthChange {
    upstream::UpstreamNumber upstream;
    /** `None` if the upstream is reachable again. */
    SuspicionCause cause {};
    /** Flows reset because of the transition. */
    std::size_t flowsReset {};
    /** Time since the last answer observed by this router; empty if there was none. */
    std::optional<Microseconds> sinceLastAnswer {};
};

/** @brief A health check to run: open a connection to the address and close it at once. */
struct HealthCheck {
    RoutingToken token;
    Endpoint address;
    /** Time after which the check has failed. */
    Milliseconds timeout {};
};

} // namespace zinnia::routing
