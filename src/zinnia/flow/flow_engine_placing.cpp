#include "zinnia/flow/flow_engine.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace zinnia::flow {

std::uint32_t FlowEngine::tableTime(TimePoint now) const noexcept
{
    return static_cast<std::uint32_t>((now - this->startTime) / tableTimeUnit);
}

std::uint32_t FlowEngine::idleTimeoutOf(const ServiceState& state) const noexcept
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(1, state.config.flowIdleTimeout / tableTimeUnit));
}

// Each active entry of the zone gets an equal share of the connections; the remainder goes to the lowest ids.
bool FlowEngine::hasFreeConnection(SlotIndex slot) const noexcept
{
    const UpstreamSlot& upstream = this->upstreams[slot];
    if (this->services[upstream.service].config.mode == config::ServiceMode::Request)
        return true;
    const std::uint32_t connections = upstream.info.connections;
    const std::uint32_t share
        = connections / this->zoneEntryCount + (this->zoneRank < connections % this->zoneEntryCount ? 1 : 0);
    return upstream.ports.inUse() < share;
}

bool FlowEngine::isOverFairShare(const ServiceState& state, SlotIndex slot) const noexcept
{
    const UpstreamSlot& upstream = this->upstreams[slot];
    const double fair = (state.flows + 1.0) * upstream.info.weight / state.totalWeight;
    return upstream.flows + 1.0 > std::ceil(this->settings.flowLoadBound * fair);
}

// A warming upstream gets at most its weighted share of the new flows in a window of 1 s. Without this limit it
// would get all of them until it holds as many flows as the others.
bool FlowEngine::isWarmingLimitReached(const ServiceState& state, SlotIndex slot) const noexcept
{
    const UpstreamSlot& upstream = this->upstreams[slot];
    if (upstream.info.weight >= 1.0)
        return false;
    const double arrivals = std::max(state.newFlows, state.previousNewFlows);
    const double limit = std::ceil(upstream.info.weight * arrivals / std::max(1U, state.candidateCount));
    return upstream.newFlows >= std::max(1.0, limit);
}

SlotIndex FlowEngine::chooseUpstream(const Packet& packet, TimePoint now, RefusalReason& reason)
{
    const ServiceState& state = this->services[packet.service];
    const Bucket& bucket = state.buckets[packet.bucket.value];
    const SlotIndex preferred = this->upstreams.find(bucket.currentDefault);
    const bool mayBeExisting = now < bucket.inheritedUntil;
    if (preferred != noSlot && this->upstreams[preferred].sendable
        && this->upstreams[preferred].service == packet.service) {
        const UpstreamSlot& slot = this->upstreams[preferred];
        if (mayBeExisting)
            return preferred;
        if (slot.acceptsNew && this->hasFreeConnection(preferred) && !this->isWarmingLimitReached(state, preferred)) {
            const auto stream = this->streams.find({ bucket.local.deputy, false });
            const bool isBacklogged
                = stream != this->streams.end() && stream->second.backlog() > this->settings.maxSkipBacklog;
            if (isBacklogged || !this->isOverFairShare(state, preferred))
                return preferred;
        }
    }
    SlotIndex best = noSlot;
    double bestLoad = 0.0;
    for (SlotIndex i = 0; i < this->upstreams.size(); ++i) {
        const UpstreamSlot& slot = this->upstreams[i];
        if (!slot.inUse || !slot.acceptsNew || slot.service != packet.service)
            continue;
        if (!this->hasFreeConnection(i)) {
            if (reason == RefusalReason::NoUpstream)
                reason = RefusalReason::UpstreamConnectionsFull;
            continue;
        }
        if (this->isWarmingLimitReached(state, i)) {
            reason = RefusalReason::ColdStartLimit;
            continue;
        }
        const double load = slot.flows / slot.info.weight;
        if (best == noSlot || load < bestLoad) {
            best = i;
            bestLoad = load;
        }
    }
    return best;
}

