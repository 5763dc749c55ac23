#pragma once

#include "zinnia/core/time.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace zinnia::routing {

/**
 * @brief Evidence that an upstream takes no new flows: openings that it has left unanswered.
 *
 * A full upstream leaves them unanswered and serves its open flows, so this evidence only keeps new flows away. It ends
 * with an answer to any caller, with the end of a flow there, which makes room, or after `maxOpeningEvidenceAge`.
 */
struct OpeningEvidence {
    /** Time of the first unanswered opening, or of the latest retry; empty after an answer. */
    std::optional<TimePoint> unansweredSince;
    /** Addresses of the first callers with an unanswered opening; bounded by the threshold in the settings. */
    std::vector<std::uint32_t> callers;
    /** Consecutive retries without an answer. */
    std::uint32_t failedRetries {};
    /** Enough callers and retries were left unanswered. It then gets single openings to find out when this ends. */
    bool isRejecting {};
};

/**
 * @brief Evidence that an upstream is dead, so that its open flows may be ended.
 *
 * What is enough stands in `liveness.hpp`. The evidence ends with a successful health check, or with an answer to any
 * caller.
 */
struct FailureEvidence {
    /** Flows whose caller retransmits, without an answer to any flow since the first transmission. */
    std::uint32_t stalledFlows {};
    /** Time at which the last health check was requested; empty after an answer, which makes its result obsolete. */
    std::optional<TimePoint> lastCheckAt;
    /** Consecutive health checks without a connection. */
    std::uint32_t failedChecks {};
    /** Time of the last successful health check. */
    std::optional<TimePoint> reachedAt;
    /** Time of the last failed health check; empty while it is reachable. */
    std::optional<TimePoint> unreachableAt;
    /** Time of the latest reported failure of another router to reach it. */
    TimePoint lastSuspicionAt;

    [[nodiscard]] bool isDead() const noexcept { return this->unreachableAt.has_value(); }
};

} // namespace zinnia::routing
