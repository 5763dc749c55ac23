#include "zinnia/runtime/entry_adapter.hpp"

#include "zinnia/core/hash.hpp"
#include "zinnia/runtime/logger.hpp"
#include "zinnia/wire/peer_codec.hpp"
#include "zinnia/wire/proxy_protocol.hpp"

#include <array>
#include <utility>

namespace zinnia::runtime {

namespace {

    constexpr Milliseconds tickInterval { 10 };
    /** Batches read from one socket before the other sockets are served. */
    constexpr int maxBatchesPerTurn = 4;

    /** Naive policy for experiments: placement by hash only, and requests are retried until they are answered. */
    void disableMechanisms(entry::NodeSettings& node)
    {
        node.flow.policies = { false, false, false, false, false };
        node.registry.coldStart.enabled = false;
        node.owner.recordAtDeputy = false;
        node.owner.unknownOutcomeAfterTakeover = false;
        node.owner.deduplicateRetransmissions = false;
        node.owner.requireLease = false;
        node.owner.enforceRetryBudget = false;
        node.owner.retryUnknownOutcomes = true;
        node.home.coldStart.enabled = false;
        node.home.enforceSlots = false;
        node.home.assumeBusyAfterTakeover = false;
        node.home.deduplicateDispatches = false;
        node.home.requireLease = false;
    }

