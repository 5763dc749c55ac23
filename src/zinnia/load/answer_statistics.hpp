#pragma once

#include "zinnia/load/decayed.hpp"

#include <cstdint>

namespace zinnia::load {

/** @brief Mean answer time of one upstream with a half-life of 2 s. */
class UpstreamAnswers {
public:
    /** @brief Records answers. @param time Sum of their times. */
    void add(std::uint32_t answers, Microseconds time, TimePoint now);
    /**
     * @brief Decides whether the mean is reliable.
     *
     * It becomes so with 8 answers in the window. It remains so while one is left, because an upstream that is avoided
     * gets few requests; otherwise it would count as ordinary again without having recovered.
     */
    [[nodiscard]] bool updateKnown(TimePoint now);
    /** @return Mean time. Unit: microseconds; 0 without an answer. */
    [[nodiscard]] double mean(TimePoint now) const;

private:
    static constexpr Milliseconds halfLife { 2000 };

    DecayedSum count { halfLife };
    DecayedSum time { halfLife };
    bool isKnown = false;
};

/**
 * @brief Mean answer time of one service at the upstreams of the zone.
 *
 * The mean of the last 250 ms (half-life) is used if it has enough answers, else that of the last 2 s. Slowed upstreams
 * give fewer answers: with a half-life of 2 s only, the limit of a service had not changed 2 s after all its upstreams
 * were slowed by a factor of four.
 */
class ServiceAnswers {
public:
    /** @brief Records answers. @param time Sum of their times. */
    void add(std::uint32_t answers, Microseconds time, TimePoint now);
    /** @return Mean time; 0 without answers. */
    [[nodiscard]] Microseconds mean(TimePoint now) const;

private:
    static constexpr Milliseconds fastHalfLife { 250 };
    static constexpr Milliseconds slowHalfLife { 2000 };

    DecayedSum fastCount { fastHalfLife };
    DecayedSum fastTime { fastHalfLife };
    DecayedSum slowCount { slowHalfLife };
    DecayedSum slowTime { slowHalfLife };
};

} // namespace zinnia::load
