#include "zinnia/routing/admission_estimate.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace zinnia::routing {

namespace {

    /** Part of the slots of the zone that a router without load information may use, and its minimum. */
    constexpr std::uint32_t cautiousDivisor = 16;
    constexpr std::uint32_t minCautiousLimit = 2;
    /** Standard deviations of a Poisson count within which a change of a router's own requests says nothing of others.
     */
    constexpr double chanceDeviations = 3;
    /** Part of the objective of urgent openings that their expected answer may take. */
    constexpr double urgentShareOfObjective = 0.7;
    /** Bound of the requests for each slot up to which urgent openings are sent; upstreams have short queues. */
    constexpr double maxUrgentQueue = 4;

} // namespace

std::uint32_t cautiousLimit(const ServiceRoom& room)
{
    return std::max(minCautiousLimit, room.slots / cautiousDivisor);
}

std::int64_t estimatedInFlight(const ServiceRoom& room)
{
    const std::int64_t reported = std::int64_t { room.load->inFlight } + room.load->waiting;
    const std::int64_t change = std::int64_t { room.inFlight } - std::int64_t { room.inFlightAtReply };
    const double chance = chanceDeviations * std::sqrt(static_cast<double>(room.inFlightAtReply) + 1);
    const bool isByChance = std::abs(static_cast<double>(change)) <= chance;
    return reported + change * (isByChance ? 1 : std::int64_t { room.load->routers });
}

bool hasRoom(const ServiceRoom& room)
{
    // Without a usable upstream in the zone, other zones are used, which is not limited here.
    if (room.slots == 0 || room.hasRemoteRoom)
        return true;
    if (room.isCautious)
        return room.inFlight < cautiousLimit(room);
    if (room.load == nullptr || room.load->capacity == 0 || room.load->limit == 0)
        return true;
    if (room.inFlight < room.load->allowance)
        return true;
    return estimatedInFlight(room) < std::int64_t { room.load->limit };
}

bool hasUrgentRoom(const ServiceRoom& room, const load::RouteFact& fact)
{
    const bool isUrgent = fact.priority < room.lowestPriority;
    if (!isUrgent || room.load == nullptr || room.load->limit == 0 || room.load->serviceTime == Microseconds { 0 })
        return false;
    const double capacity = room.load->capacity;
    const double services = static_cast<double>(Microseconds { fact.latencyObjective }.count())
        / static_cast<double>(room.load->serviceTime.count());
    const double urgentLimit = capacity * std::clamp(urgentShareOfObjective * services, 1.0, maxUrgentQueue);
    const double allowance = room.load->allowance * urgentLimit / room.load->limit;
    return room.inFlight < allowance || static_cast<double>(estimatedInFlight(room)) < urgentLimit;
}

Microseconds expectedAnswerTime(const ServiceRoom& room)
{
    if (room.load == nullptr || room.load->capacity == 0)
        return Microseconds { 0 };
    return room.load->serviceTime * std::max(room.load->limit, room.load->capacity) / room.load->capacity;
}

Microseconds expectedWait(const ServiceRoom& room, std::size_t openings)
{
    if (room.load == nullptr)
        return Microseconds { 0 };
    return expectedAnswerTime(room) * static_cast<std::int64_t>(openings) / std::max(room.load->allowance, 1U);
}

} // namespace zinnia::routing
