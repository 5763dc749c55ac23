#include "zinnia/entry/entry_node.hpp"

#include "zinnia/config/adoption.hpp"

#include <utility>

namespace zinnia::entry {

namespace {

    /** Validity of an extension of the home lease: longer than the tick interval, far shorter than the lease itself. */
    constexpr Milliseconds leaseExtension { 50 };

} // namespace

Result<std::unique_ptr<EntryNode>, NodeError> EntryNode::create(
    const NodeSettings& settings, const CoapCodec& codec, TimePoint now)
{
    if (settings.self.value == 0)
        return NodeError::NoInstance;
    if (settings.zone.value == 0)
        return NodeError::NoZone;
    if (settings.epoch.value == 0)
        return NodeError::NoEpoch;
    if (settings.cluster.value == 0)
        return NodeError::NoCluster;
    return std::unique_ptr<EntryNode> { new EntryNode { settings, codec, now } };
}

EntryNode::EntryNode(const NodeSettings& settings, const CoapCodec& codec, TimePoint now)
    : settings { settings }
    , codec { &codec }
    , membership { settings.self, settings.zone, settings.epoch, now, settings.membership }
    , flowEngine { settings.self, settings.zone, settings.epoch, now, settings.flow }
    , registry { settings.registry, settings.self, settings.zone }
    , requestOwner { settings.owner, { settings.self, settings.epoch } }
    , requestHome { settings.home, { settings.self, settings.epoch }, settings.seed }
    , now { now }
{
    config::Configuration none;
    none.cluster = settings.cluster;
    this->activeConfiguration = std::make_shared<const config::Configuration>(std::move(none));
}

void EntryNode::handle(const Event& event, TimePoint now, Actions& actions)
{
    this->now = now;
    this->outputActions = &actions;
    std::visit([this](const auto& alternative) { this->on(alternative); }, event);
    this->deliverLocalMessages();
    this->outputActions = nullptr;
}

void EntryNode::handleBatch(std::span<const FabricPacket> packets, TimePoint now, Actions& actions)
{
    this->now = now;
    this->outputActions = &actions;
    this->flowBatch.clear();
    for (const FabricPacket& packet : packets) {
        const auto found = this->servicesByAddress.find(packet.serviceAddress);
        if (found == this->servicesByAddress.end())
            this->outputActions->emplace_back(CountRefusal { RefusalReason::UnknownService });
        else
            this->flowBatch.emplace_back(flow::CallerPacket { found->second, packet.caller, packet.payload });
    }
    this->flowActions.clear();
    this->flowEngine.handleBatch(this->flowBatch, now, this->flowActions);
    this->performFlowActions();
    this->deliverLocalMessages();
    this->outputActions = nullptr;
}

void EntryNode::on(const FabricPacket& event)
{
    const auto found = this->servicesByAddress.find(event.serviceAddress);
    if (found == this->servicesByAddress.end()) {
        this->outputActions->emplace_back(CountRefusal { RefusalReason::UnknownService });
        return;
    }
    this->runFlow(flow::CallerPacket { found->second, event.caller, event.payload });
}

void EntryNode::on(const UpstreamPacket& event)
{
    this->runFlow(flow::UpstreamPacket { event.upstream, event.localPort, event.payload });
}

void EntryNode::on(const RequestPortPacket& event)
{
    auto message = this->codec->decode(event.payload);
    if (!message) {
        this->outputActions->emplace_back(CountRefusal { RefusalReason::Malformed });
        return;
    }
    this->extendLease();
    this->runHome(request::UpstreamMessage { event.upstream, std::move(*message) });
}

void EntryNode::on(const RegistrationPacket& event)
{
    auto message = this->codec->decode(event.payload);
    if (!message) {
        this->outputActions->emplace_back(CountRefusal { RefusalReason::Malformed });
        this->outputActions->emplace_back(
            Report { zinnia::Event::MessageRefused, {}, event.source, 0, RefusalReason::Malformed });
        return;
    }
    this->runRegistry(upstream::RegistrationReceived { event.source, std::move(*message) });
}

void EntryNode::on(const PeerPacket& event)
{
    std::visit(
        [this, &event](const auto& message) {
            using Message = std::decay_t<decltype(message)>;
            if constexpr (std::is_constructible_v<flow::PeerMessage, Message>)
                this->deliverFlow(event.from, message);
            else
                this->deliver(event.from, message);
        },
        event.message);
}

void EntryNode::on(const ConfigurationOffered& event)
{
    auto adopted = config::adopt(*this->activeConfiguration, *event.configuration);
    if (!adopted) {
        if (adopted.error() == RefusalReason::WrongCluster)
            this->outputActions->emplace_back(CountRefusal { adopted.error() });
        return;
    }
    this->activeConfiguration = std::make_shared<const config::Configuration>(std::move(adopted.value()));
    this->servicesByAddress.clear();
    for (const config::Service& service : this->activeConfiguration->services)
        this->servicesByAddress.emplace(service.address, service.id);
    std::vector<membership::Peer> peers;
    for (const config::Entry& entry : this->activeConfiguration->entries)
        peers.push_back({ entry.id, entry.zone });
    // The flow engine is updated first, so that it stops sending to a withdrawn zone before any other component acts.
    this->runFlow(flow::ConfigurationChanged { *this->activeConfiguration });
    if (this->withdrawn != this->isWithdrawn()) {
        this->withdrawn = !this->withdrawn;
        this->updateUpstreams({ this->registry.upstreams(), {} });
    }
    this->runRegistry(upstream::ConfigurationAdopted { this->activeConfiguration });
    this->runOwner(request::OwnerConfigured { this->activeConfiguration });
    this->runMembership(membership::PeersChanged { std::move(peers) });
    this->runMembership(membership::VersionAdopted { this->activeConfiguration->version });
    this->updateOwnership();
    this->outputActions->emplace_back(Adopted { this->activeConfiguration });
}

void EntryNode::on(const Tick& event)
{
    (void)event;
    this->runMembership(membership::Tick {});
    this->extendLease();
    this->runRegistry(upstream::RegistryTick {});
    this->runFlow(flow::Tick {});
    this->runOwner(request::OwnerTick {});
    this->runHome(request::HomeTick {});
    this->continueStop();
}

void EntryNode::on(const StopRequested& event)
{
    (void)event;
    if (this->stopStartedAt)
        return;
    this->stopStartedAt = this->now;
    this->runMembership(membership::LeaveRequested {});
    this->runFlow(flow::Stop {});
    this->runOwner(request::OwnerStop {});
    this->runHome(request::HomeStop {});
}

void EntryNode::deliver(InstanceId from, const membership::Heartbeat& message)
{
    // An instance sends heartbeats about itself only.
    if (message.instance != from) {
        this->outputActions->emplace_back(CountRefusal { RefusalReason::Malformed });
        return;
    }
    this->runMembership(membership::HeartbeatReceived { message });
}

void EntryNode::deliver(InstanceId from, const request::RecordRequest& message)
{
    this->runOwner(request::RecordReceived { from, message });
}

void EntryNode::deliver(InstanceId from, const request::RecordRequestAck& message)
{
    this->runOwner(request::RecordAckReceived { from, message });
}

void EntryNode::deliver(InstanceId from, const request::ObservationRecord& message)
{
    this->runOwner(request::ObservationRecordReceived { from, message });
}

void EntryNode::deliver(InstanceId from, const request::ObservationRecordAck& message)
{
    this->runOwner(request::ObservationRecordAckReceived { from, message });
}

void EntryNode::deliver(InstanceId from, const request::DispatchRequest& message)
{
    this->extendLease();
    this->runHome(request::DispatchReceived { from, message });
}

void EntryNode::deliver(InstanceId from, const request::RequestResult& message)
{
    this->runOwner(request::ResultReceived { from, message });
}

void EntryNode::deliver(InstanceId from, const request::CancelRequest& message)
{
    this->runHome(request::CancelReceived { from, message });
}

void EntryNode::deliver(InstanceId from, const upstream::UpstreamUpdate& message)
{
    this->runRegistry(upstream::UpdateReceived { from, message });
}

void EntryNode::deliverFlow(InstanceId from, flow::PeerMessage message)
{
    this->runFlow(flow::PeerMessageReceived { from, std::move(message) });
}

void EntryNode::deliverLocalMessages()
{
    while (!this->localMessages.empty()) {
        const PeerMessage message = std::move(this->localMessages.front());
        this->localMessages.pop_front();
        this->on(PeerPacket { this->settings.self, message });
    }
}

void EntryNode::extendLease()
{
    const TimePoint until = this->membership.holdsHomeLease(this->now) ? this->now + leaseExtension : this->now;
    this->runOwner(request::LeaseExtended { until });
    this->runHome(request::LeaseExtended { until });
}

void EntryNode::continueStop()
{
    if (!this->stopStartedAt || this->stopped)
        return;
    const auto elapsed = this->now - *this->stopStartedAt;
    const bool finished = this->flowEngine.isInSync() && this->requestOwner.isIdle() && this->requestHome.isIdle();
    if ((elapsed < this->settings.minStopDuration || !finished) && elapsed < this->settings.maxStopDuration)
        return;
    this->stopped = true;
    this->outputActions->emplace_back(Stopped {});
}

} // namespace zinnia::entry
