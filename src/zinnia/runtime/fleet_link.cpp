#include "zinnia/runtime/fleet_link.hpp"

#include "zinnia/runtime/logger.hpp"

namespace zinnia::runtime {

Result<std::unique_ptr<FleetLink>, SocketError> FleetLink::create(
    Poller& poller, const FleetMember& member, const ClusterSettings& cluster, wire::Sealer& sealer, Handler handler)
{
    auto socket = UdpSocket::bind({ member.address, member.ports.feed });
    if (!socket)
        return socket.error();
    return std::unique_ptr<FleetLink> { new FleetLink {
        poller, member, std::move(socket).value(), cluster, sealer, std::move(handler) } };
}

FleetLink::FleetLink(Poller& poller, const FleetMember& member, UdpSocket socket, const ClusterSettings& cluster,
    wire::Sealer& sealer, Handler handler)
    : poller { &poller }
    , socket { std::move(socket) }
    , member { &member }
    , sealer { &sealer }
    , opener { cluster.key, cluster.id, false }
    , handler { std::move(handler) }
{
    poller.watch(this->socket.descriptor(), true, false, [this](Readiness) { this->receive(); });
}

FleetLink::~FleetLink() { this->poller->unwatch(this->socket.descriptor()); }

void FleetLink::receive()
{
    for (const ReceivedDatagram& datagram : this->receiver.receive(this->socket.descriptor())) {
        const auto message = this->opener.open(datagram.bytes);
        if (message)
            this->handler(message.value(), datagram.source);
        else
            log(Event::MessageRefused, Field { "reason", message.error() }, Field { "source", datagram.source });
    }
}

std::size_t FleetLink::sendEncoded(const Endpoint& to, wire::MessageKind kind, BytesView body)
{
    const std::size_t size = this->enqueue(to, kind, body);
    this->sender.flush();
    return size;
}

std::size_t FleetLink::enqueue(const Endpoint& to, wire::MessageKind kind, BytesView body)
{
    if (body.size() > maxMessageBytes) {
        ++this->oversizedCount;
        log(Event::MessageTooLarge, Field { "kind", static_cast<unsigned>(kind) }, Field { "bytes", body.size() },
            Field { "limit", maxMessageBytes }, Field { "to", to });
        return 0;
    }
    const Bytes sealed = this->sealer->seal(kind, body);
    this->sender.add(this->socket.descriptor(), to, sealed, {});
    return sealed.size();
}

} // namespace zinnia::runtime
