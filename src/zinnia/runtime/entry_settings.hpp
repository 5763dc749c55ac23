#pragma once

#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/ids.hpp"
#include "zinnia/runtime/cluster_settings.hpp"
#include "zinnia/runtime/log_settings.hpp"

#include <cstdint>
#include <vector>

namespace zinnia::runtime {

/** @brief Overrides the inventory address of a peer, for example with a relay between zones. */
struct PeerRoute {
    InstanceId instance;
    Endpoint via;
};

/** @brief Settings of `zinnia-entry`. */
struct EntrySettings {
    InstanceId instance;
    ZoneId zone;
    ClusterSettings cluster;
    /** UDP: packets of the fabric. */
    Endpoint fabric;
    /** UDP: destination of packets to callers. */
    Endpoint fabricGateway;
    /** UDP: messages of other entry instances. */
    Endpoint peer;
    /** UDP: registrations of upstreams. */
    Endpoint registration;
    /** TCP: configuration requests of other entry instances. */
    Endpoint stream;
    /** TCP: /metrics and /health. */
    Endpoint http;
    /** Local address of the sockets to upstreams; the system chooses the port. */
    Endpoint upstreamSide;
    std::vector<ControlSeed> controls;
    std::vector<PeerRoute> routes;
    std::uint32_t maxFlows = 500000;
    /** Maximum number of sockets to upstreams of datagram services; each serves one flow per upstream. */
    std::uint32_t maxLocalPorts = 2000;
    /** Disables the mechanisms that protect flows and requests; for comparisons in experiments only. */
    bool naive = false;
    LogSettings log;
};

/** @brief Reads the settings of `zinnia-entry` from the root table. */
[[nodiscard]] EntrySettings readEntrySettings(TableReader& root);

} // namespace zinnia::runtime
