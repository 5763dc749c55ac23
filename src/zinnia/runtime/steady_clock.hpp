#pragma once

#include "zinnia/core/time.hpp"

namespace zinnia::runtime {

/** @brief The monotonic clock of the system. */
class SteadyClock final : public Clock {
public:
    [[nodiscard]] TimePoint now() const override
    {
        return TimePoint { std::chrono::duration_cast<Microseconds>(
            std::chrono::steady_clock::now().time_since_epoch()) };
    }
};

} // namespace zinnia::runtime
