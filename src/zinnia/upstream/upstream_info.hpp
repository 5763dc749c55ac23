#pragma once

#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/ids.hpp"
#include "zinnia/core/name_table.hpp"

#include <cstdint>
#include <string>

namespace zinnia::upstream {

/** @brief State of one registration. */
enum class UpstreamState : unsigned char { Cold, Warming, Ready, Draining, Lost, Quarantined };

inline constexpr NameTable<UpstreamState, 6> upstreamStateNames { {
    { UpstreamState::Cold, "cold" },
    { UpstreamState::Warming, "warming" },
    { UpstreamState::Ready, "ready" },
    { UpstreamState::Draining, "draining" },
    { UpstreamState::Lost, "lost" },
    { UpstreamState::Quarantined, "quarantined" },
} };
static_assert(isDense(upstreamStateNames));

/** @brief Properties of one registered upstream, for the other modules. */
struct UpstreamInfo {
    UpstreamId id;
    ServiceId service;
    ZoneId zone;
    std::string name;
    Endpoint address;
    Incarnation incarnation;
    UpstreamState state {};
    /** Requests that it runs at the same time. */
    std::uint32_t slots = 2;
    /** Flows that it holds at the same time. */
    std::uint32_t connections = 2000;
    /** Relative share of new flows: 1 when ready, less during the cold-start ramp, 0 when it takes none. */
    double weight = 1.0;

    [[nodiscard]] friend bool operator==(const UpstreamInfo&, const UpstreamInfo&) = default;
};

} // namespace zinnia::upstream
