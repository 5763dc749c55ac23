#pragma once

#include <cstdint>
#include <vector>

namespace zinnia::load {

/** Slowness from which an upstream counts as slow. Unit: percent of the median. */
inline constexpr std::uint32_t slowFrom = 150;

/**
 * @brief Compares the answer times of the upstreams of one service.
 *
 * At most 30 % of the upstreams are slow; the least slow ones above that share get 100.
 *
 * @param means Mean answer time of each upstream in any unit; 0 if not known.
 * @return Answer time of each upstream in percent of the median; 100 if not known.
 */
[[nodiscard]] std::vector<std::uint32_t> slownessOf(const std::vector<double>& means);

} // namespace zinnia::load
