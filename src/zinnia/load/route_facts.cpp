#include "zinnia/load/route_facts.hpp"

#include "zinnia/core/hash.hpp"

#include <algorithm>

namespace zinnia::load {

namespace {

    /** Longer times of a route table count as this, so that sums of times do not overflow. */
    constexpr Milliseconds maxRouteTime { std::chrono::hours { 24 } };

} // namespace

RouteFacts makeRouteFacts(const config::RouteTable& table)
{
    RouteFacts facts;
    facts.routes.reserve(table.routes.size());
    for (const auto& route : table.routes) {
        const RouteFact fact { route.address, route.requestClass, route.priority,
            std::min(route.latencyObjective, maxRouteTime), std::min(route.timeout, maxRouteTime) };
        facts.digest = hashOf(facts.digest, fact.address.address, fact.address.port,
            static_cast<std::uint64_t>(fact.requestClass), fact.priority, fact.latencyObjective.count(),
            fact.timeout.count());
        facts.routes.push_back(fact);
    }
    // 0 stands for no facts.
    facts.digest = std::max<std::uint64_t>(facts.digest, 1);
    return facts;
}

std::map<std::string, Milliseconds> shortestObjectives(const config::RouteTable& table)
{
    std::map<std::string, Milliseconds> objectives;
    for (const auto& route : table.routes) {
        if (route.latencyObjective == Milliseconds { 0 })
            continue;
        for (const auto& share : route.shares) {
            if (share.weight == 0)
                continue;
            const auto [entry, isNew] = objectives.try_emplace(share.service, route.latencyObjective);
            if (!isNew)
                entry->second = std::min(entry->second, route.latencyObjective);
        }
    }
    return objectives;
}

} // namespace zinnia::load
