#pragma once

#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/strong_id.hpp"

#include <cstdint>

namespace zinnia::routing {

/**
 * @brief 32 bits that both ends of a flow return with each packet.
 *
 * It names the incarnation of the upstream that holds the flow, so that any router sends the packet on without a
 * record of the flow. 0 names none.
 */
using RoutingToken = StrongId<struct RoutingTokenTag, std::uint32_t>;

/** @brief The fields of a caller's packet on which routing depends. */
struct FlowPacket {
    Endpoint caller;
    /** The address of the route that the caller sends to. */
    Endpoint service;
    RoutingToken token;
    std::uint32_t sequence {};
    /** Next sequence number that the caller expects from the upstream; in an opening packet the number of its copy. */
    std::uint32_t acknowledged {};
    std::uint16_t dataBytes {};
    /** Opens a flow. */
    bool opens {};
    bool acknowledges {};
    /** The caller sends nothing more. */
    bool finishes {};
    /** The caller has given up the flow. */
    bool aborts {};
};

} // namespace zinnia::routing
