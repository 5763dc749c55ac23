#include "standin/warmth.hpp"

#include <algorithm>

namespace zinnia::standin {
namespace {

    constexpr Seconds windowLength { 1 };
    constexpr unsigned maxShift = 20;

    std::uint64_t limitOfWindow(unsigned window, std::uint32_t first)
    {
        return std::uint64_t { first } << std::min(window, maxShift);
    }

} // namespace

Warmth::Warmth(const WarmthLimits& limits, TimePoint now)
    : limits { limits }
    , windowStart { now }
    , failedUntil { now }
{
}

void Warmth::turnCold(TimePoint now)
{
    this->windowStart = now;
    this->window = 0;
    this->flowsInWindow = 0;
    this->overloadsInColdStart = 0;
    this->late = false;
}

void Warmth::onRequest(std::uint32_t inFlight, TimePoint now)
{
    if (this->state(now) == State::Warm)
        return;
    if (inFlight + std::uint64_t { 1 } > limitOfWindow(this->window, this->limits.firstInFlight))
        this->overload(now);
}

void Warmth::onFlow(TimePoint now)
{
    if (this->state(now) == State::Warm)
        return;
    if (++this->flowsInWindow > limitOfWindow(this->window, this->limits.firstFlows))
        this->overload(now);
}

Warmth::State Warmth::state(TimePoint now)
{
    this->advance(now);
    if (now < this->failedUntil)
        return State::Failed;
    if (this->window >= this->limits.windows)
        return State::Warm;
    return this->late ? State::Late : State::Cold;
}

void Warmth::advance(TimePoint now)
{
    while (this->window < this->limits.windows && now >= this->windowStart + windowLength) {
        this->windowStart += windowLength;
        this->flowsInWindow = 0;
        if (!this->late)
            ++this->window;
        this->late = false;
    }
}

void Warmth::overload(TimePoint now)
{
    ++this->overloadCount;
    this->late = true;
    if (now < this->failedUntil || ++this->overloadsInColdStart < this->limits.overloadsToFail)
        return;
    ++this->failureCount;
    this->failedUntil = now + this->limits.outage;
    this->turnCold(this->failedUntil);
}

} // namespace zinnia::standin
