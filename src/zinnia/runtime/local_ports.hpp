#pragma once

#include "zinnia/core/endpoint.hpp"
#include "zinnia/runtime/udp_socket.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace zinnia::runtime {

/**
 * @brief The sockets from which an entry sends the flows of datagram services.
 *
 * An upstream identifies a flow by the local port, so two flows of one upstream use different ports, and flows
 * of different upstreams share them. A socket is opened when its index is first used.
 */
class LocalPorts {
public:
    using Opened = std::function<void(const UdpSocket&, std::uint16_t index)>;

    /**
     * @param address Local address; its port is ignored.
     * @param maxSockets Maximum number of sockets.
     * @param onOpened Called for each new socket, so that the caller can watch it.
     */
    LocalPorts(const Endpoint& address, std::uint32_t maxSockets, Opened onOpened);

    /** @return The descriptor of the socket with that index, or nothing if it cannot be opened. */
    [[nodiscard]] std::optional<int> descriptor(std::uint16_t index);

    /** @return The socket with that index if it has been opened. */
    [[nodiscard]] const UdpSocket* find(std::uint16_t index) const noexcept;

    [[nodiscard]] const std::vector<std::optional<UdpSocket>>& all() const noexcept { return this->sockets; }

private:
    Endpoint address;
    std::uint32_t maxSockets;
    Opened onOpened;
    std::vector<std::optional<UdpSocket>> sockets;
};

} // namespace zinnia::runtime
