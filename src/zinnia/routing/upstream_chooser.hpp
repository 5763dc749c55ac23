#pragma once

#include "zinnia/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace zinnia::routing {

/** @brief An upstream that may serve an opening, and the load that is known of it. */
struct PlacementCandidate {
    /** Requests that it runs at the same time. */
    std::uint32_t slots = 1;
    /** Requests in flight of this router; exact. */
    std::uint32_t ownInFlight {};
    /** Requests in flight of the other routers of the zone, as last reported. */
    std::uint32_t othersInFlight {};
    /** Open flows of all routers of the zone. */
    std::uint32_t flows {};
    /** Answer time in percent of the median of its service and zone. */
    std::uint32_t slowness = 100;
    /** Slots that this router uses before those of other upstreams; other routers use the remaining ones first. */
    std::uint32_t preferredSlots {};
};

/**
 * @brief Divides the slots of the upstreams of a service evenly among the routers of a zone.
 * @param slots Slots of each upstream, in the same order at all routers.
 * @param position Position of the router among `routers`, from 1; 0 if it is not known.
 * @return The slots of the router at each upstream; all 0 if its position is not known.
 */
[[nodiscard]] std::vector<std::uint32_t> preferredSlots(
    std::span<const std::uint32_t> slots, std::uint32_t position, std::uint32_t routers);

/** @brief What is known of a service when an upstream is chosen. */
struct PlacementLoad {
    /** Age of the reports of the other routers. */
    Microseconds age {};
    /** Mean answer time without waiting; 0 if not known. */
    Microseconds serviceTime {};
    /** New flows at all routers that place by these figures. Unit: per second. */
    double openingsPerSecond {};
    /** Routers that place by these figures, this one included. */
    std::uint32_t routers = 1;
    /** Maximum number of flows of one upstream; 0 for no limit. */
    std::uint32_t maxFlows {};
};

/**
 * @brief Chooses the upstream for an opening by the load of all routers of the zone.
 *
 * The load of an upstream is the sum of the router's own requests in flight, which are exact, and of an estimate of
 * those of the other routers. Of the reported requests, the part exp(-age / service time) is still in flight. The
 * openings since the report are taken to have filled the least loaded upstreams up to a common level, as the other
 * routers place by the same rule. Among the upstreams with the lowest load, the probability is proportional to how far
 * the reported load lies below that level, so that routers with equal reports do not choose the same upstream (M.
 * Dahlin, "Interpreting Stale Load Information", 2000). With the age, it tends towards a choice by own requests alone.
 *
 * Reports older than a service time say little. Each router therefore uses its part of the slots first, of which its
 * own counts are current, and the rule above once these are taken. This is a preference, not a lease: a free slot of
 * any upstream can be used by any router.
 */
class UpstreamChooser {
public:
    /** Slowness from which an upstream is avoided while others are usable. */
    static constexpr std::uint32_t avoidedSlowness = 300;
    /** Maximum share of the candidates that is avoided. Unit: percent. */
    static constexpr std::size_t maxAvoidedPercent = 30;
    /**
     * One choice in this many takes an avoided upstream with a free slot, so that its answers show whether it has
     * recovered.
     */
    static constexpr std::uint32_t avoidedChoiceInterval = 50;

    /** @return The index of a candidate; empty if all of them are at their flow limit, or there is none. */
    [[nodiscard]] std::optional<std::size_t> choose(
        std::span<const PlacementCandidate> candidates, const PlacementLoad& load, std::mt19937_64& random);

    /** @return Choices of avoided upstreams so far. */
    [[nodiscard]] std::uint64_t avoidedChoices() const noexcept { return this->avoidedCount; }

private:
    /** @return One of the avoided upstreams, if one is due; removes all of them from `usable` otherwise. */
    [[nodiscard]] std::optional<std::size_t> takeAvoided(
        std::span<const PlacementCandidate> candidates, std::vector<std::size_t>& usable, std::mt19937_64& random);

    std::uint64_t avoidedCount {};
};

} // namespace zinnia::routing
