#include "zinnia/flow/flow_engine.hpp"

#include <algorithm>
#include <utility>

namespace zinnia::flow {

namespace {

    constexpr std::uint8_t noServiceIndex = 0xFF;
    // The epoch offsets the sequence numbers, so acknowledgements addressed to an earlier start of the process are
    // ignored.
    constexpr unsigned epochSequenceBits = 20;

} // namespace

FlowEngine::FlowEngine(InstanceId self, ZoneId zone, Epoch epoch, TimePoint now, const Settings& settings)
    : self { self }
    , zone { zone }
    , settings { settings }
    , startTime { now }
    , lastEvent { now }
    , windowStart { now }
    , nextHandoverRequestAt { now }
    , nextSequence { (epoch.value & 0xFFFU) << epochSequenceBits }
    , view { self, zone, {} }
    , previousView { self, zone, {} }
    , table { settings.maxFlows }
    , controlLimiter { settings.controlBytesPerSecond, settings.controlBurstBytes, now }
{
}

void FlowEngine::checkProcessPause(TimePoint now)
{
    if (now - this->lastEvent >= this->settings.freezeThreshold && this->settings.policies.syncAfterFreeze) {
        // During a process pause, the deputies may have taken the buckets over and handed them back unnoticed.
        for (ServiceState& state : this->services) {
            for (Bucket& bucket : state.buckets) {
                if (bucket.local.owner == this->self && this->isAlive(bucket.local.deputy))
                    this->awaitHandover(bucket, bucket.local.deputy, now);
            }
        }
    }
    this->lastEvent = now;
}

void FlowEngine::handle(const Input& input, TimePoint now, Actions& actions)
{
    this->checkProcessPause(now);
    // The most frequent input is handled without the indirect call of a visit.
    if (const auto* packet = std::get_if<CallerPacket>(&input))
        this->on(*packet, now, actions);
    else
        std::visit([&](const auto& event) { this->on(event, now, actions); }, input);
}

void FlowEngine::handleBatch(std::span<const Input> inputs, TimePoint now, Actions& actions)
{
    constexpr std::size_t prefetchGroup = 16; // about the number of cache misses that a core has in flight
    std::array<FlowKey, prefetchGroup> keys {};
    this->checkProcessPause(now);
    while (!inputs.empty()) {
        const auto current = inputs.first(std::min(prefetchGroup, inputs.size()));
        inputs = inputs.subspan(current.size());
        for (std::size_t i = 0; i < current.size(); ++i) {
            if (const auto* packet = std::get_if<CallerPacket>(&current[i])) {
                keys[i] = this->keyOf(packet->service, packet->caller);
                this->table.prefetchCell(keys[i]);
            }
        }
        for (std::size_t i = 0; i < current.size(); ++i) {
            if (std::holds_alternative<CallerPacket>(current[i]))
                this->table.prefetchFlow(keys[i]);
        }
        for (std::size_t i = 0; i < current.size(); ++i) {
            if (const auto* packet = std::get_if<CallerPacket>(&current[i]))
                this->routeCallerPacket(*packet, keys[i], now, actions);
            else
                this->handle(current[i], now, actions);
        }
    }
}

std::optional<std::uint8_t> FlowEngine::serviceIndex(ServiceId service) const noexcept
{
    if (service.value >= this->serviceIndices.size() || this->serviceIndices[service.value] == noServiceIndex)
        return std::nullopt;
    return this->serviceIndices[service.value];
}

void FlowEngine::on(const CallerPacket& input, TimePoint now, Actions& actions)
{
    this->routeCallerPacket(input, this->keyOf(input.service, input.caller), now, actions);
}

void FlowEngine::routeCallerPacket(const CallerPacket& input, FlowKey key, TimePoint now, Actions& actions)
{
    const auto service = this->serviceIndex(input.service);
    if (!service) {
        ++this->counts.refused[static_cast<std::size_t>(RefusalReason::UnknownService)];
        actions.emplace_back(Refuse { input.service, input.caller, RefusalReason::UnknownService, input.payload });
        return;
    }
    const auto buckets = static_cast<std::uint32_t>(this->services[*service].buckets.size());
    this->route(Packet { *service, bucketOf(key, buckets), key, input.caller, 0, input.payload }, ForwardMode::ToOwner,
        now, actions);
}

void FlowEngine::onMessage(InstanceId, const ForwardPacket& message, TimePoint now, Actions& actions)
{
    const auto service = this->serviceIndex(message.service);
    if (!service)
        return;
    const FlowKey key = this->keyOf(message.service, message.caller);
    const auto buckets = static_cast<std::uint32_t>(this->services[*service].buckets.size());
    this->route(Packet { *service, bucketOf(key, buckets), key, message.caller, message.hops, message.payload },
        message.mode, now, actions);
}

void FlowEngine::route(const Packet& packet, ForwardMode mode, TimePoint now, Actions& actions)
{
    const Bucket& bucket = this->services[packet.service].buckets[packet.bucket.value];
    if (mode == ForwardMode::ToFlowZone) {
        if (bucket.local.owner == this->self)
            this->serve(packet, mode, now, actions);
        else if (bucket.local.owner.value != 0)
            this->forward(packet, bucket.local.owner, mode, actions);
        else
            this->refuse(packet, RefusalReason::NoUpstream, actions);
        return;
    }
    if (mode == ForwardMode::NewFlow && bucket.local.owner == this->self) {
        this->serve(packet, mode, now, actions);
        return;
    }
    const bool handoverInProgress = this->handoverInProgress(bucket);
    const bool handedOver
        = mode == ForwardMode::ToPreviousOwner || (handoverInProgress && bucket.handoverTo == bucket.globalOwner);
    const InstanceId receiver = handoverInProgress ? bucket.handoverTo : bucket.globalOwner;
    if (bucket.globalOwner != this->self && bucket.globalOwner.value != 0 && mode != ForwardMode::NewFlow
        && handedOver) {
        const FlowIndex index = this->table.find(packet.key);
        const bool usable = index != noFlow && this->isReachable(this->table[index]);
        if (usable)
            this->transmit(packet, index, now, actions);
        else if (index != noFlow)
            this->forward(packet, receiver, ForwardMode::ToOwner, actions);
        else if (bucket.local.owner != this->self && this->isAlive(bucket.handoverNextSource))
            this->forward(packet, bucket.handoverNextSource, ForwardMode::ToPreviousOwner, actions);
        else if (handoverInProgress && now < bucket.inheritedUntil)
            this->placeNewFlow(
                packet, now, actions); // perhaps an existing flow; both owners choose the inherited default
        else
            this->forward(packet, receiver, ForwardMode::NewFlow, actions);
        return;
    }
    if (bucket.globalOwner == this->self)
        this->serve(packet, mode, now, actions);
    else if (bucket.globalOwner.value != 0)
        this->forward(packet, bucket.globalOwner, ForwardMode::ToOwner, actions);
    else
        this->refuse(packet, this->stopping ? RefusalReason::Stopping : RefusalReason::NoUpstream, actions);
}

void FlowEngine::serve(const Packet& packet, ForwardMode mode, TimePoint now, Actions& actions)
{
    ServiceState& state = this->services[packet.service];
    const Bucket& bucket = state.buckets[packet.bucket.value];
    const FlowIndex index = this->table.find(packet.key);
    if (index != noFlow) {
        Flow& flow = this->table[index];
        if (flow.isInOtherZone() && mode != ForwardMode::ToFlowZone) {
            const ZoneId there { flow.port };
            const InstanceId owner = this->isInService(there)
                ? bucketAssignmentOf(this->view, there, state.config.id, packet.bucket).owner
                : InstanceId {};
            if (owner.value != 0) {
                flow.lastActive = this->tableTime(now);
                this->forward(packet, owner, ForwardMode::ToFlowZone, actions);
                return;
            }
        } else if (!flow.isInOtherZone()) {
            const UpstreamSlot& slot = this->upstreams[flow.upstream];
            if (this->isReachable(flow)) {
                this->transmit(packet, index, now, actions);
                return;
            }
            if (slot.unregistered) {
                this->refuse(packet, RefusalReason::NoUpstream, actions);
                return;
            }
        }
        // The upstream or its whole zone is lost, so the flow is placed again.
        this->remove(index);
        ++this->counts.broken;
    } else if (bucket.handoverFrom.value != 0 && mode != ForwardMode::NewFlow) {
        this->forward(packet, bucket.handoverFrom, ForwardMode::ToPreviousOwner, actions);
        return;
    }
    this->placeNewFlow(packet, now, actions);
}

void FlowEngine::forward(const Packet& packet, InstanceId to, ForwardMode mode, Actions& actions)
{
    if (packet.hops >= this->settings.maxHops) {
        this->refuse(packet, RefusalReason::TooManyHops, actions);
        return;
    }
    ++this->counts.forwarded;
    actions.emplace_back(SendToPeer { to,
        ForwardPacket { this->services[packet.service].config.id, packet.caller,
            static_cast<std::uint8_t>(packet.hops + 1), mode, packet.payload } });
}

void FlowEngine::refuse(const Packet& packet, RefusalReason reason, Actions& actions)
{
    ++this->counts.refused[static_cast<std::size_t>(reason)];
    actions.emplace_back(Refuse { this->services[packet.service].config.id, packet.caller, reason, packet.payload });
}

void FlowEngine::transmit(const Packet& packet, FlowIndex index, TimePoint now, Actions& actions)
{
    Flow& flow = this->table[index];
    const ServiceState& state = this->services[packet.service];
    if (!flow.active && !this->activate(index)) {
        this->refuse(packet, RefusalReason::UpstreamConnectionsFull, actions);
        return;
    }
    flow.lastActive = this->tableTime(now);
    flow.callerAddress = packet.caller.address;
    flow.callerPort = packet.caller.port;
    const upstream::UpstreamInfo& info = this->upstreams[flow.upstream].info;
    if (state.config.mode == config::ServiceMode::Request) {
        const InstanceId deputy = state.buckets[packet.bucket.value].local.deputy;
        actions.emplace_back(
            DeliverRequestPacket { state.config.id, packet.caller, packet.key, info.id, deputy, packet.payload });
    } else
        actions.emplace_back(SendToUpstream { info.id, info.address, flow.port, packet.payload });
}

void FlowEngine::on(const UpstreamPacket& input, TimePoint now, Actions& actions)
{
    const SlotIndex slot = this->upstreams.findByAddress(input.upstream);
    const FlowIndex index = slot == noSlot ? noFlow : this->upstreams[slot].ports.flowOf(input.localPort);
    if (index == noFlow)
        return;
    Flow& flow = this->table[index];
    flow.lastActive = this->tableTime(now);
    actions.emplace_back(SendToCaller { this->services[flow.service].config.id, flow.caller(), input.payload });
}

void FlowEngine::on(const PeerMessageReceived& input, TimePoint now, Actions& actions)
{
    std::visit([&](const auto& message) { this->onMessage(input.from, message, now, actions); }, input.message);
}

void FlowEngine::on(const ViewChanged& input, TimePoint now, Actions& actions)
{
    this->previousView = std::exchange(this->view, input.view);
    this->updateAssignments(now, actions);
}

void FlowEngine::on(const ConfigurationChanged& input, TimePoint now, Actions& actions)
{
    constexpr std::size_t maxServices = noServiceIndex;
    if (input.configuration.version <= this->configuration.version)
        return;
    this->configuration = input.configuration;
    for (ServiceState& state : this->services)
        state.present = false;
    for (const config::Service& service : this->configuration.services) {
        const auto known = std::find_if(this->services.begin(), this->services.end(),
            [&](const ServiceState& state) { return state.config.id == service.id; });
        if (known != this->services.end()) {
            // Flows are listed by bucket, so the bucket count of a known service does not change.
            known->config = service;
            known->present = true;
            continue;
        }
        if (this->services.size() >= maxServices || service.buckets == 0 || service.buckets > 65535)
            continue;
        ServiceState& added = this->services.emplace_back();
        added.config = service;
        added.buckets.resize(service.buckets);
        added.targetDefaults.resize(service.buckets);
        this->table.addService(service.buckets);
        if (service.id.value >= this->serviceIndices.size())
            this->serviceIndices.resize(service.id.value + std::size_t { 1 }, noServiceIndex);
    }
    std::fill(this->serviceIndices.begin(), this->serviceIndices.end(), noServiceIndex);
    for (std::size_t i = 0; i < this->services.size(); ++i) {
        if (this->services[i].present)
            this->serviceIndices[this->services[i].config.id.value] = static_cast<std::uint8_t>(i);
    }
    for (const config::Zone& zone : this->configuration.zones) {
        if (zone.state == config::ZoneState::Withdrawn)
            this->dropFlowsOfZone(zone.id, actions);
    }
    this->refreshUpstreams(now);
    this->previousView = this->view;
    this->updateAssignments(now, actions);
}

void FlowEngine::on(const UpstreamsChanged& input, TimePoint now, Actions& actions)
{
    if (!this->upstreams.replace(input.upstreams, this->zone))
        return;
    this->refreshUpstreams(now);
    this->advanceAllBuckets(now, actions);
    this->flush(now, actions);
}

void FlowEngine::on(const Stop&, TimePoint, Actions&) { this->stopping = true; }

void FlowEngine::on(const Tick&, TimePoint now, Actions& actions)
{
    constexpr Milliseconds window { 1000 };
    this->controlLimiter.refill(now);
    if (now - this->windowStart >= window) {
        this->windowStart = now;
        for (ServiceState& state : this->services)
            state.previousNewFlows = std::exchange(state.newFlows, 0);
        for (SlotIndex i = 0; i < this->upstreams.size(); ++i)
            this->upstreams[i].newFlows = 0;
        this->upstreams.removeLost(now, this->settings.unregisteredUpstreamTimeout);
    }
    this->expireFlows(now);
    this->advanceAllBuckets(now, actions);
    this->requestBuckets(now, actions);
    this->flush(now, actions);
}

std::uint32_t FlowEngine::flowsOn(UpstreamId upstream) const noexcept
{
    const SlotIndex slot = this->upstreams.find(upstream);
    return slot == noSlot ? 0 : this->upstreams[slot].flows;
}

bool FlowEngine::isInSync() const noexcept
{
    return std::all_of(this->streams.begin(), this->streams.end(), [](const auto& entry) {
        return entry.second.isIdle();
    }) && std::all_of(this->services.begin(), this->services.end(), [this](const ServiceState& state) {
        return std::all_of(state.buckets.begin(), state.buckets.end(), [this](const Bucket& bucket) {
            return bucket.handoverFrom.value == 0
                && (bucket.local.owner != this->self || bucket.pendingDefault.value == 0);
        });
    });
}

std::size_t FlowEngine::memoryBytes() const noexcept
{
    std::size_t bytes = sizeof(*this) + this->table.memoryBytes() + this->upstreams.memoryBytes();
    for (const ServiceState& state : this->services)
        bytes += sizeof(state) + state.buckets.capacity() * sizeof(Bucket)
            + state.targetDefaults.capacity() * sizeof(UpstreamId);
    for (const auto& [key, stream] : this->streams)
        bytes += sizeof(key) + stream.memoryBytes();
    return bytes + (this->dueFlows.capacity() * sizeof(FlowIndex)) + this->messageItems.capacity() * sizeof(StreamItem);
}

} // namespace zinnia::flow
