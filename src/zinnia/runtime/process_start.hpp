#pragma once

#include "zinnia/core/ids.hpp"
#include "zinnia/core/time.hpp"

#include <chrono>
#include <cstdlib>
#include <iostream>

namespace zinnia::runtime {

/** @return The epoch of a process that starts now. It grows with each start as long as the wall clock does. */
[[nodiscard]] inline Epoch epochOfThisStart()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return Epoch { static_cast<std::uint64_t>(std::chrono::duration_cast<Microseconds>(sinceEpoch).count()) };
}

/**
 * @brief Ends the process without the destructors of static objects.
 *
 * The logging library joins its threads there, which delayed the exit of a stopped process by seconds.
 */
[[noreturn]] inline void exitProcess(int code)
{
    std::cout.flush();
    std::cerr.flush();
    std::_Exit(code);
}

} // namespace zinnia::runtime
