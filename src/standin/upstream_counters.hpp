#pragma once

#include "zinnia/core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace zinnia::standin {

/** @brief Counters of an emulated upstream, over all incarnations. */
struct UpstreamCounters {
    /** Packets received, by the service of the upstream at that time. */
    std::map<std::string, std::uint64_t> packetsByService;
    std::optional<TimePoint> lastPacket;
    /** Packets whose caller addressed another service. */
    std::uint64_t misdelivered = 0;
    std::uint64_t malformed = 0;
    /** Acknowledgements and resets among the packets. */
    std::uint64_t acknowledgements = 0;
    std::uint64_t resets = 0;
    std::uint64_t ran = 0;
    std::uint64_t refused = 0;
    std::uint64_t shed = 0;
    std::uint64_t deadlineExceeded = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t duplicates = 0;
    std::uint64_t notifications = 0;
    std::uint64_t echoed = 0;
    std::uint64_t connectionsRefused = 0;
    /** Maximum of concurrent requests, including those refused because no slot was free. */
    std::uint32_t maxInFlight = 0;
    std::uint32_t maxConnections = 0;
    /** New flows and requests since the drain began, and the time of the last one. */
    std::uint64_t newWorkWhileDraining = 0;
    std::optional<TimePoint> lastNewWorkWhileDraining;
    std::optional<TimePoint> drainStarted;
    /** Number of times each request ran, by request id. */
    std::unordered_map<std::uint64_t, std::uint32_t> runs;
};

} // namespace zinnia::standin
