#include "zinnia/load/service_limit.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace zinnia::load {

namespace {

    /** Part of the objective that may be spent in upstreams; the rest is for the network and for variation. */
    constexpr double objectiveShare = 0.6;
    /** Two times the slots keep all of them in use although reports are old. */
    constexpr double maxLimitFactor = 2;

    /** @brief Divides slots among `count` members that start at `first`; their weights sum up to `total`. */
    void divideByRemainder(std::uint64_t slots, const std::vector<std::uint64_t>& weights, std::uint64_t total,
        std::vector<std::uint32_t>::iterator first, std::vector<std::uint32_t>::iterator last,
        std::vector<std::uint32_t>& shares)
    {
        const auto remainderOf = [&](std::uint32_t index) { return slots * weights[index] % total; };
        std::uint64_t left = slots;
        for (auto it = first; it != last; ++it) {
            const std::uint64_t share = slots * weights[*it] / total;
            shares[*it] = static_cast<std::uint32_t>(share);
            left -= share;
        }
        if (left == 0)
            return;
        const auto end = first + static_cast<std::ptrdiff_t>(left);
        std::nth_element(first, end - 1, last, [&](std::uint32_t a, std::uint32_t b) {
            return remainderOf(a) != remainderOf(b) ? remainderOf(a) > remainderOf(b) : a < b;
        });
        for (auto it = first; it != end; ++it)
            ++shares[*it];
    }

} // namespace

Microseconds serviceTimeOf(Microseconds answerTime, std::uint64_t capacity, std::uint64_t inFlight)
{
    if (inFlight <= capacity)
        return answerTime;
    return Microseconds { answerTime.count() * static_cast<std::int64_t>(capacity)
        / static_cast<std::int64_t>(inFlight) };
}

std::uint32_t limitOf(std::uint64_t capacity, Microseconds serviceTime, Microseconds objective)
{
    double factor = maxLimitFactor;
    if (serviceTime.count() > 0 && objective.count() > 0) {
        const double ratio = static_cast<double>(objective.count()) / static_cast<double>(serviceTime.count());
        factor = std::clamp(objectiveShare * ratio, 1.0, maxLimitFactor);
    }
    return static_cast<std::uint32_t>(std::lround(static_cast<double>(capacity) * factor));
}

std::vector<std::uint32_t> divideSlots(
    std::uint32_t slots, const std::vector<std::uint64_t>& weights, std::uint32_t minimum)
{
    std::vector<std::uint32_t> shares(weights.size(), minimum);
    if (weights.empty() || slots <= std::uint64_t { minimum } * weights.size())
        return shares;
    std::uint64_t total = std::accumulate(weights.begin(), weights.end(), std::uint64_t { 0 });
    if (total == 0)
        return divideSlots(slots, std::vector<std::uint64_t>(weights.size(), 1), minimum);
    std::vector<std::uint32_t> order(weights.size());
    std::iota(order.begin(), order.end(), 0U);
    // Members whose proportional share is below the minimum get the minimum. That leaves less for the others, of which
    // more may be below the minimum then.
    std::uint64_t left = slots;
    auto first = order.begin();
    for (bool isDone = minimum == 0; !isDone;) {
        const auto next = std::partition(
            first, order.end(), [&](std::uint32_t index) { return left * weights[index] < minimum * total; });
        isDone = next == first;
        for (; first != next; ++first) {
            left -= minimum;
            total -= weights[*first];
        }
    }
    divideByRemainder(left, weights, total, first, order.end(), shares);
    return shares;
}

} // namespace zinnia::load