    entry::NodeSettings nodeSettings(const EntrySettings& settings, Epoch epoch)
    {
        entry::NodeSettings node;
        node.self = settings.instance;
        node.zone = settings.zone;
        node.epoch = epoch;
        node.cluster = settings.cluster.id;
        node.seed = hashOf(epoch.value, settings.instance.value);
        node.flow.seed = settings.cluster.id.value;
        node.flow.maxFlows = settings.maxFlows;
        if (settings.naive)
            disableMechanisms(node);
        return node;
    }

} // namespace

Result<std::unique_ptr<EntryAdapter>, ListenError> EntryAdapter::create(
    const EntrySettings& settings, Epoch epoch, Poller& poller, MetricsRegistry& metrics, Hooks hooks)
{
    auto fabric = UdpSocket::bind(settings.fabric, 8 << 20);
    if (!fabric)
        return ListenError { "listen.fabric", settings.fabric, fabric.error() };
    auto peer = UdpSocket::bind(settings.peer, 8 << 20);
    if (!peer)
        return ListenError { "listen.peer", settings.peer, peer.error() };
    auto registration = UdpSocket::bind(settings.registration);
    if (!registration)
        return ListenError { "listen.registration", settings.registration, registration.error() };
    const Endpoint anyPort { settings.upstreamSide.address, 0 };
    auto request = UdpSocket::bind(anyPort);
    if (!request)
        return ListenError { "listen.upstream_side", anyPort, request.error() };
    Sockets sockets { fabric.value(), peer.value(), registration.value(), request.value() };
    return std::unique_ptr<EntryAdapter> { new EntryAdapter {
        settings, epoch, poller, metrics, std::move(hooks), std::move(sockets) } };
}

EntryAdapter::EntryAdapter(
    const EntrySettings& settings, Epoch epoch, Poller& poller, MetricsRegistry& metrics, Hooks hooks, Sockets sockets)
    : settings { settings }
    , poller { &poller }
    , metrics { &metrics }
    , hooks { std::move(hooks) }
    , sockets { std::move(sockets) }
    , localPorts { settings.upstreamSide, settings.maxLocalPorts,
        [this](const UdpSocket& socket, std::uint16_t index) {
            this->poller->watch(socket.descriptor(), true, false, [this, index](Readiness) {
                this->receiveFromUpstream(index);
                this->flush();
            });
        } }
    , sealer { settings.cluster.key, settings.cluster.id, settings.instance, epoch }
    , opener { settings.cluster.key, settings.cluster.id } // The node's settings were validated when they were read.
    , entryNode { std::move(
          entry::EntryNode::create(nodeSettings(settings, epoch), this->codec, poller.now()).value()) }
    , packetsIn { &metrics.counter({ "zinnia_packets_in_total" }) }
    , packetsToUpstreams { &metrics.counter({ "zinnia_packets_to_upstreams_total" }) }
    , packetsToCallers { &metrics.counter({ "zinnia_packets_to_callers_total" }) }
    , controlBytes { &metrics.counter({ "zinnia_control_bytes_total" }) }
    , forwardBytes { &metrics.counter({ "zinnia_forward_bytes_total" }) }
{
    this->listen(this->sockets.fabric, &EntryAdapter::receiveFromFabric);
    this->listen(this->sockets.peer, &EntryAdapter::receiveFromPeer);
    this->listen(this->sockets.registration, &EntryAdapter::receiveRegistration);
    this->listen(this->sockets.request, &EntryAdapter::receiveFromRequestPort);
    this->timer = poller.schedule(tickInterval, [this] { this->tick(); });
}

EntryAdapter::~EntryAdapter()
{
    this->poller->cancel(this->timer);
    for (const UdpSocket* socket :
        { &this->sockets.fabric, &this->sockets.peer, &this->sockets.registration, &this->sockets.request })
        this->poller->unwatch(socket->descriptor());
    for (const auto& socket : this->localPorts.all()) {
        if (socket)
            this->poller->unwatch(socket->descriptor());
    }
}

void EntryAdapter::offer(config::Configuration configuration)
{
    this->handle(
        entry::ConfigurationOffered { std::make_shared<const config::Configuration>(std::move(configuration)) });
    this->flush();
}

void EntryAdapter::stop()
{
    this->handle(entry::StopRequested {});
    this->flush();
}

void EntryAdapter::publishGauges()
{
    const flow::Counters& counters = this->entryNode->flows().counters();
    this->metrics->gauge({ "zinnia_flows" }).set(this->entryNode->flows().flows());
    this->metrics->gauge({ "zinnia_flows_created" }).set(static_cast<double>(counters.flowsCreated));
    this->metrics->gauge({ "zinnia_flows_broken" }).set(static_cast<double>(counters.broken));
    this->metrics->gauge({ "zinnia_flows_given_up" }).set(static_cast<double>(counters.givenUp));
    this->metrics->gauge({ "zinnia_flows_off_default" }).set(static_cast<double>(counters.offDefault));
    this->metrics->gauge({ "zinnia_flows_settled" }).set(this->entryNode->flows().isInSync() ? 1 : 0);
    this->metrics->gauge({ "zinnia_live_entries" }).set(static_cast<double>(this->entryNode->view().members.size()));
    this->metrics->gauge({ "zinnia_configuration_version" })
        .set(static_cast<double>(this->entryNode->configuration().version.value));
    this->metrics->gauge({ "zinnia_datagrams_dropped" }).set(static_cast<double>(this->sender.dropped()));
}

void EntryAdapter::listen(const UdpSocket& socket, Receive receive)
{
    const int descriptor = socket.descriptor();
    this->poller->watch(descriptor, true, false, [this, descriptor, receive](Readiness) {
        for (int batch = 0; batch < maxBatchesPerTurn; ++batch) {
            const auto datagrams = this->receiver.receive(descriptor);
            if (datagrams.empty())
                break;
            for (const ReceivedDatagram& datagram : datagrams)
                (this->*receive)(datagram);
            this->handleFabricBatch();
            this->flush();
        }
    });
}

void EntryAdapter::receiveFromFabric(const ReceivedDatagram& datagram)
{
    const auto proxied = wire::decodeProxy(datagram.bytes);
    if (!proxied) {
        this->refuse(RefusalReason::Malformed, datagram.source);
        return;
    }
    this->packetsIn->add();
    this->fabricBatch.push_back({ proxied.value().source, proxied.value().destination, proxied.value().payload });
}

void EntryAdapter::handleFabricBatch()
{
    if (this->fabricBatch.empty())
        return;
    this->actions.clear();
    this->entryNode->handleBatch(this->fabricBatch, this->poller->now(), this->actions);
    this->fabricBatch.clear();
    this->performActions();
}

void EntryAdapter::receiveFromPeer(const ReceivedDatagram& datagram)
{
    const auto opened = this->opener.open(datagram.bytes);
    if (!opened) {
        this->refuse(opened.error(), datagram.source);
        return;
    }
    auto message = wire::decodePeerBody(opened.value().kind, opened.value().body);
    if (!message) {
        this->refuse(message.error(), datagram.source);
        return;
    }
    this->handle(entry::PeerPacket { opened.value().sender, std::move(message.value()) });
}

void EntryAdapter::receiveRegistration(const ReceivedDatagram& datagram)
{
    this->handle(entry::RegistrationPacket { datagram.source, datagram.bytes });
}

void EntryAdapter::receiveFromRequestPort(const ReceivedDatagram& datagram)
{
    this->handle(entry::RequestPortPacket { datagram.source, datagram.bytes });
}

void EntryAdapter::receiveFromUpstream(std::uint16_t localPort)
{
    const UdpSocket* socket = this->localPorts.find(localPort);
    if (!socket)
        return;
    for (const ReceivedDatagram& datagram : this->receiver.receive(socket->descriptor()))
        this->handle(entry::UpstreamPacket { datagram.source, localPort, datagram.bytes });
}

void EntryAdapter::tick()
{
    this->timer = this->poller->schedule(tickInterval, [this] { this->tick(); });
    this->handle(entry::Tick {});
    this->flush();
}

void EntryAdapter::handle(const entry::Event& event)
{
    this->actions.clear();
    this->entryNode->handle(event, this->poller->now(), this->actions);
    this->performActions();
}

void EntryAdapter::performActions()
{
    for (const entry::Action& action : this->actions)
        std::visit([this](const auto& alternative) { this->perform(alternative); }, action);
}

void EntryAdapter::refuse(RefusalReason reason, const Endpoint& source)
{
    this->metrics->refusals(reason).add();
    log(Event::MessageRefused, Field { "reason", reason }, Field { "source", source });
}

void EntryAdapter::flush() { this->sender.flush(); }

void EntryAdapter::perform(const entry::SendToCaller& action)
{
    std::array<std::uint8_t, wire::proxyHeaderBytes> header {};
    wire::encodeProxyHeader(header, action.serviceAddress, action.caller);
    const BytesView payload = action.generatedPayload.empty() ? action.payload : BytesView { action.generatedPayload };
    this->sender.add(this->sockets.fabric.descriptor(), this->settings.fabricGateway, header, payload);
    this->packetsToCallers->add();
}

void EntryAdapter::perform(const entry::SendToUpstream& action)
{
    const auto descriptor = this->localPorts.descriptor(action.localPort);
    if (!descriptor) {
        this->metrics->refusals(RefusalReason::UpstreamConnectionsFull).add();
        return;
    }
    this->sender.add(*descriptor, action.upstream, {}, action.payload);
    this->packetsToUpstreams->add();
}

void EntryAdapter::perform(const entry::SendRequestPacket& action)
{
    this->sender.add(this->sockets.request.descriptor(), action.upstream, {}, action.payload);
    this->packetsToUpstreams->add();
}

void EntryAdapter::perform(const entry::SendRegistrationAnswer& action)
{
    this->sender.add(this->sockets.registration.descriptor(), action.destination, {}, action.payload);
}

void EntryAdapter::perform(const entry::SendToPeer& action)
{
    const auto address = this->peerAddresses.find(action.to);
    if (address == this->peerAddresses.end())
        return;
    this->body.clear();
    wire::encodePeerBody(this->body, action.message);
    const Bytes sealed = this->sealer.seal(wire::kindOf(action.message), this->body);
    if (sealed.size() > wire::maxDatagramBytes) {
        this->metrics->refusals(RefusalReason::Oversized).add();
        return;
    }
    const bool carriesPacket = std::holds_alternative<flow::ForwardPacket>(action.message);
    (carriesPacket ? this->forwardBytes : this->controlBytes)->add(sealed.size());
    this->sender.add(this->sockets.peer.descriptor(), address->second, {}, sealed);
}

void EntryAdapter::perform(const entry::FetchConfiguration& action)
{
    const auto address = this->streamAddresses.find(action.from);
    if (address != this->streamAddresses.end())
        this->hooks.fetchConfiguration(action.from, address->second);
}

void EntryAdapter::perform(const entry::Report& action)
{
    log(action.event, Field { "instance", action.instance }, Field { "address", action.address },
        Field { "number", action.number }, Field { "reason", action.reason });
}

void EntryAdapter::perform(const entry::CountRefusal& action) { this->metrics->refusals(action.reason).add(); }

void EntryAdapter::perform(const entry::CountRetry& action) { this->metrics->retries(action.reason).add(); }

void EntryAdapter::perform(const entry::Adopted& action)
{
    this->peerAddresses.clear();
    this->streamAddresses.clear();
    for (const config::Entry& peer : action.configuration->entries) {
        this->peerAddresses[peer.id] = peer.peerAddress;
        this->streamAddresses[peer.id] = peer.streamAddress;
    }
    for (const PeerRoute& route : this->settings.routes)
        this->peerAddresses[route.instance] = route.via;
    this->hooks.adopted(*action.configuration);
}

void EntryAdapter::perform(const entry::Stopped&) { this->hooks.stopped(); }

} // namespace zinnia::runtime
