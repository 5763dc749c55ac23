#pragma once

#include "zinnia/core/time.hpp"

#include <cstdint>
#include <optional>

namespace zinnia::routing {

/**
 * @brief What a router knows about the upstream that got the first transmission of an opening, when a copy arrives.
 *
 * Two upstreams that get transmissions of one opening may both answer. The flow then is open at one of them, and the
 * other one repeats its answer for about 11 s, each time with its own token, which the caller returns from then on.
 * Only the router that placed the opening knows better, and its record is lost when it is stopped, killed or out of
 * space, or when the network sends the flow to another router.
 *
 * So a lost packet must not lead to a second upstream. The router sends an opening that is not answered within the
 * handshake timeout once more to the same upstream, before the caller sends a copy. If that one takes flows, it answers
 * then, sooner than a copy would be answered. A copy therefore finds an upstream that has left two transmissions
 * unanswered, and moves to another one without delay. If there was no time to repeat the opening, the copy stays, as
 * long as the first upstream is alive and takes flows. It moves if that one
 *
 * - is dead, or has shown no sign of life since the opening: neither a health check has reached it nor a caller has
 *   acknowledged an answer of it;
 * - may be full: another opening was left unanswered since a caller completed a handshake there;
 * - may get no new flows any more: it drains, its zone is withdrawn, or its route has changed;
 * - has left a copy unanswered already.
 *
 * A dead upstream and a full one answer no opening, so a copy that moves away from them leaves the flow unambiguous.
 */
struct FirstUpstream {
    /** It may get new flows of this route. */
    bool isUsable {};
    bool isDead {};
    bool isRejecting {};
    /** When the first transmission arrived. */
    TimePoint openedAt;
    /** Last successful health check, and last answer that a caller acknowledged. */
    std::optional<TimePoint> reachedAt;
    TimePoint answeredAt;
    /** Openings sent to it since a handshake was completed there, this one included. */
    std::uint32_t openingsSinceHandshake {};
    /** Copies of this opening that it has got already. */
    std::uint32_t copies {};
    /** The router has sent it the opening once more, and it had the time of a handshake to answer. */
    bool hasIgnoredRepeat {};
};

/** @return True if a copy of an opening goes to the upstream that got the first transmission. */
[[nodiscard]] constexpr bool copyStays(const FirstUpstream& first) noexcept
{
    const bool isAlive = (first.reachedAt && *first.reachedAt >= first.openedAt) || first.answeredAt >= first.openedAt;
    return first.isUsable && !first.isDead && !first.isRejecting && isAlive && first.openingsSinceHandshake <= 1
        && first.copies == 0 && !first.hasIgnoredRepeat;
}

} // namespace zinnia::routing
