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

/** @brief Maximum size of an encoded message that fits into a datagram. Unit: bytes. */
inline constexpr std::size_t maxMessageBytes = wire::maxDatagramBytes - wire::envelopeBytes;

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
        return this->sendEncoded(
            Endpoint { this->member->addressOf(to), this->member->ports.feed }, kind, wire::encode(message));
    }
    template <class Message> void reply(const Endpoint& to, wire::MessageKind kind, const Message& message)
    {
        this->sendEncoded(to, kind, wire::encode(message));
    }
    /** @brief Sends several messages, which together take as few system calls as possible. */
    template <class Message>
    void replyAll(const Endpoint& to, wire::MessageKind kind, const std::vector<Message>& messages)
    {
        for (const Message& message : messages)
            (void)this->enqueue(to, kind, wire::encode(message));
        this->sender.flush();
    }
    /** @brief As `send`, for an encoded message. One of more than `maxMessageBytes` is logged and not sent. */
    std::size_t sendEncoded(const Endpoint& to, wire::MessageKind kind, BytesView body);

    /** @return Number of messages that were not sent because of their size. */
    [[nodiscard]] std::uint64_t oversizedMessages() const noexcept { return this->oversizedCount; }
    /** @return Number of datagrams that the socket did not take. */
    [[nodiscard]] std::uint64_t droppedDatagrams() const noexcept { return this->sender.dropped(); }

private:
    FleetLink(Poller& poller, const FleetMember& member, UdpSocket socket, const ClusterSettings& cluster,
        wire::Sealer& sealer, Handler handler);
    void receive();
    /** @brief Seals a message for the next flush of the sender. @return Size of the datagram. Unit: bytes. */
    std::size_t enqueue(const Endpoint& to, wire::MessageKind kind, BytesView body);

    Poller* poller;
    UdpSocket socket;
    const FleetMember* member;
    wire::Sealer* sealer;
    wire::Opener opener;
    Handler handler;
    DatagramReceiver receiver;
    DatagramSender sender;
    std::uint64_t oversizedCount {};
};

} // namespace zinnia::runtime
