#include "zinnia/config/route_table.hpp"

#include <algorithm>
#include <unordered_set>

namespace zinnia::config {

namespace {

    Result<void, RouteFault> validateRoute(const Route& route, const std::unordered_set<std::string>& services)
    {
        if (route.timeout <= Milliseconds { 0 })
            return RouteFault { RouteFaultCause::NoTimeout, route.name };
        if (route.shares.empty())
            return RouteFault { RouteFaultCause::NoService, route.name };
        for (const auto& share : route.shares) {
            if (!services.contains(share.service))
                return RouteFault { RouteFaultCause::UnknownService, route.name };
        }
        const bool takesFlows = std::any_of(
            route.shares.begin(), route.shares.end(), [](const ServiceShare& share) { return share.weight > 0; });
        if (!takesFlows)
            return RouteFault { RouteFaultCause::NoWeight, route.name };
        return success();
    }

} // namespace

Result<void, RouteFault> validate(const RouteTable& table)
{
    if (table.version == ConfigVersion {})
        return RouteFault { RouteFaultCause::NoVersion, "version" };
    std::unordered_set<std::string> services;
    for (const auto& service : table.services) {
        if (!services.insert(service.name).second)
            return RouteFault { RouteFaultCause::DuplicateService, service.name };
    }
    std::unordered_set<Endpoint> addresses;
    for (const auto& route : table.routes) {
        BOOST_OUTCOME_TRY(validateRoute(route, services));
        if (!addresses.insert(route.address).second)
            return RouteFault { RouteFaultCause::DuplicateAddress, route.name };
    }
    return success();
}

} // namespace zinnia::config
