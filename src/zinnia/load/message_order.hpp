#pragma once

#include "zinnia/core/time.hpp"

#include <cstdint>

namespace zinnia::load {

/**
 * @brief Decides whether a message replaces the previous one of its sender.
 *
 * A sender that restarted begins with number 1 again. Its messages are accepted if the previous one has expired, or at
 * once if the number is small and much lower than the last one. A message that is late by as much is accepted, too; the
 * next one of the sender replaces it.
 *
 * @param age Time since the previous message was received.
 */
[[nodiscard]] constexpr bool replaces(
    std::uint64_t number, std::uint64_t last, Microseconds age, Microseconds lifetime) noexcept
{
    // 16 messages are 2 s of reports; datagrams are not reordered over so long a time.
    constexpr std::uint64_t restartNumber = 16;
    return number > last || age > lifetime || (number <= restartNumber && last > number + restartNumber);
}

} // namespace zinnia::load
