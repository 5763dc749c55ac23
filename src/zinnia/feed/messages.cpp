#include "zinnia/feed/messages.hpp"

#include <unordered_map>

namespace zinnia::feed {

RoutingState makeRoutingState(
    const config::RouteTable& table, const std::vector<std::string>& withdrawnZones, std::uint64_t revision)
{
    RoutingState state { revision, table.version, table.services, {}, withdrawnZones, table.flowIdleTimeout };
    std::unordered_map<std::string, std::uint16_t> indices;
    for (const auto& service : table.services)
        indices.emplace(service.name, static_cast<std::uint16_t>(indices.size()));
    state.routes.reserve(table.routes.size());
    for (const auto& route : table.routes) {
        CompactRoute entry { route.address, {}, {} };
        for (const auto& share : route.shares) {
            entry.services.push_back(indices.at(share.service));
            entry.weights.push_back(share.weight);
        }
        state.routes.push_back(std::move(entry));
    }
    return state;
}

} // namespace zinnia::feed
