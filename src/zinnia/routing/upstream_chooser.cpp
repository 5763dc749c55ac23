#include "zinnia/routing/upstream_chooser.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>

namespace zinnia::routing {

namespace {

    using Indices = std::vector<std::size_t>;

    /** Used until a service time is known. */
    constexpr Microseconds defaultServiceTime { Milliseconds { 50 } };
    /** Differences of answer times below this are within the noise of a mean of few answers. Unit: percent. */
    constexpr std::uint32_t ordinarySlowness = 150;
    /** Loads that differ by less count as equal. Unit: requests per slot. */
    constexpr double loadTolerance = 1e-9;

    /** @brief An upstream with its estimated load. */
    struct Estimate {
        std::size_t index {};
        /** Slots, reduced by its slowness. */
        double capacity {};
        /** Estimated requests of the other routers for each slot, without those of openings since the report. */
        double others {};
        /** Part of them that was reported and is still in flight. */
        double reported {};
        /** Own requests for each slot. */
        double own {};
    };

    [[nodiscard]] double capacityOf(const PlacementCandidate& candidate)
    {
        const double slots = std::max<std::uint32_t>(candidate.slots, 1);
        return candidate.slowness < ordinarySlowness ? slots : slots * 100.0 / candidate.slowness;
    }

    /** @return The part of the reported requests that is still in flight. */
    [[nodiscard]] double remainingShare(const PlacementLoad& load)
    {
        const Microseconds serviceTime = load.serviceTime > Microseconds { 0 } ? load.serviceTime : defaultServiceTime;
        const Microseconds age = std::max(load.age, Microseconds { 0 });
        return std::exp(-static_cast<double>(age.count()) / static_cast<double>(serviceTime.count()));
    }

    /** @return Openings of the other routers since the report that are still in flight. */
    [[nodiscard]] double unreportedRequests(const PlacementLoad& load, double remaining)
    {
        if (load.routers < 2)
            return 0;
        const Microseconds serviceTime = load.serviceTime > Microseconds { 0 } ? load.serviceTime : defaultServiceTime;
        const double ofOthers = load.openingsPerSecond * (load.routers - 1) / load.routers;
        return ofOthers * std::chrono::duration<double> { serviceTime }.count() * (1 - remaining);
    }

    [[nodiscard]] std::vector<Estimate> estimate(
        std::span<const PlacementCandidate> candidates, const Indices& indices, double remaining, double unreported)
    {
        double reported = 0;
        double flows = 0;
        for (const std::size_t index : indices) {
            reported += candidates[index].othersInFlight;
            flows += candidates[index].flows;
        }
        // The answered requests were replaced. What openings do not account for are requests of open flows.
        const double ofOpenFlows = std::max(0.0, reported * (1 - remaining) - unreported);
        std::vector<Estimate> estimates;
        estimates.reserve(indices.size());
        for (const std::size_t index : indices) {
            const PlacementCandidate& candidate = candidates[index];
            const double share = flows > 0 ? candidate.flows / flows : 1.0 / static_cast<double>(indices.size());
            const double stillInFlight = candidate.othersInFlight * remaining;
            const double others = stillInFlight + ofOpenFlows * share;
            const double capacity = capacityOf(candidate);
            estimates.push_back(
                { index, capacity, others / capacity, stillInFlight / capacity, candidate.ownInFlight / capacity });
        }
        return estimates;
    }

    /** @return The load per slot up to which requests fill the least loaded upstreams. */
    [[nodiscard]] double fillLevel(std::vector<Estimate> estimates, double requests)
    {
        std::sort(estimates.begin(), estimates.end(),
            [](const Estimate& left, const Estimate& right) { return left.others < right.others; });
        double capacity = 0;
        double filled = requests;
        double level = estimates.front().others;
        for (std::size_t i = 0; i < estimates.size(); ++i) {
            capacity += estimates[i].capacity;
            filled += estimates[i].others * estimates[i].capacity;
            level = filled / capacity;
            if (i + 1 < estimates.size() && level <= estimates[i + 1].others)
                break;
        }
        return level;
    }

    /** @return The index of one of the estimates, with a probability proportional to its weight. */
    template <class WeightOf>
    [[nodiscard]] std::size_t drawByWeight(
        const std::vector<Estimate>& estimates, const WeightOf& weightOf, std::mt19937_64& random)
    {
        double total = 0;
        for (const Estimate& item : estimates)
            total += weightOf(item);
        double position = std::uniform_real_distribution<double> { 0, total }(random);
        for (const Estimate& item : estimates) {
            position -= weightOf(item);
            if (position < 0)
                return item.index;
        }
        return estimates.back().index;
    }

