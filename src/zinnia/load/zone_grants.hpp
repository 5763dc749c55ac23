#pragma once

#include "zinnia/load/messages.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace zinnia::load {

/**
 * @brief Whether a zone needs slots of other zones for a service, with hysteresis.
 *
 * Need begins when the demand reaches 0.95 of the capacity and ends at 0.8. A zone without usable upstreams needs slots
 * for its whole demand.
 */
class ZoneNeed {
public:
    void update(double demand, double capacity);

    [[nodiscard]] bool isInNeed() const noexcept { return this->inNeed; }
    /** @return Requests above 0.9 of the capacity; 0 unless in need. */
    [[nodiscard]] double slots() const noexcept { return this->needed; }

private:
    bool inNeed = false;
    double needed = 0;
};

/** @brief Load of a service in one zone. */
struct ZoneDemand {
    std::string zone;
    double demand {};
    double capacity {};
};

/**
 * @brief The slots of one service that a zone grants to the others.
 *
 * A zone without need offers what it has below 0.8 of its capacity to the zones in need, in proportion to their needs.
 * A grant moves half of the way to its new value with each summary, and ends at once if the zone has nothing to offer,
 * is in need itself, or no longer hears of the other zone.
 */
class ZoneGrants {
public:
    /** @return The grants for the next summary, without those of 0 slots. */
    std::vector<ZoneGrant> update(
        const ZoneNeed& ownNeed, const ZoneDemand& own, const std::vector<ZoneDemand>& others, TimePoint now);
    /** @return True if the other zone may still use a grant of this zone, so that it must not get requests itself. */
    [[nodiscard]] bool mayBeUsedBy(const std::string& zone, TimePoint now) const;

private:
    struct Grant {
        ZoneNeed need;
        double slots = 0;
        std::optional<TimePoint> lastGranted;
    };

    void updateNeeds(const std::vector<ZoneDemand>& others);

    std::map<std::string, Grant> grants;
};

/**
 * @brief Divides slots in several zones among routers: first all together in proportion to the weights, then by zone.
 * @return Slots of one router by zone. The sums over all routers are `slots`.
 */
[[nodiscard]] std::vector<std::uint32_t> remoteSlotsOf(
    const std::vector<std::uint32_t>& slots, const std::vector<std::uint64_t>& weights, std::size_t router);

} // namespace zinnia::load
