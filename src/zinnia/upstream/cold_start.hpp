#pragma once

#include "zinnia/core/name_table.hpp"
#include "zinnia/core/time.hpp"
#include "zinnia/upstream/upstream_info.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace zinnia::upstream {

/** @brief Sign of an upstream's health that its home derives from the requests sent to it. */
enum class HealthSignal : unsigned char { TurnedCold, Refused, TimedOut, Answered };

inline constexpr NameTable<HealthSignal, 4> healthSignalNames { {
    { HealthSignal::TurnedCold, "turned_cold" },
    { HealthSignal::Refused, "refused" },
    { HealthSignal::TimedOut, "timed_out" },
    { HealthSignal::Answered, "answered" },
} };
static_assert(isDense(healthSignalNames));

/** @brief Parameters of the ramp after a cold start and of the detection of an upstream that turned cold. */
struct ColdStartSettings {
    /** If false, there is no ramp: an upstream has its full limit at once. */
    bool enabled = true;
    /** Duration of a step of the ramp; the limit doubles after each window without a refusal. */
    Milliseconds window { 1000 };
    /** Steps from Cold to Ready; the weight of an upstream starts at 2^-steps. */
    std::uint32_t steps = 4;
    /** New flows a second at the first step. */
    std::uint32_t firstFlowRate = 16;
    /** This many consecutive refusals show that the upstream turned cold. */
    std::uint32_t refusalThreshold = 3;
    /** An answer time over this multiple of the running median shows that the upstream turned cold. */
    std::uint32_t slowFactor = 4;
    /** Answers needed before the median is used. */
    std::uint32_t medianSamples = 8;
    /** Answer times below this never count as slow: scheduling delays of a few milliseconds are normal. */
    Milliseconds slowFloor { 20 };
    /** This many consecutive time-outs show that the upstream is lost. */
    std::uint32_t timeoutThreshold = 3;
};

/**
 * @brief Limits the load of an upstream after a cold start.
 *
 * The limit of slots is 1 at first and doubles after each window without a refusal. A refusal restarts the window.
 */
class ColdStartLimiter {
public:
    ColdStartLimiter(const ColdStartSettings& settings, TimePoint now, std::uint32_t step = 0);

    /** @brief Starts the ramp again from the first step. */
    void restartRamp(TimePoint now) noexcept;
    /** @brief Records a refusal, which restarts the current window. */
    void recordRefusal(TimePoint now) noexcept;
    /** @brief Advances by the windows that have ended. @return True if the step changed. */
    bool advance(TimePoint now) noexcept;

    [[nodiscard]] std::uint32_t step() const noexcept { return this->currentStep; }
    [[nodiscard]] bool isReady() const noexcept;
    /** @return The number of requests that may be in flight to an upstream with that many slots. */
    [[nodiscard]] std::uint32_t slotLimit(std::uint32_t slots) const noexcept;

private:
    ColdStartSettings settings;
    std::uint32_t currentStep;
    TimePoint windowStart;
};

/** @return The state of an upstream at a step of the ramp. */
[[nodiscard]] UpstreamState stateAt(const ColdStartSettings& settings, std::uint32_t step) noexcept;
/** @return The relative share of new flows of an upstream at that step, 1 when ready. */
[[nodiscard]] double weightAt(const ColdStartSettings& settings, std::uint32_t step) noexcept;
/** @return The new flows per second that an upstream may get at that step, or nothing when ready. */
[[nodiscard]] std::optional<std::uint32_t> flowRateAt(const ColdStartSettings& settings, std::uint32_t step) noexcept;

/**
 * @brief Detects from refusals, answer times and time-outs that an upstream turned cold or is lost, whatever state it
 * announces.
 *
 * Kinds of requests differ in answer time, so there is one running median for each of the lowest priority numbers; the
 * last one is shared by all higher numbers.
 */
class ColdDetector {
public:
    explicit ColdDetector(const ColdStartSettings& settings);

    /** @return True if there were enough consecutive refusals to treat the upstream as cold. */
    [[nodiscard]] bool recordRefusal() noexcept;
    /** @return True if the answer was slow compared with the running median of its priority. */
    [[nodiscard]] bool recordAnswer(std::uint8_t priority, Milliseconds duration);
    /** @return True if there were enough consecutive time-outs to treat the upstream as lost. */
    [[nodiscard]] bool recordTimeout() noexcept;
    /** @return The running median of the answer time, or nothing while there are too few samples. */
    [[nodiscard]] std::optional<Milliseconds> median(std::uint8_t priority) const;
    /** @brief Resets the counts of consecutive failures after the upstream was declared cold. The medians stay. */
    void reset() noexcept;

private:
    static constexpr std::size_t priorityClasses = 4;
    static constexpr std::size_t samplesPerClass = 31;
    struct Samples {
        std::array<std::int32_t, samplesPerClass> values {};
        std::uint32_t count = 0;
        std::uint32_t next = 0;
    };

    [[nodiscard]] static std::size_t priorityClassOf(std::uint8_t priority) noexcept;

    ColdStartSettings settings;
    std::uint32_t refusals = 0;
    std::uint32_t timeouts = 0;
    std::array<Samples, priorityClasses> samples;
};

} // namespace zinnia::upstream
