#pragma once

#include "zinnia/core/time.hpp"

#include <cmath>
#include <optional>

namespace zinnia::load {

/** @return Weight that remains after `age` if it halves with each half-life; 1 for ages that are not positive. */
[[nodiscard]] inline double decay(Microseconds age, Microseconds halfLife) noexcept
{
    return age.count() <= 0 ? 1.0
                            : std::exp2(-static_cast<double>(age.count()) / static_cast<double>(halfLife.count()));
}

/** @brief A sum whose parts lose half of their weight with each half-life. */
class DecayedSum {
public:
    explicit DecayedSum(Microseconds halfLife)
        : halfLife { halfLife }
    {
    }

    void add(double value, TimePoint now)
    {
        this->sum = this->value(now) + value;
        this->updatedAt = now;
    }
    [[nodiscard]] double value(TimePoint now) const { return this->sum * decay(now - this->updatedAt, this->halfLife); }

private:
    Microseconds halfLife;
    double sum = 0;
    TimePoint updatedAt {};
};

/** @brief Rate of events; the first seconds are corrected for the short time of observation. */
class DecayedRate {
public:
    explicit DecayedRate(Microseconds halfLife)
        : halfLife { halfLife }
        , sum { halfLife }
    {
    }

    /** @brief Records events that happened since the previous call. @param interval Expected time between calls. */
    void add(double events, Microseconds interval, TimePoint now)
    {
        if (!this->since)
            this->since = now - interval;
        this->sum.add(events, now);
    }
    /** @return Events per second. */
    [[nodiscard]] double perSecond(TimePoint now) const
    {
        if (!this->since)
            return 0;
        const double seconds = std::chrono::duration<double>(this->halfLife).count() / std::log(2.0);
        return this->sum.value(now) / (seconds * (1 - decay(now - *this->since, this->halfLife)));
    }

private:
    Microseconds halfLife;
    DecayedSum sum;
    std::optional<TimePoint> since;
};

/** @brief Mean over time of a value that changes in steps. */
class DecayedMean {
public:
    explicit DecayedMean(Microseconds halfLife)
        : halfLife { halfLife }
    {
    }

    /** @brief Sets the value that holds from `now` on. */
    void set(double value, TimePoint now)
    {
        const double kept = decay(now - this->updatedAt, this->halfLife);
        if (this->weight >= 0) {
            this->sum = this->sum * kept + this->current * (1 - kept);
            this->weight = this->weight * kept + (1 - kept);
        } else {
            this->weight = 0;
        }
        this->current = value;
        this->updatedAt = now;
    }
    /** @return The mean up to the last call of `set`; the value itself if no time has passed. */
    [[nodiscard]] double value() const { return this->weight > 0 ? this->sum / this->weight : this->current; }

private:
    Microseconds halfLife;
    double sum = 0;
    /** Negative until the first value. */
    double weight = -1;
    double current = 0;
    TimePoint updatedAt {};
};

} // namespace zinnia::load
