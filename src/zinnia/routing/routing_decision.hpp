#pragma once

#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/name_table.hpp"
#include "zinnia/core/time.hpp"
#include "zinnia/routing/upstream_directory.hpp"

#include <cstdint>
#include <optional>

namespace zinnia::routing {

/** @brief What to do with a packet. */
enum class PacketAction : std::uint8_t { Forward, Reset, Drop, Hold };

inline constexpr NameTable<PacketAction, 4> packetActionNames { {
    { PacketAction::Forward, "forward" },
    { PacketAction::Reset, "reset" },
    { PacketAction::Drop, "drop" },
    { PacketAction::Hold, "hold" },
} };
static_assert(isDense(packetActionNames));

[[nodiscard]] constexpr std::string_view nameOf(PacketAction action) noexcept
{
    return nameIn(packetActionNames, action);
}

/** @brief Why a packet is reset or dropped, or an opening went to another upstream than its first copy. */
enum class RoutingReason : std::uint8_t {
    None,
    NoRoute,
    NoUpstream,
    UnknownToken,
    UpstreamGone,
    UpstreamDead,
    CopyMoved,
    NoState,
};

inline constexpr NameTable<RoutingReason, 8> routingReasonNames { {
    { RoutingReason::None, "none" },
    { RoutingReason::NoRoute, "no_route" },
    { RoutingReason::NoUpstream, "no_upstream" },
    { RoutingReason::UnknownToken, "unknown_token" },
    { RoutingReason::UpstreamGone, "upstream_gone" },
    { RoutingReason::UpstreamDead, "upstream_dead" },
    { RoutingReason::CopyMoved, "copy_moved" },
    { RoutingReason::NoState, "no_state" },
} };
static_assert(isDense(routingReasonNames));

[[nodiscard]] constexpr std::string_view nameOf(RoutingReason reason) noexcept
{
    return nameIn(routingReasonNames, reason);
}

/** @brief A flow to be reset at its caller, although no packet of it has just arrived. */
struct FlowReset {
    Endpoint caller;
    Endpoint service;
    /** Next sequence number that the caller expects. */
    std::uint32_t acknowledged {};
    upstream::UpstreamNumber upstream;
};

/** @brief Result for one packet. */
struct RoutingDecision {
    PacketAction action {};
    RoutingReason reason {};
    /** Given for `Forward`, and for others if the upstream is known; valid until the next call. */
    const Upstream* upstream {};
    /** The packet is the first of a request. */
    bool startsRequest {};
    /** The packet ends the handshake of a flow, which took this long since its opening. */
    std::optional<Microseconds> handshake {};
    /** The packet acknowledges the first part of an answer, this long after the request. */
    std::optional<Microseconds> answer {};
};

/** @brief What shows that an upstream is dead. */
enum class SuspicionCause : std::uint8_t { None, StalledFlows, UnansweredOpenings, Unreachable };

inline constexpr NameTable<SuspicionCause, 4> suspicionCauseNames { {
    { SuspicionCause::None, "none" },
    { SuspicionCause::StalledFlows, "stalled_flows" },
    { SuspicionCause::UnansweredOpenings, "unanswered_openings" },
    { SuspicionCause::Unreachable, "unreachable" },
} };
static_assert(isDense(suspicionCauseNames));

[[nodiscard]] constexpr std::string_view nameOf(SuspicionCause cause) noexcept
{
    return nameIn(suspicionCauseNames, cause);
}

/** @brief An upstream was found to be dead, or has answered after that. */
struct UpstreamNote {
    upstream::UpstreamNumber upstream;
    /** `None` if it answers again. */
    SuspicionCause cause {};
    /** Flows reset with it. */
    std::size_t flows {};
    /** Time since its last answer to this router, if it has ever answered. */
    std::optional<Microseconds> silence {};
};

/** @brief An address to which a connection is to be opened, and closed at once, to see whether anybody listens. */
struct AddressCheck {
    RoutingToken token;
    Endpoint address;
    /** Time after which it has failed. */
    Milliseconds timeout {};
};

} // namespace zinnia::routing
