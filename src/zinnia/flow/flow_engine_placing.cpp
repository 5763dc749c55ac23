#include "zinnia/flow/flow_engine.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace zinnia::flow {

std::uint32_t FlowEngine::tableTime(TimePoint now) const noexcept
{
    return static_cast<std::uint32_t>((now - this->started) / tableTimeUnit);
}

std::uint32_t FlowEngine::idleOf(const ServiceState& state) const noexcept
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(1, state.config.flowIdleTimeout / tableTimeUnit));
}

// Each owner of the zone gets an equal share of the connections; the remainder goes to the lowest ids.
bool FlowEngine::hasRoom(SlotIndex slot) const noexcept
{
    const UpstreamSlot& upstream = this->upstreams[slot];
    if (this->services[upstream.service].config.mode == config::ServiceMode::Request)
        return true;
    const std::uint32_t connections = upstream.info.connections;
    const std::uint32_t share
        = connections / this->zoneEntries + (this->zoneRank < connections % this->zoneEntries ? 1 : 0);
    return upstream.ports.inUse() < share;
}

bool FlowEngine::overFairShare(const ServiceState& state, SlotIndex slot) const noexcept
{
    const UpstreamSlot& upstream = this->upstreams[slot];
    const double fair = (state.flows + 1.0) * upstream.info.weight / state.weights;
    return upstream.flows + 1.0 > std::ceil(this->settings.skipBound * fair);
}

// A warming upstream gets at most its weighted share of the new flows of a second. Without this limit it
// would get all of them until it holds as many flows as the others.
bool FlowEngine::warmingLimitReached(const ServiceState& state, SlotIndex slot) const noexcept
{
    const UpstreamSlot& upstream = this->upstreams[slot];
    if (upstream.info.weight >= 1.0)
        return false;
    const double arrivals = std::max(state.fresh, state.freshBefore);
    const double limit = std::ceil(upstream.info.weight * arrivals / std::max(1U, state.candidates));
    return upstream.fresh >= std::max(1.0, limit);
}

