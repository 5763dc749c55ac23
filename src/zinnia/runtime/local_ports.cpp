#include "zinnia/runtime/local_ports.hpp"

#include <utility>

namespace zinnia::runtime {

namespace {

    /** Thousands of sockets are open at a time, each with the packets of few flows. Unit: bytes. */
    constexpr int bufferBytes = 1 << 16;

} // namespace

LocalPorts::LocalPorts(const Endpoint& address, std::uint32_t maxSockets, Opened onOpened)
    : address { address.address, 0 }
    , maxSockets { maxSockets }
    , onOpened { std::move(onOpened) }
{
}

std::optional<int> LocalPorts::descriptor(std::uint16_t index)
{
    if (index >= this->maxSockets)
        return std::nullopt;
    if (index >= this->sockets.size())
        this->sockets.resize(index + 1U);
    std::optional<UdpSocket>& slot = this->sockets[index];
    if (!slot) {
        auto socket = UdpSocket::bind(this->address, bufferBytes);
        if (!socket)
            return std::nullopt;
        slot = socket.value();
        this->onOpened(*slot, index);
    }
    return slot->descriptor();
}

const UdpSocket* LocalPorts::find(std::uint16_t index) const noexcept
{
    return index < this->sockets.size() && this->sockets[index] ? &*this->sockets[index] : nullptr;
}

} // namespace zinnia::runtime
