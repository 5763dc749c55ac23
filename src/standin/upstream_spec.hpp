#pragma once

#include "standin/warmth.hpp"
#include "zinnia/config/configuration.hpp"
#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/ids.hpp"
#include "zinnia/core/name_table.hpp"
#include "zinnia/core/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace zinnia::standin {

/** @brief How requests of a path are answered. */
enum class AnswerStyle : unsigned char { Piggybacked, Separate, Observe };

inline constexpr NameTable<AnswerStyle, 3> answerStyleNames { {
    { AnswerStyle::Piggybacked, "piggybacked" },
    { AnswerStyle::Separate, "separate" },
    { AnswerStyle::Observe, "observe" },
} };
static_assert(isDense(answerStyleNames));

/** @brief How accurate an upstream's own report of load and health is. */
enum class ReportStyle : unsigned char { Honest, Lagging, False };

inline constexpr NameTable<ReportStyle, 3> reportStyleNames { {
    { ReportStyle::Honest, "honest" },
    { ReportStyle::Lagging, "lagging" },
    { ReportStyle::False, "false" },
} };
static_assert(isDense(reportStyleNames));

/** @brief How requests of one path are served. */
struct EmulatedKind {
    /** Uri-Path without a leading slash; an empty path matches every request. */
    std::string path;
    AnswerStyle style {};
    /** Service times are log-normal with this median. */
    Microseconds median { 5000 };
    /** Standard deviation of the logarithm of the service time. */
    double spread = 0.3;
    /** Time between notifications of an Observe stream. */
    Microseconds period { 1'000'000 };
};

/** @brief One emulated upstream. */
struct UpstreamSpec {
    std::string name;
    std::string service;
    Endpoint address;
    config::ServiceMode mode {};
    std::uint32_t slots = 2;
    std::uint32_t connections = 2000;
    Incarnation incarnation { 1 };
    /** A caller that sends nothing for this long no longer counts as a connection. */
    Microseconds connectionIdle { 60'000'000 };
    ReportStyle report {};
    WarmthLimits warmth;
    std::vector<EmulatedKind> kinds;
    std::uint64_t seed = 1;
};

} // namespace zinnia::standin
