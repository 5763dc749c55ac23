#pragma once

#include <cstdint>

namespace zinnia::request {

/** Observe values wrap at 24 bits (RFC 7641, section 3.4). */
inline constexpr std::uint32_t observeMask = 0xFFFFFF;

/** @return The Observe value `step` after `value`; never 0, which marks an observation without a response yet. */
[[nodiscard]] constexpr std::uint32_t nextObserveValue(std::uint32_t value, std::uint32_t step) noexcept
{
    const std::uint32_t next = (value + step) & observeMask;
    return next == 0 ? 1 : next;
}

/** @return True if `value` is newer than `than` in serial-number arithmetic over 24 bits. */
[[nodiscard]] constexpr bool isNewerObserveValue(std::uint32_t value, std::uint32_t than) noexcept
{
    constexpr std::uint32_t half = 1U << 23U;
    return (than < value && value - than < half) || (than > value && than - value > half);
}

} // namespace zinnia::request
