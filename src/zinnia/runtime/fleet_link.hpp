#pragma once

#include "zinnia/core/result.hpp"
#include "zinnia/runtime/datagram_batch.hpp"
#include "zinnia/runtime/fleet_settings.hpp"
#include "zinnia/runtime/poller.hpp"
#include "zinnia/runtime/udp_socket.hpp"
#include "zinnia/wire/archive.hpp"
#include "zinnia/wire/envelope.hpp"

#include <functional>
#include <memory>

namespace zinnia::runtime {

/** @brief Sends and receives sealed datagrams between the processes of a fleet, which all use the same port. */
class FleetLink {
public:
    /** @brief Handles an authenticated message; its body is valid only during the call. */
    using Handler = std::function<void(const wire::OpenedMessage& message, const Endpoint& source)>;

    /** @param poller, member, sealer Must outlive the link. */
    [[nodiscard]] static Result<std::unique_ptr<FleetLink>, SocketError> create(Poller& poller,
        const FleetMember& member, const ClusterSettings& cluster, wire::Sealer& sealer, Handler handler);
    ~FleetLink();
    FleetLink(const FleetLink&) = delete;
    FleetLink& operator=(const FleetLink&) = delete;

    /**
     * @brief Sends to the feed port of an instance, without a delivery guarantee.
     * @return Size of the datagram. Unit: bytes.
     */
    template <class Message> std::size_t send(InstanceId to, wire::MessageKind kind, const Message& message)
    {
        return this->sendBytes(
            Endpoint { this->member->addressOf(to), this->member->ports.feed }, kind, wire::encode(message));
    }
    template <class Message> void reply(const Endpoint& to, wire::MessageKind kind, const Message& message)
    {
        this->sendBytes(to, kind, wire::encode(message));
    }

private:
    FleetLink(Poller& poller, const FleetMember& member, UdpSocket socket, const ClusterSettings& cluster,
        wire::Sealer& sealer, Handler handler);
    void receive();
    std::size_t sendBytes(const Endpoint& to, wire::MessageKind kind, BytesView body);

    Poller* poller;
    UdpSocket socket;
    const FleetMember* member;
    wire::Sealer* sealer;
    wire::Opener opener;
    Handler handler;
    DatagramReceiver receiver;
    DatagramSender sender;
};

} // namespace zinnia::runtime
