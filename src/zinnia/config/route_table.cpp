#include "zinnia/config/route_table.hpp"

#include "zinnia/upstream/announcement_limits.hpp"

#include <algorithm>
#include <unordered_set>

namespace zinnia::config {

namespace {

    Result<void, RouteTableError> validateRoute(const Route& route, const std::unordered_set<std::string>& services)
    {
        if (route.timeout <= Milliseconds { 0 })
            return RouteTableError { RouteTableErrorCode::NoTimeout, route.name };
        if (route.shares.empty())
            return RouteTableError { RouteTableErrorCode::NoService, route.name };
        for (const auto& share : route.shares) {
            if (!services.contains(share.service))
                return RouteTableError { RouteTableErrorCode::UnknownService, route.name };
        }
        const bool hasPositiveWeight = std::any_of(
            route.shares.begin(), route.shares.end(), [](const ServiceShare& share) { return share.weight > 0; });
        if (!hasPositiveWeight)
            return RouteTableError { RouteTableErrorCode::NoWeight, route.name };
        return success();
    }

} // namespace

Result<void, RouteTableError> validate(const RouteTable& table)
{
    if (table.version == ConfigVersion {})
        return RouteTableError { RouteTableErrorCode::NoVersion, "version" };
    std::unordered_set<std::string> services;
    for (const auto& service : table.services) {
        // No upstream can announce itself for it.
        if (service.name.size() > upstream::maxNameBytes)
            return RouteTableError { RouteTableErrorCode::NameTooLong, service.name.substr(0, upstream::maxNameBytes) };
        if (!services.insert(service.name).second)
            return RouteTableError { RouteTableErrorCode::DuplicateService, service.name };
    }
    std::unordered_set<Endpoint> addresses;
    for (const auto& route : table.routes) {
        BOOST_OUTCOME_TRY(validateRoute(route, services));
        if (!addresses.insert(route.address).second)
            return RouteTableError { RouteTableErrorCode::DuplicateAddress, route.name };
    }
    return success();
}

} // namespace zinnia::config
