#pragma once

#include "zinnia/core/time.hpp"

#include <cstdint>

namespace zinnia::standin {

/** @brief Load limits of an emulated upstream during a cold start. */
struct WarmthLimits {
    /** Windows of one second that a cold start takes; 0 makes the upstream start warm. */
    unsigned windows = 5;
    /** Concurrent requests in the first window; doubles with each window. */
    std::uint32_t firstInFlight = 1;
    /** New flows in the first window; doubles with each window. */
    std::uint32_t firstFlows = 16;
    /** Overloads in one cold start after which the upstream stops answering. */
    std::uint32_t overloadsToFail = 4;
    /** Time without answers after a failure. */
    Microseconds outage { 3'000'000 };
};

/**
 * @brief State machine for the cold start of an emulated upstream.
 *
 * A request or flow over the limit of the current window is an overload: the upstream answers late for the rest
 * of the window and the window does not count as warmed up. After several overloads it does not answer at all for
 * some time, and then starts cold again.
 */
class Warmth {
public:
    enum class State : unsigned char { Cold, Late, Failed, Warm };

    Warmth(const WarmthLimits& limits, TimePoint now);

    void turnCold(TimePoint now);
    /** @brief Records a request that arrives while `inFlight` others are running. */
    void onRequest(std::uint32_t inFlight, TimePoint now);
    /** @brief Records a new flow. */
    void onFlow(TimePoint now);
    [[nodiscard]] State state(TimePoint now);

    /** @return Number of requests and flows that exceeded the limit of a cold-start window. */
    [[nodiscard]] std::uint64_t overloads() const noexcept { return this->overloadCount; }
    /** @return Number of failures, each after too many overloads in one cold start. */
    [[nodiscard]] std::uint64_t failures() const noexcept { return this->failureCount; }

private:
    void advance(TimePoint now);
    void overload(TimePoint now);

    WarmthLimits limits;
    TimePoint windowStart;
    TimePoint failedUntil;
    unsigned window = 0;
    std::uint32_t flowsInWindow = 0;
    std::uint32_t overloadsInColdStart = 0;
    bool late = false;
    std::uint64_t overloadCount = 0;
    std::uint64_t failureCount = 0;
};

} // namespace zinnia::standin
