#pragma once

#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/strong_id.hpp"

#include <cstdint>

namespace zinnia::routing {

/**
 * @brief 32-bit token that both ends of a flow include in every packet.
 *
 * The token identifies the incarnation of the upstream that serves the flow, so that any router can forward the packet
 * without per-flow state. 0 identifies no upstream.
 */
using RoutingToken = StrongId<struct RoutingTokenTag, std::uint32_t>;

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