SlotIndex FlowEngine::chooseUpstream(const Packet& packet, TimePoint now, RefusalReason& reason)
{
    const ServiceState& state = this->services[packet.service];
    const Bucket& bucket = state.buckets[packet.bucket.value];
    const SlotIndex preferred = this->upstreams.find(bucket.current);
    const bool mayBeOld = now < bucket.inheritedUntil;
    if (preferred != noSlot && this->upstreams[preferred].sendable
        && this->upstreams[preferred].service == packet.service) {
        const UpstreamSlot& slot = this->upstreams[preferred];
        if (mayBeOld)
            return preferred;
        if (slot.takesNew && this->hasRoom(preferred) && !this->warmingLimitReached(state, preferred)) {
            const auto stream = this->streams.find({ bucket.local.deputy, false });
            const bool busy = stream != this->streams.end() && stream->second.backlog() > this->settings.skipBacklog;
            if (busy || !this->overFairShare(state, preferred))
                return preferred;
        }
    }
    SlotIndex best = noSlot;
    double bestLoad = 0.0;
    for (SlotIndex i = 0; i < this->upstreams.size(); ++i) {
        const UpstreamSlot& slot = this->upstreams[i];
        if (!slot.inUse || !slot.takesNew || slot.service != packet.service)
            continue;
        if (!this->hasRoom(i)) {
            if (reason == RefusalReason::NoUpstream)
                reason = RefusalReason::UpstreamConnectionsFull;
            continue;
        }
        if (this->warmingLimitReached(state, i)) {
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

void FlowEngine::placeNew(const Packet& packet, TimePoint now, Actions& actions)
{
    ServiceState& state = this->services[packet.service];
    const Bucket& bucket = state.buckets[packet.bucket.value];
    if (this->table.full()) {
        if (!std::exchange(this->reportedFull, true))
            actions.emplace_back(ReportEvent { Event::FlowTableRefusing, {}, this->table.size() });
        this->refuse(packet, RefusalReason::FlowTableFull, actions);
        return;
    }
    RefusalReason reason = this->inService(this->zone) ? RefusalReason::NoUpstream : RefusalReason::ZoneWithdrawn;
    const SlotIndex slot = this->chooseUpstream(packet, now, reason);
    if (slot == noSlot) {
        this->refuse(packet, reason, actions);
        return;
    }
    const FlowIndex index = this->table.insert(packet.key, packet.service);
    Flow& flow = this->table[index];
    flow.last = this->tableTime(now);
    flow.start = static_cast<std::int32_t>(flow.last);
    this->setUpstream(index, slot);
    if (!this->makeLive(index)) {
        this->remove(index);
        this->refuse(packet, RefusalReason::UpstreamConnectionsFull, actions);
        return;
    }
    this->table.schedule(index, flow.last + this->idleOf(state));
    ++this->counts.created;
    ++state.fresh;
    ++this->upstreams[slot].fresh;
    if (this->offDefault(flow, bucket)) {
        ++this->counts.offDefault;
        this->replicate(packet.service, packet.bucket, packet.key, StreamItemKind::Record);
    }
    if (this->handing(bucket))
        this->streams[{ bucket.handTo, true }].push(
            { packet.key.value, packet.bucket, packet.service, StreamItemKind::Record, false, {} });
    this->transmit(packet, index, now, actions);
}

bool FlowEngine::makeLive(FlowIndex index)
{
    Flow& flow = this->table[index];
    ServiceState& state = this->services[flow.service];
    UpstreamSlot& slot = this->upstreams[flow.upstream];
    if (state.config.mode == config::ServiceMode::Datagram) {
        flow.port = slot.ports.allocate(index, slot.info.connections);
        if (flow.port == noPort)
            return false;
    }
    flow.live = true;
    ++slot.flows;
    ++state.flows;
    return true;
}

void FlowEngine::setUpstream(FlowIndex index, SlotIndex slot)
{
    this->table[index].upstream = slot;
    if (slot != noSlot)
        ++this->upstreams[slot].references;
}

void FlowEngine::unplace(FlowIndex index)
{
    Flow& flow = this->table[index];
    if (!flow.elsewhere()) {
        UpstreamSlot& slot = this->upstreams[flow.upstream];
        --slot.references;
        if (flow.live) {
            --slot.flows;
            --this->services[flow.service].flows;
            if (flow.port != noPort)
                slot.ports.release(flow.port);
        }
    }
    flow.upstream = noSlot;
    flow.port = noPort;
    flow.live = false;
}

void FlowEngine::remove(FlowIndex index)
{
    this->unplace(index);
    this->table.erase(index);
}

bool FlowEngine::offDefault(const Flow& flow, const Bucket& bucket) const noexcept
{
    if (flow.elsewhere())
        return true;
    const UpstreamId id = this->upstreams[flow.upstream].info.id;
    return id != bucket.current || (bucket.pending.value != 0 && id != bucket.pending);
}

FlowRecord FlowEngine::recordOf(const Flow& flow, TimePoint now) const
{
    const auto age = (std::int64_t { this->tableTime(now) } - flow.start) * tableTimeUnit.count();
    if (flow.elsewhere())
        return { flow.key(), UpstreamId {}, ZoneId { flow.port }, age };
    return { flow.key(), this->upstreams[flow.upstream].info.id, this->zone, age };
}

void FlowEngine::merge(const FlowRecord& record, std::uint8_t service, bool authoritative, TimePoint now)
{
    ServiceState& state = this->services[service];
    const BucketIndex bucketIndex = zinnia::bucketOf(record.key, static_cast<std::uint32_t>(state.buckets.size()));
    const Bucket& bucket = state.buckets[bucketIndex.value];
    const bool here = record.zone == this->zone;
    if (!this->inService(record.zone))
        return;
    const SlotIndex slot = here ? this->upstreams.findOrAdd(record.upstream, now) : noSlot;
    if (here && slot == noSlot)
        return;
    const auto nowUnits = this->tableTime(now);
    const auto start = static_cast<std::int32_t>(
        std::max<std::int64_t>(INT32_MIN, std::int64_t { nowUnits } - record.ageMs / tableTimeUnit.count()));
    FlowIndex index = this->table.find(record.key);
    if (index != noFlow) {
        Flow& flow = this->table[index];
        const bool same = flow.elsewhere() ? (!here && flow.port == record.zone.value) : flow.upstream == slot;
        if (same) {
            // The flow was in use at the sender, even if this entry has not seen its packets.
            flow.start = std::min(flow.start, start);
            flow.last = nowUnits;
            return;
        }
        const bool usable
            = flow.elsewhere() ? this->inService(ZoneId { flow.port }) : this->upstreams[flow.upstream].sendable;
        const bool mine = bucket.local.owner == this->self;
        if (!authoritative || mine) {
            if (here && !this->upstreams[slot].sendable && !this->upstreams[slot].unknown)
                return;
            if (usable && start >= flow.start && this->settings.policies.earlierStartWins)
                return;
            ++this->counts.merged;
        }
        this->unplace(index);
    } else {
        index = this->table.insert(record.key, service);
        if (index == noFlow)
            return;
        this->table.schedule(index, nowUnits + this->idleOf(state));
    }
    Flow& flow = this->table[index];
    this->setUpstream(index, slot);
    if (!here)
        flow.port = record.zone.value;
    flow.start = start;
    flow.last = nowUnits;
    if (bucket.local.owner == this->self) {
        if (bucket.waitFrom.value == 0 && this->offDefault(flow, bucket))
            this->replicate(service, bucketIndex, record.key, StreamItemKind::Record);
    } else if (!authoritative && bucket.local.owner.value != 0) {
        // The sender does not see the owner yet, as after a partition. A known record is not passed on again.
        this->streams[{ bucket.local.owner, true }].push(
            { record.key.value, bucketIndex, service, StreamItemKind::Record, false, {} });
    }
}

void FlowEngine::expire(TimePoint now)
{
    const std::uint32_t nowUnits = this->tableTime(now);
    this->due.clear();
    this->table.takeDue(nowUnits, this->due);
    for (const FlowIndex index : this->due) {
        const Flow& flow = this->table[index];
        const ServiceState& state = this->services[flow.service];
        const BucketIndex bucketIndex = this->table.bucketOf(flow);
        const Bucket& bucket = state.buckets[bucketIndex.value];
        const bool mine = bucket.local.owner == this->self;
        const bool recorded = mine && this->offDefault(flow, bucket);
        // The owner repeats a record once in the idle time, so a copy outlives one repetition.
        const std::uint32_t limit = this->idleOf(state) * (mine || flow.live ? 1U : 2U);
        if (nowUnits - flow.last >= limit) {
            if (recorded)
                this->replicate(flow.service, bucketIndex, flow.key(), StreamItemKind::Ended);
            this->remove(index);
            ++this->counts.expired;
            this->reportedFull = false;
            continue;
        }
        if (recorded)
            this->replicate(flow.service, bucketIndex, flow.key(), StreamItemKind::Record);
        this->table.schedule(index, flow.last + limit);
    }
}

void FlowEngine::refreshUpstreams(TimePoint)
{
    const bool open = this->inService(this->zone);
    std::vector<upstream::UpstreamInfo> known;
    for (ServiceState& state : this->services) {
        state.weights = 0.0;
        state.candidates = 0;
    }
    for (SlotIndex i = 0; i < this->upstreams.size(); ++i) {
        UpstreamSlot& slot = this->upstreams[i];
        if (!slot.inUse || slot.unknown)
            continue;
        const auto service = this->serviceIndex(slot.info.service);
        slot.service = service.value_or(0xFF);
        slot.sendable = open && service && takesPackets(slot.info) && this->upstreams.at(slot.info.address) == i;
        slot.takesNew = slot.sendable && takesNewFlows(slot.info);
        if (!slot.takesNew)
            continue;
        this->services[slot.service].weights += slot.info.weight;
        ++this->services[slot.service].candidates;
        known.push_back(slot.info);
    }
    for (ServiceState& state : this->services)
        state.targets = defaultUpstreams(known, this->zone, state.config.id,
            static_cast<std::uint32_t>(state.buckets.size()), this->settings.defaultBound);
}

} // namespace zinnia::flow
