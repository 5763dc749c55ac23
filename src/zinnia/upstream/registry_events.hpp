#pragma once

#include "zinnia/config/configuration.hpp"
#include "zinnia/core/coap_message.hpp"
#include "zinnia/core/event.hpp"
#include "zinnia/core/reasons.hpp"
#include "zinnia/upstream/cold_start.hpp"
#include "zinnia/upstream/messages.hpp"
#include "zinnia/upstream/upstream_info.hpp"

#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace zinnia::upstream {

/** @brief A configuration became active. */
struct ConfigurationAdopted {
    std::shared_ptr<const config::Configuration> configuration;
};

/** @brief A message to the resource directory. */
struct RegistrationReceived {
    Endpoint source;
    CoapMessage message;
};

/** @brief An update from another entry of the zone. */
struct UpdateReceived {
    InstanceId from;
    UpstreamUpdate update;
};

/** @brief A peer of the zone has started and has no registrations yet. */
struct PeerStarted {
    InstanceId peer;
};

/** @brief The upstreams whose home is this entry; replaces the previous list. */
struct HomesAssigned {
    std::vector<UpstreamId> upstreams;
};

/** @brief A health signal from this entry as the home of an upstream. */
struct HealthSignalReceived {
    UpstreamId upstream;
    HealthSignal signal {};
};

/** @brief Time passes; expected about every 100 ms. */
struct RegistryTick { };

using RegistryEvent = std::variant<ConfigurationAdopted, RegistrationReceived, UpdateReceived, PeerStarted,
    HomesAssigned, HealthSignalReceived, RegistryTick>;

/** @brief Sends the answer to a registration message back to its sender. */
struct AnswerRegistration {
    Endpoint destination;
    CoapMessage message;
};

/** @brief Sends an update to one peer, or to every live entry of the zone. */
struct SendUpdate {
    std::optional<InstanceId> peer;
    UpstreamUpdate update;
};

/** @brief Upstreams whose properties changed; `UpstreamRegistry::upstreams` returns all of them. */
struct UpstreamsChanged {
    std::vector<UpstreamInfo> changed;
    std::vector<UpstreamId> removed;
};

/** @brief Logs an event about an upstream. */
struct LogUpstream {
    Event event {};
    UpstreamId upstream;
    Endpoint address;
    RefusalReason reason {};
};

using RegistryAction = std::variant<AnswerRegistration, SendUpdate, UpstreamsChanged, LogUpstream>;
using RegistryActions = std::vector<RegistryAction>;

} // namespace zinnia::upstream
