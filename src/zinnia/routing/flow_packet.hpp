#pragma once

#include "zinnia/core/endpoint.hpp"
#include "zinnia/upstream/routing_token.hpp"

#include <cstdint>

namespace zinnia::routing {

using upstream::RoutingToken;

/** @brief The fields of a caller's packet that routing depends on. */
struct FlowPacket {
    Endpoint caller;
    /** Address of the route; the destination of the packet. */
    Endpoint service;
    RoutingToken token;
    std::uint32_t sequence {};
    /** Next sequence number expected from the upstream; in an opening packet, the number of the transmission. */
    std::uint32_t acknowledged {};
    std::uint16_t dataBytes {};
    /** The packet opens a flow. */
    bool syn {};
    bool ack {};
    /** The caller sends nothing more. */
    bool fin {};
    /** The caller has given up the flow. */
    bool rst {};
};

} // namespace zinnia::routing