void FlowEngine::placeNewFlow(const Packet& packet, TimePoint now, Actions& actions)
{
    ServiceState& state = this->services[packet.service];
    const Bucket& bucket = state.buckets[packet.bucket.value];
    if (this->table.isFull()) {
        if (!std::exchange(this->tableFullReported, true))
            actions.emplace_back(ReportEvent { Event::FlowTableRefusing, {}, this->table.size() });
        this->refuse(packet, RefusalReason::FlowTableFull, actions);
        return;
    }
    RefusalReason reason = this->isInService(this->zone) ? RefusalReason::NoUpstream : RefusalReason::ZoneWithdrawn;
    const SlotIndex slot = this->chooseUpstream(packet, now, reason);
    if (slot == noSlot) {
        this->refuse(packet, reason, actions);
        return;
    }
    const FlowIndex index = this->table.insert(packet.key, packet.service);
    Flow& flow = this->table[index];
    flow.lastActive = this->tableTime(now);
    flow.start = static_cast<std::int32_t>(flow.lastActive);
    this->attachUpstream(index, slot);
    if (!this->activate(index)) {
        this->remove(index);
        this->refuse(packet, RefusalReason::UpstreamConnectionsFull, actions);
        return;
    }
    this->table.schedule(index, flow.lastActive + this->idleTimeoutOf(state));
    ++this->counts.flowsCreated;
    ++state.newFlows;
    ++this->upstreams[slot].newFlows;
    if (this->isOffDefault(flow, bucket)) {
        ++this->counts.offDefault;
        this->replicate(packet.service, packet.bucket, packet.key, StreamItemKind::Record);
    }
    if (this->handoverInProgress(bucket))
        this->streams[{ bucket.handoverTo, true }].push(
            { packet.key.value, packet.bucket, packet.service, StreamItemKind::Record, false, {} });
    this->transmit(packet, index, now, actions);
}

bool FlowEngine::activate(FlowIndex index)
{
    Flow& flow = this->table[index];
    ServiceState& state = this->services[flow.service];
    UpstreamSlot& slot = this->upstreams[flow.upstream];
    if (state.config.mode == config::ServiceMode::Datagram) {
        flow.port = slot.ports.allocate(index, slot.info.connections);
        if (flow.port == noPort)
            return false;
    }
    flow.active = true;
    ++slot.flows;
    ++state.flows;
    return true;
}

void FlowEngine::attachUpstream(FlowIndex index, SlotIndex slot)
{
    this->table[index].upstream = slot;
    if (slot != noSlot)
        ++this->upstreams[slot].references;
}

void FlowEngine::detachUpstream(FlowIndex index)
{
    Flow& flow = this->table[index];
    if (!flow.isInOtherZone()) {
        UpstreamSlot& slot = this->upstreams[flow.upstream];
        --slot.references;
        if (flow.active) {
            --slot.flows;
            --this->services[flow.service].flows;
            if (flow.port != noPort)
                slot.ports.release(flow.port);
        }
    }
    flow.upstream = noSlot;
    flow.port = noPort;
    flow.active = false;
}

void FlowEngine::remove(FlowIndex index)
{
    this->detachUpstream(index);
    this->table.erase(index);
}

bool FlowEngine::isOffDefault(const Flow& flow, const Bucket& bucket) const noexcept
{
    if (flow.isInOtherZone())
        return true;
    const UpstreamId id = this->upstreams[flow.upstream].info.id;
    return id != bucket.currentDefault || (bucket.pendingDefault.value != 0 && id != bucket.pendingDefault);
}

FlowRecord FlowEngine::recordOf(const Flow& flow, TimePoint now) const
{
    const auto age = (std::int64_t { this->tableTime(now) } - flow.start) * tableTimeUnit.count();
    if (flow.isInOtherZone())
        return { flow.key(), UpstreamId {}, ZoneId { flow.port }, age };
    return { flow.key(), this->upstreams[flow.upstream].info.id, this->zone, age };
}

