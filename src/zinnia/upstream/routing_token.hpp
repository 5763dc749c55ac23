#pragma once

#include "zinnia/core/strong_id.hpp"
#include "zinnia/upstream/announcement.hpp"

#include <cstdint>

namespace zinnia::upstream {

/**
 * @brief 32-bit token that both ends of a flow include in every packet.
 *
 * The token identifies the incarnation of the upstream that serves the flow, so that any router can forward the packet
 * without per-flow state. 0 identifies no upstream.
 */
using RoutingToken = StrongId<struct RoutingTokenTag, std::uint32_t>;

/** @return The routing token of an upstream, derived from its number; never 0. */
[[nodiscard]] constexpr RoutingToken tokenOf(UpstreamNumber number) noexcept
{
    // Numbers of up to 32 bits map to themselves, so that two such upstreams never share a token.
    const auto folded = static_cast<std::uint32_t>(number.value ^ (number.value >> 32U));
    return RoutingToken { folded == 0 ? 1U : folded };
}

} // namespace zinnia::upstream
