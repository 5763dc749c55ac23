#pragma once

#include "zinnia/core/ids.hpp"
#include "zinnia/load/messages.hpp"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace zinnia::load {

/** @brief Figures of one service, summed over all current reports. */
struct ServiceTotals {
    /** Requests at upstreams of any zone. */
    std::uint64_t inFlight {};
    std::uint64_t waiting {};
    /** Requests at usable upstreams of the own zone. */
    std::uint64_t ownZoneInFlight {};
};

/** @brief Figures of one upstream, summed over all current reports. */
struct UpstreamTotals {
    std::uint64_t inFlight {};
    std::uint64_t flows {};
};

/**
 * @brief The last report of each router of the zone, and their sums.
 *
 * Reports are discarded when they are older than 500 ms. Sums change by the difference of each report, so that the cost
 * of a report does not depend on the number of routers.
 */
class ReportStore {
public:
    /** A router reports every 125 ms, so a router counts as gone after three lost reports. */
    static constexpr Milliseconds lifetime { 500 };

    struct Entry {
        LoadReport report;
        TimePoint receivedAt;
        /** True if it replaced another one. A router only looks whether an instance answers with single reports. */
        bool isRegular = false;
        /** Position in the list of upstreams at which the next reply begins. */
        std::size_t nextUpstream {};
    };

    /** @brief Replaces the usable upstreams of the zone, with their services. */
    void setUsable(std::unordered_map<RoutingToken, std::string> services);
    /** @brief Replaces the report of a router. @return False if it is not newer. */
    bool merge(InstanceId router, const LoadReport& report, TimePoint now);
    /** @brief Discards old reports. */
    void expire(TimePoint now);

    /** @return True if more than half of the routers report regularly, so that the sums are those of the zone. */
    [[nodiscard]] bool isMostlyRegular() const;
    [[nodiscard]] Entry* find(InstanceId router);
    [[nodiscard]] const std::map<InstanceId, Entry>& entries() const { return this->reports; }
    [[nodiscard]] const std::map<std::string, ServiceTotals>& services() const { return this->serviceTotals; }
    [[nodiscard]] ServiceTotals service(const std::string& name) const;
    [[nodiscard]] UpstreamTotals upstream(RoutingToken token) const;
    /** @return The service of a usable upstream of the zone; null for others. */
    [[nodiscard]] const std::string* serviceOf(RoutingToken token) const;
    /** @return Mean part of the time in flight that requests take a slot, over all routers; 1 without any. */
    [[nodiscard]] double slotShare() const;
    /** @return Mean age of the reports of the other routers; 0 without any. */
    [[nodiscard]] Milliseconds ageOfOthers(InstanceId router, TimePoint now) const;

private:
    enum class Change { Add, Remove };

    void apply(const LoadReport& report, Change change);
    void applyOwnZone(RoutingToken token, std::uint64_t inFlight, Change change);

    std::map<InstanceId, Entry> reports;
    std::unordered_map<RoutingToken, std::string> usable;
    std::map<std::string, ServiceTotals> serviceTotals;
    std::unordered_map<RoutingToken, UpstreamTotals> upstreamTotals;
};

/** @return Figures of a service in a report; null if there are none. */
[[nodiscard]] const ServiceCount* findService(const LoadReport& report, const std::string& service);
/** @return Figures of an upstream in a report that is in the store; null if there are none. */
[[nodiscard]] const UpstreamCount* findUpstream(const LoadReport& report, RoutingToken token);

} // namespace zinnia::load
