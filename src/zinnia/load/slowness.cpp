#include "zinnia/load/slowness.hpp"

#include <algorithm>
#include <cmath>

namespace zinnia::load {

namespace {

    constexpr std::uint32_t ordinary = 100;
    /** Bounds of the result, so that a single outlier does not exclude an upstream for long. */
    constexpr double minSlowness = 10;
    constexpr double maxSlowness = 1000;

    /** @return The lower median of the known means; 0 without any. With the upper one, a slow upstream of two would be
     * the ordinary one. */
    double medianOf(const std::vector<double>& means)
    {
        std::vector<double> known;
        std::copy_if(means.begin(), means.end(), std::back_inserter(known), [](double mean) { return mean > 0; });
        if (known.empty())
            return 0;
        const auto middle = known.begin() + static_cast<std::ptrdiff_t>((known.size() - 1) / 2);
        std::nth_element(known.begin(), middle, known.end());
        return *middle;
    }

} // namespace

std::vector<std::uint32_t> slownessOf(const std::vector<double>& means)
{
    std::vector<std::uint32_t> result(means.size(), ordinary);
    const double median = medianOf(means);
    if (median <= 0)
        return result;
    std::vector<std::size_t> slow;
    for (std::size_t i = 0; i < means.size(); ++i) {
        if (means[i] <= 0)
            continue;
        const double percent = std::clamp(100 * means[i] / median, minSlowness, maxSlowness);
        result[i] = static_cast<std::uint32_t>(std::lround(percent));
        if (result[i] >= slowFrom)
            slow.push_back(i);
    }
    const std::size_t allowed = means.size() * 3 / 10;
    if (slow.size() <= allowed)
        return result;
    const auto firstExcess = slow.begin() + static_cast<std::ptrdiff_t>(allowed);
    std::nth_element(slow.begin(), firstExcess, slow.end(),
        [&](std::size_t a, std::size_t b) { return means[a] != means[b] ? means[a] > means[b] : a < b; });
    for (auto it = firstExcess; it != slow.end(); ++it)
        result[*it] = ordinary;
    return result;
}

} // namespace zinnia::load