    /** @return The upstream with free slots that the router prefers; empty if all of them are taken. */
    [[nodiscard]] std::optional<std::size_t> choosePreferred(
        std::span<const PlacementCandidate> candidates, const std::vector<Estimate>& estimates, std::mt19937_64& random)
    {
        std::optional<std::size_t> best;
        std::pair<double, double> lowest;
        std::uint32_t ties = 0;
        for (const Estimate& item : estimates) {
            const PlacementCandidate& candidate = candidates[item.index];
            const bool isFree = candidate.ownInFlight < candidate.preferredSlots && item.reported + item.own < 1;
            if (!isFree || candidate.slowness >= ordinarySlowness)
                continue;
            const std::pair load { static_cast<double>(candidate.ownInFlight) / candidate.preferredSlots, item.others };
            if (!best || load < lowest) {
                best = item.index;
                lowest = load;
                ties = 1;
            } else if (load == lowest && std::uniform_int_distribution<std::uint32_t> { 1, ++ties }(random) == 1) {
                best = item.index;
            }
        }
        return best;
    }

    /** @return The candidates to avoid: the slowest ones, at most the permitted share and never all. */
    [[nodiscard]] Indices findAvoided(std::span<const PlacementCandidate> candidates, const Indices& usable)
    {
        Indices slow;
        for (const std::size_t index : usable) {
            if (candidates[index].slowness >= UpstreamChooser::avoidedSlowness)
                slow.push_back(index);
        }
        std::stable_sort(slow.begin(), slow.end(), [&](std::size_t left, std::size_t right) {
            return candidates[left].slowness > candidates[right].slowness;
        });
        slow.resize(std::min(slow.size(), usable.size() * UpstreamChooser::maxAvoidedPercent / 100));
        return slow;
    }

} // namespace

std::vector<std::uint32_t> preferredSlots(
    std::span<const std::uint32_t> slots, std::uint32_t position, std::uint32_t routers)
{
    std::vector<std::uint32_t> preferred(slots.size());
    const std::uint64_t total = std::accumulate(slots.begin(), slots.end(), std::uint64_t { 0 });
    if (position == 0 || position > routers)
        return preferred;
    // Slots are numbered through; the router has those from `begin` to `end`.
    const std::uint64_t begin = total * (position - 1) / routers;
    const std::uint64_t end = total * position / routers;
    std::uint64_t first = 0;
    for (std::size_t i = 0; i < slots.size(); ++i) {
        const std::uint64_t next = first + slots[i];
        if (first < end && begin < next)
            preferred[i] = static_cast<std::uint32_t>(std::min(end, next) - std::max(begin, first));
        first = next;
    }
    return preferred;
}

std::optional<std::size_t> UpstreamChooser::choose(
    std::span<const PlacementCandidate> candidates, const PlacementLoad& load, std::mt19937_64& random)
{
    Indices usable;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (load.maxFlows == 0 || candidates[i].flows < load.maxFlows)
            usable.push_back(i);
    }
    if (usable.empty())
        return std::nullopt;
    if (const auto avoided = this->takeAvoided(candidates, usable, random))
        return avoided;
    const double remaining = remainingShare(load);
    const double unreported = unreportedRequests(load, remaining);
    std::vector<Estimate> estimates = estimate(candidates, usable, remaining, unreported);
    if (const auto preferred = choosePreferred(candidates, estimates, random))
        return preferred;
    const double level = fillLevel(estimates, unreported);
    const auto loadOf = [level](const Estimate& item) { return std::max(item.others, level) + item.own; };
    const auto lowest = std::min_element(estimates.begin(), estimates.end(),
        [&](const Estimate& left, const Estimate& right) { return loadOf(left) < loadOf(right); });
    const double limit = loadOf(*lowest) + loadTolerance;
    std::erase_if(estimates, [&](const Estimate& item) { return loadOf(item) > limit; });
    const bool anyBelow = std::any_of(
        estimates.begin(), estimates.end(), [&](const Estimate& item) { return item.others < level - loadTolerance; });
    return drawByWeight(
        estimates,
        [&](const Estimate& item) { return item.capacity * (anyBelow ? std::max(0.0, level - item.others) : 1.0); },
        random);
}

std::optional<std::size_t> UpstreamChooser::takeAvoided(
    std::span<const PlacementCandidate> candidates, std::vector<std::size_t>& usable, std::mt19937_64& random)
{
    const Indices avoided = findAvoided(candidates, usable);
    if (avoided.empty())
        return std::nullopt;
    // Requests in flight there measure it as well, so more of them would only wait.
    Indices idle;
    std::copy_if(avoided.begin(), avoided.end(), std::back_inserter(idle), [&](std::size_t index) {
        const PlacementCandidate& candidate = candidates[index];
        return candidate.ownInFlight + candidate.othersInFlight < std::max<std::uint32_t>(candidate.slots, 1);
    });
    if (!idle.empty() && std::uniform_int_distribution<std::uint32_t> { 1, avoidedChoiceInterval }(random) == 1) {
        ++this->avoidedCount;
        return idle[std::uniform_int_distribution<std::size_t> { 0, idle.size() - 1 }(random)];
    }
    std::erase_if(
        usable, [&](std::size_t index) { return std::find(avoided.begin(), avoided.end(), index) != avoided.end(); });
    return std::nullopt;
}

} // namespace zinnia::routing
