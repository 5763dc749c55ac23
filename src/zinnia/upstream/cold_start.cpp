#include "zinnia/upstream/cold_start.hpp"

#include <algorithm>
#include <cmath>

namespace zinnia::upstream {

ColdStartLimiter::ColdStartLimiter(const ColdStartSettings& settings, TimePoint now, std::uint32_t step)
    : settings { settings }
    , currentStep { settings.enabled ? std::min(step, settings.steps) : settings.steps }
    , windowStart { now }
{
}

void ColdStartLimiter::restartRamp(TimePoint now) noexcept
{
    this->currentStep = this->settings.enabled ? 0 : this->settings.steps;
    this->windowStart = now;
}

void ColdStartLimiter::recordRefusal(TimePoint now) noexcept { this->windowStart = now; }

bool ColdStartLimiter::advance(TimePoint now) noexcept
{
    const std::uint32_t before = this->currentStep;
    while (!this->isReady() && now - this->windowStart >= this->settings.window) {
        ++this->currentStep;
        this->windowStart += this->settings.window;
    }
    return this->currentStep != before;
}

bool ColdStartLimiter::isReady() const noexcept { return this->currentStep >= this->settings.steps; }

std::uint32_t ColdStartLimiter::slotLimit(std::uint32_t slots) const noexcept
{
    if (this->isReady())
        return slots;
    return std::min(slots, std::uint32_t { 1 } << std::min(this->currentStep, 31U));
}

UpstreamState stateAt(const ColdStartSettings& settings, std::uint32_t step) noexcept
{
    if (step >= settings.steps)
        return UpstreamState::Ready;
    return step == 0 ? UpstreamState::Cold : UpstreamState::Warming;
}

double weightAt(const ColdStartSettings& settings, std::uint32_t step) noexcept
{
    return step >= settings.steps ? 1.0 : std::ldexp(1.0, static_cast<int>(step) - static_cast<int>(settings.steps));
}

std::optional<std::uint32_t> flowRateAt(const ColdStartSettings& settings, std::uint32_t step) noexcept
{
    if (step >= settings.steps)
        return std::nullopt;
    return settings.firstFlowRate << std::min(step, 16U);
}

ColdDetector::ColdDetector(const ColdStartSettings& settings)
    : settings { settings }
{
}

std::size_t ColdDetector::priorityClassOf(std::uint8_t priority) noexcept
{
    return std::min<std::size_t>(priority, priorityClasses - 1);
}

bool ColdDetector::recordRefusal() noexcept
{
    ++this->refusals;
    return this->refusals >= this->settings.refusalThreshold;
}

bool ColdDetector::recordAnswer(std::uint8_t priority, Milliseconds duration)
{
    this->refusals = 0;
    this->timeouts = 0;
    const auto previousMedian = this->median(priority);
    Samples& recent = this->samples[priorityClassOf(priority)];
    recent.values[recent.next] = static_cast<std::int32_t>(std::min<std::int64_t>(duration.count(), 1 << 30));
    recent.next = (recent.next + 1) % samplesPerClass;
    recent.count = std::min<std::uint32_t>(recent.count + 1, samplesPerClass);
    return previousMedian && duration >= this->settings.slowFloor
        && duration > *previousMedian * this->settings.slowFactor;
}

bool ColdDetector::recordTimeout() noexcept
{
    ++this->timeouts;
    return this->timeouts >= this->settings.timeoutThreshold;
}

std::optional<Milliseconds> ColdDetector::median(std::uint8_t priority) const
{
    const Samples& recent = this->samples[priorityClassOf(priority)];
    if (recent.count < std::max(1U, this->settings.medianSamples))
        return std::nullopt;
    auto sorted = recent.values;
    const auto middle = sorted.begin() + recent.count / 2;
    std::nth_element(sorted.begin(), middle, sorted.begin() + recent.count);
    return Milliseconds { *middle };
}

void ColdDetector::reset() noexcept
{
    this->refusals = 0;
    this->timeouts = 0;
}

} // namespace zinnia::upstream