void FlowEngine::mergeRecord(const FlowRecord& record, std::uint8_t service, bool authoritative, TimePoint now)
{
    ServiceState& state = this->services[service];
    const BucketIndex bucketIndex = zinnia::bucketOf(record.key, static_cast<std::uint32_t>(state.buckets.size()));
    const Bucket& bucket = state.buckets[bucketIndex.value];
    const bool isInThisZone = record.zone == this->zone;
    if (!this->isInService(record.zone))
        return;
    const SlotIndex slot = isInThisZone ? this->upstreams.findOrAdd(record.upstream, now) : noSlot;
    if (isInThisZone && slot == noSlot)
        return;
    const auto nowUnits = this->tableTime(now);
    const auto start = static_cast<std::int32_t>(
        std::max<std::int64_t>(INT32_MIN, std::int64_t { nowUnits } - record.ageMs / tableTimeUnit.count()));
    FlowIndex index = this->table.find(record.key);
    if (index != noFlow) {
        Flow& flow = this->table[index];
        const bool isSamePlacement
            = flow.isInOtherZone() ? (!isInThisZone && flow.port == record.zone.value) : flow.upstream == slot;
        if (isSamePlacement) {
            // The record counts as activity: the flow was in use at the sender, even without packets at this entry.
            flow.start = std::min(flow.start, start);
            flow.lastActive = nowUnits;
            return;
        }
        const bool usable
            = flow.isInOtherZone() ? this->isInService(ZoneId { flow.port }) : this->upstreams[flow.upstream].sendable;
        const bool isOwner = bucket.local.owner == this->self;
        if (!authoritative || isOwner) {
            if (isInThisZone && !this->upstreams[slot].sendable && !this->upstreams[slot].unregistered)
                return;
            if (usable && start >= flow.start && this->settings.policies.keepEarlierPlacement)
                return;
            ++this->counts.movedByMerge;
        }
        this->detachUpstream(index);
    } else {
        index = this->table.insert(record.key, service);
        if (index == noFlow)
            return;
        this->table.schedule(index, nowUnits + this->idleTimeoutOf(state));
    }
    Flow& flow = this->table[index];
    this->attachUpstream(index, slot);
    if (!isInThisZone)
        flow.port = record.zone.value;
    flow.start = start;
    flow.lastActive = nowUnits;
    if (bucket.local.owner == this->self) {
        if (bucket.handoverFrom.value == 0 && this->isOffDefault(flow, bucket))
            this->replicate(service, bucketIndex, record.key, StreamItemKind::Record);
    } else if (!authoritative && bucket.local.owner.value != 0) {
        // The view of the sender lacks the owner, as after a network partition. A known record is not forwarded again.
        this->streams[{ bucket.local.owner, true }].push(
            { record.key.value, bucketIndex, service, StreamItemKind::Record, false, {} });
    }
}

void FlowEngine::expireFlows(TimePoint now)
{
    const std::uint32_t nowUnits = this->tableTime(now);
    this->dueFlows.clear();
    this->table.takeDue(nowUnits, this->dueFlows);
    for (const FlowIndex index : this->dueFlows) {
        const Flow& flow = this->table[index];
        const ServiceState& state = this->services[flow.service];
        const BucketIndex bucketIndex = this->table.bucketOf(flow);
        const Bucket& bucket = state.buckets[bucketIndex.value];
        const bool isOwner = bucket.local.owner == this->self;
        const bool hasRecord = isOwner && this->isOffDefault(flow, bucket);
        // The owner replicates a record again once per idle timeout, so a copy survives if one of these is lost.
        const std::uint32_t limit = this->idleTimeoutOf(state) * (isOwner || flow.active ? 1U : 2U);
        if (nowUnits - flow.lastActive >= limit) {
            if (hasRecord)
                this->replicate(flow.service, bucketIndex, flow.key(), StreamItemKind::Ended);
            this->remove(index);
            ++this->counts.expired;
            this->tableFullReported = false;
            continue;
        }
        if (hasRecord)
            this->replicate(flow.service, bucketIndex, flow.key(), StreamItemKind::Record);
        this->table.schedule(index, flow.lastActive + limit);
    }
}

void FlowEngine::refreshUpstreams(TimePoint)
{
    const bool zoneInService = this->isInService(this->zone);
    std::vector<upstream::UpstreamInfo> known;
    for (ServiceState& state : this->services) {
        state.totalWeight = 0.0;
        state.candidateCount = 0;
    }
    for (SlotIndex i = 0; i < this->upstreams.size(); ++i) {
        UpstreamSlot& slot = this->upstreams[i];
        if (!slot.inUse || slot.unregistered)
            continue;
        const auto service = this->serviceIndex(slot.info.service);
        slot.service = service.value_or(0xFF);
        slot.sendable = zoneInService && service && acceptsPackets(slot.info)
            && this->upstreams.findByAddress(slot.info.address) == i;
        slot.acceptsNew = slot.sendable && acceptsNewFlows(slot.info);
        if (!slot.acceptsNew)
            continue;
        this->services[slot.service].totalWeight += slot.info.weight;
        ++this->services[slot.service].candidateCount;
        known.push_back(slot.info);
    }
    for (ServiceState& state : this->services)
        state.targetDefaults = defaultUpstreams(known, this->zone, state.config.id,
            static_cast<std::uint32_t>(state.buckets.size()), this->settings.defaultLoadBound);
}

} // namespace zinnia::flow
