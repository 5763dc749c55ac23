#pragma once

#include "zinnia/core/time.hpp"

#include <chrono>
#include <cstdint>

namespace zinnia::standin {

/** @return Wall-clock time in milliseconds since 1970; used to compare counters of different processes. */
[[nodiscard]] inline std::int64_t unixMilliseconds() noexcept
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/** @return The wall-clock time of `then`, given that the current time is `now`. */
[[nodiscard]] inline std::int64_t unixMillisecondsOf(TimePoint then, TimePoint now) noexcept
{
    return unixMilliseconds() - std::chrono::duration_cast<Milliseconds>(now - then).count();
}

} // namespace zinnia::standin
