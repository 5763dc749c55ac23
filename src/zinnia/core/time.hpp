#pragma once

#include <chrono>
#include <cstdint>

namespace zinnia {

using Microseconds = std::chrono::duration<std::int64_t, std::micro>;
using Milliseconds = std::chrono::duration<std::int64_t, std::milli>;
using Seconds = std::chrono::duration<std::int64_t>;

/** @brief The monotonic time base of one process; its origin is arbitrary, so times of two processes do not compare. */
struct MonotonicTime {
    using duration = Microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicTime>;
};

using TimePoint = MonotonicTime::time_point;

/** @brief Source of time. Only the I/O code reads it; protocol and placement logic takes a `TimePoint` argument. */
class Clock {
public:
    virtual ~Clock() = default;
    [[nodiscard]] virtual TimePoint now() const = 0;

protected:
    Clock() = default;
    Clock(const Clock&) = default;
    Clock& operator=(const Clock&) = default;
};

/** @brief A clock that moves only when it is advanced; for tests, replays and benchmarks. */
class ManualClock final : public Clock {
public:
    [[nodiscard]] TimePoint now() const override { return this->current; }
    void advance(Microseconds step) noexcept { this->current += step; }

private:
    TimePoint current { Seconds { 1000 } };
};

} // namespace zinnia
