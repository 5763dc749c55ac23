#pragma once

#include "zinnia/core/event.hpp"
#include "zinnia/core/time.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <utility>

namespace zinnia::runtime {

/** @brief Maximum number of lines of one warning event in a second. */
inline constexpr std::uint32_t maxWarningsPerSecond = 50;
/** @brief The same for an event of level info, which changes of the process's own state cause. */
inline constexpr std::uint32_t maxInfosPerSecond = 200;

/**
 * @brief Bounds the lines of each warning and information event.
 *
 * Most warnings are caused by received packets, so an unbounded log would let any sender fill the disk.
 * Errors are not bounded.
 */
class LogLimiter {
public:
    /** @return Lines left out since the last written line, or nothing if this line is to be left out too. */
    [[nodiscard]] std::optional<std::uint64_t> admit(const EventRow& row, TimePoint now)
    {
        if (row.level == LogLevel::Error)
            return 0;
        const std::uint32_t limit = row.level == LogLevel::Warning ? maxWarningsPerSecond : maxInfosPerSecond;
        State& state = this->states[static_cast<std::size_t>(&row - eventCatalogue.data())];
        if (now - state.windowStart >= Seconds { 1 }) {
            state.windowStart = now;
            state.writtenLines = 0;
        }
        if (state.writtenLines >= limit) {
            ++state.suppressedLines;
            return std::nullopt;
        }
        ++state.writtenLines;
        return std::exchange(state.suppressedLines, 0);
    }

private:
    struct State {
        TimePoint windowStart;
        std::uint32_t writtenLines = 0;
        std::uint64_t suppressedLines = 0;
    };

    std::array<State, eventCatalogue.size()> states {};
};

} // namespace zinnia::runtime
