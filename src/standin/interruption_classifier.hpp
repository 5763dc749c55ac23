#pragma once

#include "standin/upstream_directory.hpp"
#include "zinnia/core/name_table.hpp"
#include "zinnia/core/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace zinnia::standin {

/** @brief An interruption of a flow before its cause is known. */
struct Interruption {
    std::string service;
    std::string upstream;
    std::uint64_t generation {};
    TimePoint detectedAt;
};

/** @brief Tracks which upstream answers one flow, and whether answers stop. */
class FlowContinuity {
public:
    /** @brief A flow without an answer for this long is interrupted. */
    static constexpr Seconds answerTimeout { 5 };

    explicit FlowContinuity(std::string service)
        : service { std::move(service) }
    {
    }

    /** @brief Starts to expect an answer. */
    void expect(TimePoint now);
    /** @brief Records an answer. @return The interruption, if another upstream or generation answered than before. */
    [[nodiscard]] std::optional<Interruption> answered(
        const std::string& name, std::uint64_t generation, TimePoint now);
    /**
     * @return The interruption, if answers have been missing for too long. The next answer may come from any upstream.
     */
    [[nodiscard]] std::optional<Interruption> check(TimePoint now);

    [[nodiscard]] const std::string& upstream() const noexcept { return this->currentUpstream; }
    [[nodiscard]] bool isEstablished() const noexcept { return !this->currentUpstream.empty(); }

private:
    std::string service;
    std::string currentUpstream;
    std::uint64_t generation = 0;
    std::optional<TimePoint> waitingSince;
};

/** @brief How an interrupted flow is counted. */
enum class FlowVerdict : unsigned char { Broken, GivenUp, UpstreamLost };

inline constexpr NameTable<FlowVerdict, 3> flowVerdictNames { {
    { FlowVerdict::Broken, "broken" },
    { FlowVerdict::GivenUp, "given_up" },
    { FlowVerdict::UpstreamLost, "upstream_lost" },
} };
static_assert(isDense(flowVerdictNames));

/** @brief Classifies interruptions after a delay in which updates of the upstreams arrive. */
class InterruptionClassifier {
public:
    /** @brief The control ports of the upstreams are polled every second. */
    static constexpr Seconds classificationDelay { 2 };

    struct Classified {
        Interruption interruption;
        FlowVerdict verdict {};
        std::string zone;
    };

    void add(Interruption interruption) { this->pending.push_back(std::move(interruption)); }
    [[nodiscard]] std::vector<Classified> classify(const UpstreamDirectory& directory, TimePoint now);
    /** @return The remaining interruptions, classified without delay; for the end of a run. */
    [[nodiscard]] std::vector<Classified> classifyAll(const UpstreamDirectory& directory);

private:
    std::deque<Interruption> pending;
};

} // namespace zinnia::standin
