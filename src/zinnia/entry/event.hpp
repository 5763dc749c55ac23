#pragma once

#include "zinnia/config/configuration.hpp"
#include "zinnia/core/bytes.hpp"
#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/event.hpp"
#include "zinnia/core/ids.hpp"
#include "zinnia/core/reasons.hpp"
#include "zinnia/core/time.hpp"
#include "zinnia/entry/peer_message.hpp"

#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

namespace zinnia::entry {

/** @brief A caller's packet from the fabric. */
struct FabricPacket {
    Endpoint caller;
    Endpoint serviceAddress;
    BytesView payload;
};

/** @brief A packet from an upstream of a datagram service. */
struct UpstreamPacket {
    Endpoint upstream;
    /** Index of the local port that received the packet. */
    std::uint16_t localPort {};
    BytesView payload;
};

/** @brief A packet from an upstream of a request service, received on the request port. */
struct RequestPortPacket {
    Endpoint upstream;
    BytesView payload;
};

/** @brief A packet to the CoRE resource directory, where upstreams register. */
struct RegistrationPacket {
    Endpoint source;
    BytesView payload;
};

/** @brief An authenticated message from another entry instance. */
struct PeerPacket {
    InstanceId from;
    PeerMessage message;
};

/** @brief A configuration from a control instance or another entry; adopted if it is newer. */
struct ConfigurationOffered {
    std::shared_ptr<const config::Configuration> configuration;
};

/** @brief Advances the time; expected every 10 to 20 ms. */
struct Tick { };

/** @brief Begins a graceful shutdown. */
struct StopRequested { };

using Event = std::variant<FabricPacket, UpstreamPacket, RequestPortPacket, RegistrationPacket, PeerPacket,
    ConfigurationOffered, Tick, StopRequested>;

/** @brief Sends a packet to a caller, with the service address as source. */
struct SendToCaller {
    Endpoint caller;
    Endpoint serviceAddress;
    /** Payload of a forwarded packet; refers to the payload of the event. */
    BytesView payload;
    /** Payload of a packet that the node has generated; sent instead of `payload` unless empty. */
    Bytes generatedPayload;
};

/** @brief Sends a packet of a datagram service from the local port with the given index. */
struct SendToUpstream {
    Endpoint upstream;
    std::uint16_t localPort {};
    BytesView payload;
};

/** @brief Sends a packet to an upstream of a request service from the request port. */
struct SendRequestPacket {
    Endpoint upstream;
    Bytes payload;
};

/** @brief Answers a registration. */
struct SendRegistrationAnswer {
    Endpoint destination;
    Bytes payload;
};

struct SendToPeer {
    InstanceId to;
    PeerMessage message;
};

/** @brief Fetches a newer configuration from another entry. */
struct FetchConfiguration {
    InstanceId from;
};

/** @brief Logs an event. */
struct Report {
    zinnia::Event event {};
    InstanceId instance;
    Endpoint address;
    std::uint64_t number {};
    RefusalReason reason {};
};

/** @brief Increments the counter of refusals with the given reason. */
struct CountRefusal {
    RefusalReason reason {};
};

/** @brief Increments the counter of request retries with the given reason. */
struct CountRetry {
    RetryReason reason {};
};

/** @brief A configuration was adopted and is now active. */
struct Adopted {
    std::shared_ptr<const config::Configuration> configuration;
};

/** @brief The graceful shutdown is complete. */
struct Stopped { };

using Action = std::variant<SendToCaller, SendToUpstream, SendRequestPacket, SendRegistrationAnswer, SendToPeer,
    FetchConfiguration, Report, CountRefusal, CountRetry, Adopted, Stopped>;
using Actions = std::vector<Action>;

} // namespace zinnia::entry
