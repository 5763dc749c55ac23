#pragma once

#include "zinnia/load/messages.hpp"

#include <cstdint>

namespace zinnia::routing {

/** @brief What a router knows about the room for another request of a service, at the time of a decision. */
struct ServiceRoom {
    /** Requests of this router at upstreams of the own zone, those in open flows included. */
    std::uint32_t inFlight {};
    /** Requests of this router at upstreams of the own zone when the last reply arrived. */
    std::uint32_t inFlightAtReply {};
    /** Slots of the usable upstreams of the own zone, as announced. */
    std::uint32_t slots {};
    /** Load of the zone; null if it is not known or stale. */
    const load::ServiceLoad* load {};
    /** The router has just started and has no reply yet. */
    bool isCautious {};
    /** Another zone has room for an opening of this router. */
    bool hasRemoteRoom {};
    /** Least important priority of the routes to the service; 0 is most important. */
    std::uint32_t lowestPriority {};
};

/** @return Requests that a cautious router may have in flight. */
[[nodiscard]] std::uint32_t cautiousLimit(const ServiceRoom& room);

/**
 * @brief Estimates the requests of all routers of the zone now, in flight and waiting.
 *
 * Adds the change of this router since the reply to the figures of the reply: for each of the routers if it is larger
 * than chance explains, for this one alone otherwise. With one or two requests at each of 66 routers, one request more
 * would else look like a burst. `room.load` must be known.
 */
[[nodiscard]] std::int64_t estimatedInFlight(const ServiceRoom& room);

/**
 * @brief Decides whether another request may be sent.
 *
 * Compares the requests of this router with its allowance only while the zone is estimated to be at its limit.
 */
[[nodiscard]] bool hasRoom(const ServiceRoom& room);

/**
 * @brief Decides whether an opening may be sent although the zone is at its limit.
 *
 * Requests in open flows cannot be refused and may take the whole limit. Openings of a priority above the least
 * important one are therefore sent until the queues of the upstreams would take most of their own objective.
 */
[[nodiscard]] bool hasUrgentRoom(const ServiceRoom& room, const load::RouteFact& fact);

/**
 * @return Time that an answer is expected to take while the zone is at its limit; 0 if not known. Requests above the
 * slots wait at the upstreams, so the time rises with the ratio of the limit to the capacity.
 */
[[nodiscard]] Microseconds expectedAnswerTime(const ServiceRoom& room);

/** @return Time until this router's requests have ended so often that `openings` have been released; 0 if not known. */
[[nodiscard]] Microseconds expectedWait(const ServiceRoom& room, std::size_t openings);

} // namespace zinnia::routing
