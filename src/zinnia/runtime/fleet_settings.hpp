#pragma once

#include "zinnia/consensus/loss_tolerance.hpp"
#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/ids.hpp"
#include "zinnia/runtime/cluster_settings.hpp"
#include "zinnia/runtime/log_settings.hpp"

#include <map>
#include <string>
#include <vector>

namespace zinnia::runtime {

/** @brief Listening ports of the processes of a fleet; they are the same on all instances. */
struct FleetPorts {
    /** UDP: requests of routers and gossip between control instances. */
    std::uint16_t feed {};
    /** TCP: the replicated log. */
    std::uint16_t stream {};
    /** TCP: metrics in the Prometheus format; 0 for none. */
    std::uint16_t metrics {};
};

/** @brief Identity, zone and address of an instance, and the seeds that it contacts at its start. */
struct FleetMember {
    std::string name;
    /** IPv4 address; also the identity of the instance. */
    std::uint32_t address {};
    std::string zone;
    FleetPorts ports;
    /** Control addresses of some of the control instances. */
    std::vector<Endpoint> seeds;
    /**
     * Load of upstreams is measured and shared between routers, because the deployment has upstreams whose health
     * endpoint misleads (the promise "health").
     */
    bool sharesLoad {};
    /** Addresses that reach other instances from here, where they differ from their own (address translation). */
    std::map<InstanceId, std::uint32_t> translations;

    [[nodiscard]] InstanceId id() const noexcept { return InstanceId { this->address }; }
    [[nodiscard]] std::vector<InstanceId> seedIds() const;
    /** @return The IPv4 address that reaches an instance. */
    [[nodiscard]] std::uint32_t addressOf(InstanceId instance) const;
};

/** @brief Settings of `zinnia-fleet`. */
struct FleetSettings {
    FleetMember member;
    /** Equals `member.id()`. */
    InstanceId instance;
    ClusterSettings cluster;
    /** TCP: calls of upstreams and operators. */
    Endpoint http;
    std::string folder;
    /** Creates a new fleet at the first start. */
    bool bootstrap {};
    /** Losses that the group of the replicated log survives. */
    consensus::LossTolerance losses;
    /** Interval at which upstreams announce themselves. */
    Milliseconds heartbeat { 1200 };
    LogSettings log;
};

/** @brief Reads the tables "instance", "ports", "discovery", "promises" and the array of tables "translation". */
[[nodiscard]] FleetMember readFleetMember(TableReader& root);
/** @brief Reads the settings of `zinnia-fleet` from the root table. */
[[nodiscard]] FleetSettings readFleetSettings(TableReader& root);

} // namespace zinnia::runtime
