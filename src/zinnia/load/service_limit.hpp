#pragma once

#include "zinnia/core/time.hpp"

#include <cstdint>
#include <vector>

namespace zinnia::load {

/**
 * @return Answer time without waiting at upstreams: the share of the measured time that is not spent in their queues
 *         if they have more requests than slots.
 * @param answerTime Measured mean; 0 if not known.
 */
[[nodiscard]] Microseconds serviceTimeOf(Microseconds answerTime, std::uint64_t capacity, std::uint64_t inFlight);

/**
 * @return Requests that the upstreams may have in flight: between one and two times the slots, so that a request waits
 *         at most 0.6 of the objective. Two times without a known service time or objective.
 * @param objective Shortest latency objective of the service; 0 for none.
 */
[[nodiscard]] std::uint32_t limitOf(std::uint64_t capacity, Microseconds serviceTime, Microseconds objective);

/**
 * @brief Divides slots in proportion to weights (largest remainder; the first one of equals).
 * @param minimum Slots that each gets at least.
 * @return Slots by index. Their sum is `slots`, unless the minimum for all is more than that; then each gets the
 * minimum.
 */
[[nodiscard]] std::vector<std::uint32_t> divideSlots(
    std::uint32_t slots, const std::vector<std::uint64_t>& weights, std::uint32_t minimum);

} // namespace zinnia::load
