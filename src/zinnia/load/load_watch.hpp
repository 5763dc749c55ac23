#pragma once

#include "zinnia/core/event.hpp"
#include "zinnia/core/time.hpp"
#include "zinnia/load/messages.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace zinnia::load {

/** @brief A change of the load that operators are told of. */
struct LoadChange {
    /** `ServiceLimitReached`, `ServiceLimitCleared`, `SpillOverStarted` or `SpillOverEnded`. */
    Event event {};
    std::string service;
    /** Zone that gets slots; empty for changes within the own zone. */
    std::string zone {};
    /** Load of the zone; only for changes within it. */
    std::uint32_t inFlight {};
    std::uint32_t waiting {};
    /** Limit of the service, or slots granted to the other zone. */
    std::uint32_t slots {};

    [[nodiscard]] friend bool operator==(const LoadChange&, const LoadChange&) = default;
};

/**
 * @brief Detects when a service of the zone reaches its limit, and when upstreams of the zone start to serve other
 * zones.
 *
 * The end of both is detected with a delay, so that a load near the limit does not fill the log.
 */
class LoadWatch {
public:
    /** @brief Compares the services of a reply with their limits; the figures of a zone are the same for all routers.
     */
    [[nodiscard]] std::vector<LoadChange> observe(const LoadReply& reply, TimePoint now);
    /** @brief Compares the grants of a summary of the own zone with the previous ones; an empty summary has none. */
    [[nodiscard]] std::vector<LoadChange> observe(const ZoneSummary& summary);

private:
    /** Service and zone. */
    using GrantKey = std::pair<std::string, std::string>;

    /** Services at their limit, and the time at which they last were. */
    std::map<std::string, TimePoint> full;
    /** Grants, and the number of consecutive summaries without them. */
    std::map<GrantKey, std::uint32_t> grants;
};

} // namespace zinnia::load
