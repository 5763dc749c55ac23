#pragma once

#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/ids.hpp"
#include "zinnia/core/name_table.hpp"
#include "zinnia/core/result.hpp"
#include "zinnia/core/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace zinnia::config {

/**
 * @brief Class of a route's requests; decides what may be retried.
 *
 * The numbers are part of the log format. `Upload` sends large bodies to the upstream and is not idempotent.
 */
enum class RequestClass : std::uint8_t { Idempotent, NonIdempotent, Download, Upload };

inline constexpr NameTable<RequestClass, 4> requestClassNames { {
    { RequestClass::Idempotent, "idempotent" },
    { RequestClass::NonIdempotent, "non_idempotent" },
    { RequestClass::Download, "download" },
    { RequestClass::Upload, "upload" },
} };
static_assert(isDense(requestClassNames));

/** @brief A service to which a route sends flows, and its relative share of the new flows. */
struct ServiceShare {
    std::string service;
    std::uint32_t weight = 1;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.service, self.weight);
    }
    [[nodiscard]] friend bool operator==(const ServiceShare&, const ServiceShare&) = default;
};

/** @brief Distributes the flows to one address over one or more services. */
struct Route {
    std::string name;
    /** Destination address and port of the callers' packets. */
    Endpoint address;
    RequestClass requestClass {};
    /** Time after which a caller's request fails. */
    Milliseconds timeout {};
    /** 0 is most important. */
    std::uint32_t priority {};
    std::vector<ServiceShare> shares;
    /**
     * Time within which callers want an answer; 0 for none. Not part of the log format: derived from the submitted
     * document.
     */
    Milliseconds latencyObjective {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.name, self.address, self.requestClass, self.timeout, self.priority, self.shares);
    }
    [[nodiscard]] friend bool operator==(const Route&, const Route&) = default;
};

/** @brief A service of the route table and the limits of its upstreams. */
struct ServiceLimits {
    std::string name;
    /** Maximum number of concurrent flows of one upstream. */
    std::uint32_t maxFlowsPerUpstream {};
    /** Time after its start during which an upstream is cold. */
    Milliseconds coldStart {};
    /** Request rate that a cold upstream can handle. Unit: requests per second. */
    double coldRequestsPerSecond {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.name, self.maxFlowsPerUpstream, self.coldStart, self.coldRequestsPerSecond);
    }
    [[nodiscard]] friend bool operator==(const ServiceLimits&, const ServiceLimits&) = default;
};

/** @brief The complete set of routes; only replaced as a unit, by a higher version. */
struct RouteTable {
    ConfigVersion version;
    std::vector<Route> routes;
    std::vector<ServiceLimits> services;
    /** Time without packets after which a flow may be removed. */
    Milliseconds flowIdleTimeout {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.version, self.routes, self.services, self.flowIdleTimeout);
    }
    [[nodiscard]] friend bool operator==(const RouteTable&, const RouteTable&) = default;
};

/** @brief Why a route table is not valid. */
enum class RouteTableErrorCode : std::uint8_t {
    NoVersion,
    UnknownService,
    DuplicateService,
    DuplicateAddress,
    NoTimeout,
    NoService,
    NoWeight,
    NameTooLong,
};

inline constexpr NameTable<RouteTableErrorCode, 8> routeTableErrorCodeNames { {
    { RouteTableErrorCode::NoVersion, "no_version" },
    { RouteTableErrorCode::UnknownService, "unknown_service" },
    { RouteTableErrorCode::DuplicateService, "duplicate_service" },
    { RouteTableErrorCode::DuplicateAddress, "duplicate_address" },
    { RouteTableErrorCode::NoTimeout, "no_timeout" },
    { RouteTableErrorCode::NoService, "no_service" },
    { RouteTableErrorCode::NoWeight, "no_weight" },
    { RouteTableErrorCode::NameTooLong, "name_too_long" },
} };
static_assert(isDense(routeTableErrorCodeNames));

[[nodiscard]] constexpr std::string_view nameOf(RouteTableErrorCode cause) noexcept
{
    return nameIn(routeTableErrorCodeNames, cause);
}

/** @brief The first validation error of a route table, with the name of the route or service concerned. */
struct RouteTableError {
    RouteTableErrorCode code {};
    std::string subject;
};

/** @return Success if the table is valid; otherwise its first error. */
[[nodiscard]] Result<void, RouteTableError> validate(const RouteTable& table);

} // namespace zinnia::config
