#pragma once

#include "zinnia/runtime/fleet_settings.hpp"

namespace zinnia::runtime {

/** @brief Settings of `zinnia-router`. */
struct RouterSettings {
    FleetMember member;
    /** Equals `member.id()`. */
    InstanceId instance;
    ClusterSettings cluster;
    /** UDP: packets of callers. Packets to callers go to the same port. */
    Endpoint packets;
    /** TCP: readiness endpoint, which reports whether this instance may receive packets. */
    Endpoint readiness;
    /**
     * Time between a stop signal and the exit, while packets still arrive. The platform checks readiness twice a second
     * and sends no more packets after two failed checks; a longer delay makes planned stops of neighbours overlap.
     */
    Milliseconds stopDelay { 1200 };
    /** Rate of the outgoing link of the instance; 0 for an unlimited one. Unit: bits per second. */
    std::uint64_t linkBitsPerSecond {};
    /**
     * Wait that a caller must be spared for each KiB of its request and answer to be sent to another zone. Used only if
     * load is shared.
     */
    Milliseconds zoneCostPerKib { 5 };
    LogSettings log;
};

/** @brief Reads the settings of `zinnia-router` from the root table. */
[[nodiscard]] RouterSettings readRouterSettings(TableReader& root);

} // namespace zinnia::runtime
