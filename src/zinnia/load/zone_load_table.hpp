#pragma once

#include "zinnia/core/ids.hpp"
#include "zinnia/load/answer_statistics.hpp"
#include "zinnia/load/messages.hpp"
#include "zinnia/load/report_store.hpp"
#include "zinnia/load/summary_store.hpp"
#include "zinnia/load/zone_grants.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace zinnia::load {

/** @brief An upstream of the own zone that may receive new flows. */
struct UsableUpstream {
    RoutingToken token;
    std::string service;
    /** Requests that it runs at the same time. */
    std::uint32_t slots {};
};

/**
 * @brief Collects the load reports of the routers of one zone and the summaries of the other zones.
 *
 * Computes what each router is told in return. State is soft: after a restart it is complete when all routers have
 * found this instance again (`completeAfter`).
 */
class ZoneLoadTable {
public:
    /** Upstreams in one reply. More are sent in turns, so that a reply fits into one packet. */
    static constexpr std::size_t maxReplyUpstreams = 96;
    /**
     * Time after the first report until all routers are known to report: routers look for a control instance that did
     * not reply every 2 s, and report every 125 ms.
     */
    static constexpr Milliseconds completeAfter { 2125 };

    /** @param zone Zone of this control instance. */
    explicit ZoneLoadTable(std::string zone)
        : zone { std::move(zone) }
    {
    }

    /** @brief Replaces the usable upstreams of the zone; those of withdrawn zones, cold, draining or silent are left
     * out. */
    void setUpstreams(const std::vector<UsableUpstream>& upstreams);
    /** @brief Replaces the facts of all routes, and the shortest latency objective of each service that has one. */
    void setRoutes(const RouteFacts& facts, const std::map<std::string, Milliseconds>& objectives);
    /** @brief Replaces the report of a router. @return False if it is of another zone or not newer. */
    bool merge(InstanceId router, const LoadReport& report, TimePoint now);
    /** @brief Replaces the summary of another zone. @return False if it is of the own zone or not newer. */
    bool merge(InstanceId control, const ZoneSummary& summary, TimePoint now);

    /** @return The reply to the last report of a router; without figures if there is none. */
    [[nodiscard]] LoadReply replyTo(InstanceId router, TimePoint now);
    /**
     * @return The summary for the other zones; empty without current reports, and until they are complete, because the
     *         demand of a part of the routers would replace that which another control instance of the zone sends.
     */
    [[nodiscard]] std::optional<ZoneSummary> makeSummary(TimePoint now);
    /** @return True if all routers of the zone that run are known to report to this instance. */
    [[nodiscard]] bool isComplete(TimePoint now) const;

private:
    /** Half-lives of the means by which needs and service times are computed: one interval of summaries, and a time in
     * which a service has enough new flows for a rate. */
    static constexpr Milliseconds meanHalfLife { 200 };
    static constexpr Milliseconds openingsHalfLife { 500 };

    struct Upstream {
        RoutingToken token;
        UpstreamAnswers answers;
        std::uint32_t slowness = 100;
    };
    struct Service {
        std::uint64_t capacity {};
        /** Positions of its usable upstreams. */
        std::vector<std::size_t> upstreams;
        ServiceAnswers answers;
        DecayedRate openings { openingsHalfLife };
        /** Requests and waiting openings of the zone's routers. */
        DecayedMean demand { meanHalfLife };
        /** Requests at usable upstreams of the zone. */
        DecayedMean inFlight { meanHalfLife };
        ZoneNeed need;
        ZoneGrants grants;
    };
    struct RemoteZone {
        std::string zone;
        std::uint32_t slots {};
        Microseconds serviceTime {};
    };

    void expire(TimePoint now);
    void recordAnswers(const LoadReport& report, TimePoint now);
    void updateServices(TimePoint now);
    void updateSlowness(TimePoint now);
    [[nodiscard]] Microseconds serviceTime(const Service& service, TimePoint now) const;
    [[nodiscard]] ServiceLoad serviceLoadFor(
        InstanceId router, const std::string& name, const Service& service, TimePoint now) const;
    [[nodiscard]] std::vector<RemoteZone> remoteZones(
        const std::string& name, const Service& service, TimePoint now) const;
    [[nodiscard]] std::vector<ZoneDemand> demandOfOthers(const std::string& name) const;
    void addUpstreams(LoadReply& reply, ReportStore::Entry& entry) const;

    std::string zone;
    RouteFacts facts;
    std::map<std::string, Milliseconds> objectives;
    /** Usable upstreams by token. */
    std::vector<Upstream> upstreams;
    std::map<std::string, Service> services;
    ReportStore reports;
    SummaryStore summaries;
    std::optional<TimePoint> firstReportAt;
    std::optional<TimePoint> slownessAt;
    std::uint64_t lastSummary {};
};

} // namespace zinnia::load
