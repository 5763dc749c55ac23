#include "zinnia/load/zone_grants.hpp"

#include "zinnia/load/service_limit.hpp"
#include "zinnia/load/summary_store.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace zinnia::load {

namespace {

    constexpr double needBegins = 0.95;
    constexpr double needEnds = 0.8;
    /** Share of the capacity that a zone in need serves itself. */
    constexpr double ownShare = 0.9;
    /** Share of its capacity up to which a zone offers slots. */
    constexpr double offerShare = 0.8;

} // namespace

void ZoneNeed::update(double demand, double capacity)
{
    if (this->inNeed)
        this->inNeed = demand > needEnds * capacity;
    else
        this->inNeed = demand > 0 && demand >= needBegins * capacity;
    this->needed = this->inNeed ? std::max(0.0, demand - ownShare * capacity) : 0;
}

std::vector<ZoneGrant> ZoneGrants::update(
    const ZoneNeed& ownNeed, const ZoneDemand& own, const std::vector<ZoneDemand>& others, TimePoint now)
{
    this->updateNeeds(others);
    const double offer = ownNeed.isInNeed() ? 0 : std::max(0.0, offerShare * own.capacity - own.demand);
    const double needs = std::accumulate(this->grants.begin(), this->grants.end(), 0.0,
        [](double sum, const auto& item) { return sum + item.second.need.slots(); });
    std::vector<ZoneGrant> result;
    for (auto& [zone, grant] : this->grants) {
        const double target = needs > 0 ? offer * grant.need.slots() / needs : 0;
        grant.slots += (target - grant.slots) / 2;
        // Half steps never reach the target; less than half a slot is of no use.
        if (offer <= 0 || std::abs(target - grant.slots) < 0.5)
            grant.slots = offer <= 0 ? 0 : target;
        const auto slots = static_cast<std::uint32_t>(grant.slots);
        if (slots == 0)
            continue;
        grant.lastGranted = now;
        result.push_back({ zone, slots });
    }
    return result;
}

void ZoneGrants::updateNeeds(const std::vector<ZoneDemand>& others)
{
    const auto isKnown = [&](const std::string& zone) {
        return std::any_of(others.begin(), others.end(), [&](const ZoneDemand& other) { return other.zone == zone; });
    };
    for (auto& [zone, grant] : this->grants) {
        if (isKnown(zone))
            continue;
        // The time of the last grant stays: the other zone may still use it.
        grant.need = {};
        grant.slots = 0;
    }
    for (const auto& other : others)
        this->grants[other.zone].need.update(other.demand, other.capacity);
}

bool ZoneGrants::mayBeUsedBy(const std::string& zone, TimePoint now) const
{
    const auto found = this->grants.find(zone);
    if (found == this->grants.end() || !found->second.lastGranted)
        return false;
    return now - *found->second.lastGranted <= SummaryStore::lifetime;
}

std::vector<std::uint32_t> remoteSlotsOf(
    const std::vector<std::uint32_t>& slots, const std::vector<std::uint64_t>& weights, std::size_t router)
{
    const auto total = std::accumulate(slots.begin(), slots.end(), std::uint32_t { 0 });
    const auto shares = divideSlots(total, weights, 0);
    // The routers' shares and the zones' slots are laid out on the same line; a router gets the zones that it overlaps.
    const auto begin
        = std::accumulate(shares.begin(), shares.begin() + static_cast<std::ptrdiff_t>(router), std::uint32_t { 0 });
    const std::uint32_t end = begin + shares[router];
    std::vector<std::uint32_t> result;
    std::uint32_t zoneBegin = 0;
    for (const std::uint32_t count : slots) {
        const std::uint32_t zoneEnd = zoneBegin + count;
        const std::uint32_t from = std::max(begin, zoneBegin);
        const std::uint32_t to = std::min(end, zoneEnd);
        result.push_back(to > from ? to - from : 0);
        zoneBegin = zoneEnd;
    }
    return result;
}

} // namespace zinnia::load
