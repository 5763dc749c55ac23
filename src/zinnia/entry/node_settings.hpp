#pragma once

#include "zinnia/core/ids.hpp"
#include "zinnia/core/time.hpp"
#include "zinnia/flow/events.hpp"
#include "zinnia/membership/membership.hpp"
#include "zinnia/request/home.hpp"
#include "zinnia/request/owner.hpp"
#include "zinnia/upstream/registry.hpp"

#include <cstdint>

namespace zinnia::entry {

/** @brief Identity and limits of an entry node. */
struct NodeSettings {
    InstanceId self;
    ZoneId zone;
    /** Epoch of this process; increases with each restart of the instance. */
    Epoch epoch;
    ClusterId cluster;
    /** Seed of the message ids and tokens of requests to upstreams. */
    std::uint64_t seed {};
    membership::Settings membership;
    flow::Settings flow;
    upstream::RegistrySettings registry;
    request::OwnerSettings owner;
    request::HomeSettings home;
    /** Minimum duration of a graceful shutdown, so that every peer is informed of it. */
    Milliseconds minStopDuration { 1500 };
    /** Maximum duration of a graceful shutdown, even if flows or requests are still in progress. */
    Milliseconds maxStopDuration { 10000 };
};

} // namespace zinnia::entry
