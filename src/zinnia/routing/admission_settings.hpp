#pragma once

#include "zinnia/core/time.hpp"

#include <cstddef>
#include <cstdint>

namespace zinnia::routing {

/** @brief Bounds of an `OpeningQueue`. */
struct OpeningQueueSettings {
    /** Maximum number of waiting openings; the last one in order gives way to one that goes before it. */
    std::size_t maxOpenings = 256;
    /** One in this many releases goes to each lower priority that waits; 0 for strict priority. */
    std::uint32_t minShareInterval = 10;
};

/** @brief Bounds of the waits in an `AdmissionController`. */
struct AdmissionSettings {
    OpeningQueueSettings queue {};
    /**
     * Time after which a waiting opening is refused. Callers give up an opening after 1.4 s. The end of waits is
     * checked every 50 ms, so none is longer than 1.2 s.
     */
    Milliseconds maxWait { 1150 };
    /** Objective of routes that have neither an objective nor a timeout, and bound of one derived from the timeout. */
    Milliseconds defaultObjective { 1200 };
    /**
     * Time kept for the answer, as a multiple of its expected time. Answer times vary: kept at the mean, the answers of
     * 17 % of the openings sent were late at 1.2 times the capacity, since a full queue sends at the last moment.
     */
    std::int64_t answerTimeFactor = 3;
    /** Bound of that time, unless the expected time itself is longer. Unit: percent of the objective. */
    std::int64_t maxAnswerReserve = 70;
    /**
     * Part of the time left for waiting that the expected wait of a new opening may take. Openings of higher priority
     * arrive later and go first, and a caller that is refused early has time for another try. Unit: percent.
     */
    std::int64_t maxExpectedWait = 30;
    /** Divisor of the timeout that gives the objective of routes without one. */
    std::int64_t timeoutDivisor = 4;
    /** Time after a router is synchronized in which it is cautious, until its first load reply. */
    Milliseconds cautiousTime { 500 };
};

} // namespace zinnia::routing
