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
    /** TCP: whether this instance may be given packets. */
    Endpoint readiness;
    /**
     * Time between a stop signal and the end, while packets still arrive. The platform calls twice a second and gives
     * an instance no more packets after two failed calls; a longer delay makes planned stops of neighbours overlap.
     */
    Milliseconds stopDelay { 1200 };
    LogSettings log;
};

/** @brief Reads the settings of `zinnia-router` from the root table. */
[[nodiscard]] RouterSettings readRouterSettings(TableReader& root);

} // namespace zinnia::runtime
