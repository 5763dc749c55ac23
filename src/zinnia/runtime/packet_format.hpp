#pragma once

#include "zinnia/core/bytes.hpp"
#include "zinnia/routing/flow_packet.hpp"
#include "zinnia/upstream/announcement.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace zinnia::runtime {

/** @brief Format of the packets of flows. */
class PacketFormat {
public:
    /** Maximum size of the start of a packet that forwarding rewrites. Unit: bytes. */
    static constexpr std::size_t longestHead = 64;

    /** @brief The new start of a forwarded packet; the rest of the packet follows it unchanged. */
    struct Head {
        std::array<std::uint8_t, longestHead> bytes {};
        std::size_t size {};
        /** Bytes of the received packet that the head replaces. */
        std::size_t replaced {};
    };

    virtual ~PacketFormat() = default;

    /** @return The fields of a caller's packet, or nothing if it is malformed. */
    [[nodiscard]] virtual std::optional<routing::FlowPacket> parse(BytesView packet) const = 0;
    /** @return The start of the datagram that carries the packet to an upstream. */
    [[nodiscard]] virtual Head forwardHead(
        BytesView packet, upstream::UpstreamNumber number, routing::RoutingToken token) const = 0;
    /** @return The id of the request that starts in a packet, for the log; empty if it shows none. */
    [[nodiscard]] virtual std::string_view requestId(BytesView packet) const = 0;
    /** @return A packet to the caller that ends the flow of `packet`. */
    [[nodiscard]] virtual Head reset(const routing::FlowPacket& packet) const = 0;

protected:
    PacketFormat() = default;
    PacketFormat(const PacketFormat&) = default;
    PacketFormat& operator=(const PacketFormat&) = default;
};

} // namespace zinnia::runtime
