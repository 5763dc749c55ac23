#pragma once

#include <cstddef>
#include <cstdint>

namespace zinnia {

/** @return The unsigned number in the first `sizeof(T)` bytes of `from`, most significant byte first. */
template <class T> [[nodiscard]] constexpr T readBigEndian(const std::uint8_t* from) noexcept
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i)
        value = (value << 8U) | from[i];
    return static_cast<T>(value);
}

/** @brief Writes an unsigned number into the first `sizeof(T)` bytes of `to`, most significant byte first. */
template <class T> constexpr void writeBigEndian(std::uint8_t* to, T value) noexcept
{
    for (std::size_t i = 0; i < sizeof(T); ++i)
        to[i] = static_cast<std::uint8_t>(std::uint64_t { value } >> (8 * (sizeof(T) - 1 - i)));
}

} // namespace zinnia
