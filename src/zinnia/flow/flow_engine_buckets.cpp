#include "zinnia/flow/flow_engine.hpp"

#include <algorithm>
#include <utility>

namespace zinnia::flow {

namespace {

    // An item that is not in a stream yet; no acknowledgement reaches it.
    constexpr std::uint64_t notPushed = ~std::uint64_t { 0 };

} // namespace

bool FlowEngine::alive(InstanceId id) const noexcept { return id.value != 0 && findMember(this->view, id) != nullptr; }

bool FlowEngine::survived(InstanceId id) const noexcept
{
    const membership::Member* before = findMember(this->previousView, id);
    const membership::Member* after = findMember(this->view, id);
    return after && (!before || before->epoch == after->epoch);
}

bool FlowEngine::inService(ZoneId zone) const noexcept
{
    return std::any_of(this->configuration.zones.begin(), this->configuration.zones.end(),
        [&](const config::Zone& known) { return known.id == zone && known.state == config::ZoneState::InService; });
}

bool FlowEngine::replicates(const Bucket& bucket) const noexcept
{
    return this->settings.policies.offDefaultRecords && bucket.local.owner == this->self
        && bucket.local.deputy.value != 0;
}

void FlowEngine::waitFor(Bucket& bucket, InstanceId previous, TimePoint now)
{
    bucket.waitFrom = previous;
    bucket.waitDeadline = now + this->settings.handoverTimeout;
    this->nextRequest = now;
}

void FlowEngine::forgetStreams()
{
    std::erase_if(this->streams, [this](const auto& entry) { return !this->survived(entry.first.peer); });
}

void FlowEngine::replan(TimePoint now, Actions& actions)
{
    this->forgetStreams();
    this->zoneEntries = 0;
    this->zoneRank = 0;
    for (const membership::Member& member : this->view.members) {
        if (member.zone != this->zone || !isCandidate(member))
            continue;
        ++this->zoneEntries;
        this->zoneRank += member.id < this->self ? 1 : 0;
    }
    this->zoneEntries = std::max(1U, this->zoneEntries);
    for (std::size_t i = 0; i < this->services.size(); ++i) {
        ServiceState& state = this->services[i];
        const auto service = static_cast<std::uint8_t>(i);
        std::map<StreamKey, std::vector<BucketIndex>> lost; // receiver, and whether it is in another zone
        for (std::size_t b = 0; b < state.buckets.size(); ++b) {
            const BucketIndex index { static_cast<std::uint16_t>(b) };
            Bucket& bucket = state.buckets[b];
            const Bucket old = bucket;
            bucket.zone = zoneOf(this->configuration, this->view, state.config.id, index);
            bucket.local = holdersOf(this->view, this->zone, state.config.id, index);
            bucket.globalOwner = bucket.zone == this->zone ? bucket.local.owner
                : bucket.zone == noZone                    ? InstanceId {}
                                        : holdersOf(this->view, bucket.zone, state.config.id, index).owner;
            const bool was = old.local.owner == this->self;
            const bool is = bucket.local.owner == this->self;
            if (is && !was)
                this->gain(state, service, index, old, now);
            else if (is) {
                if (bucket.waitFrom.value != 0 && !this->survived(bucket.waitFrom))
                    this->recover(state, service, index, now);
                else if (bucket.local.deputy != old.local.deputy || !this->survived(bucket.local.deputy))
                    this->startReplication(state, service, index);
                if (this->settings.policies.handover && bucket.zone == this->zone && old.zone != this->zone
                    && this->inService(old.zone)) {
                    const InstanceId previous = holdersOf(this->view, old.zone, state.config.id, index).owner;
                    if (previous.value != 0)
                        this->waitFor(bucket, previous, now);
                }
            } else if (was) {
                bucket.told = bucket.current;
                bucket.pending = {};
                if (bucket.local.owner.value != 0)
                    lost[{ bucket.local.owner, false }].push_back(index);
            }
            if (old.globalOwner == this->self && bucket.zone != this->zone && bucket.globalOwner.value != 0
                && this->inService(this->zone))
                lost[{ bucket.globalOwner, true }].push_back(index);
            if (bucket.handTo.value != 0 && (!this->survived(bucket.handTo) || !this->handing(bucket))) {
                const bool interrupted = !this->survived(bucket.handTo);
                bucket.handTo = {};
                if (interrupted && !was && !is && bucket.local.owner.value != 0)
                    lost[{ bucket.local.owner, false }].push_back(index);
            }
            if (old.local.deputy != this->self || old.local.owner != bucket.local.owner)
                bucket.toldBy = {};
            if (is || bucket.local.deputy == this->self)
                bucket.dropCopiesAt.reset();
            else if (old.local.owner == this->self || old.local.deputy == this->self)
                bucket.dropCopiesAt = now + this->settings.keepCopies;
        }
        for (const auto& [key, buckets] : lost)
            this->handOver(service, buckets, key.peer, key.handover, now);
        for (Bucket& bucket : state.buckets) {
            if (bucket.local.owner != this->self && bucket.globalOwner != this->self)
                bucket.waitFrom = {};
        }
    }
    this->pushDefaults();
    if (this->takenOver != 0)
        actions.emplace_back(ReportEvent { Event::BucketsTakenOver, {}, std::exchange(this->takenOver, 0) });
    this->advanceAll(now, actions);
    this->requestBuckets(now, actions);
    this->flush(now, actions);
}

void FlowEngine::gain(ServiceState& state, std::uint8_t service, BucketIndex index, const Bucket& old, TimePoint now)
{
    Bucket& bucket = state.buckets[index.value];
    const InstanceId previous = old.local.owner;
    bucket.current = {};
    bucket.pending = {};
    bucket.inheritedUntil = {};
    const bool handover = this->settings.policies.handover;
    if (previous.value != 0 && handover && this->survived(previous)) {
        this->waitFor(bucket, previous, now);
        return;
    }
    if (previous.value == 0 && handover && bucket.zone == this->zone && old.zone != this->zone
        && this->inService(old.zone)) {
        // The first entry of a zone that takes part again: the bucket comes from another zone.
        const InstanceId remote = holdersOf(this->view, old.zone, state.config.id, index).owner;
        if (remote.value != 0) {
            this->waitFor(bucket, remote, now);
            return;
        }
    }
    if (previous.value != 0 && old.toldBy != previous)
        this->recover(state, service, index, now);
    else
        this->takeOver(state, service, index, previous.value != 0, now);
}

// The previous owner is dead and this entry does not have its records. The entry that is now second in order was its
// deputy, unless that entry is new too; in that case it answers that it knows nothing.
void FlowEngine::recover(ServiceState& state, std::uint8_t service, BucketIndex index, TimePoint now)
{
    Bucket& bucket = state.buckets[index.value];
    if (!this->settings.policies.handover || !this->alive(bucket.local.deputy)) {
        this->takeOver(state, service, index, true, now);
        return;
    }
    ++this->takenOver;
    bucket.pending = {};
    // Used for flows that the deputy does not know either, until it says what the owner's default was.
    if (bucket.current.value == 0)
        bucket.current = bucket.told.value != 0 ? bucket.told : state.targets[index.value];
    if (this->settings.policies.inheritedDefault) {
        bucket.inheritedUntil = now + state.config.flowIdleTimeout;
        bucket.inheritedFrom = {};
    }
    this->waitFor(bucket, bucket.local.deputy, now);
}

// With unknown flows, a packet without a record may belong to a flow on the default that the previous owner used.
void FlowEngine::takeOver(
    ServiceState& state, std::uint8_t service, BucketIndex index, bool unknownFlows, TimePoint now)
{
    Bucket& bucket = state.buckets[index.value];
    bucket.waitFrom = {};
    bucket.pending = {};
    if (bucket.current.value == 0)
        bucket.current = bucket.told.value != 0 ? bucket.told : state.targets[index.value];
    if (unknownFlows) {
        ++this->takenOver;
        if (this->settings.policies.inheritedDefault)
            bucket.inheritedUntil = now + state.config.flowIdleTimeout;
    }
    this->startReplication(state, service, index);
}

void FlowEngine::startReplication(ServiceState& state, std::uint8_t service, BucketIndex index)
{
    Bucket& bucket = state.buckets[index.value];
    bucket.pending = {};
    if (!this->replicates(bucket) || bucket.waitFrom.value != 0)
        return;
    for (FlowIndex flow = this->table.firstOf(service, index); flow != noFlow; flow = this->table[flow].bucketNext) {
        if (this->offDefault(this->table[flow], bucket))
            this->replicate(service, index, this->table[flow].key(), StreamItemKind::Record);
    }
    if (bucket.current.value != 0)
        this->deferDefault(service, index, bucket.current);
}

void FlowEngine::replicate(std::uint8_t service, BucketIndex index, FlowKey key, StreamItemKind kind)
{
    const Bucket& bucket = this->services[service].buckets[index.value];
    if (this->replicates(bucket))
        this->streams[{ bucket.local.deputy, false }].push({ key.value, index, service, kind, false, {} });
}

void FlowEngine::deferDefault(std::uint8_t service, BucketIndex index, UpstreamId upstream)
{
    this->deferred.push_back({ upstream.value, index, service, StreamItemKind::Default, false, {} });
}

void FlowEngine::pushDefaults()
{
    for (const StreamItem& item : this->deferred) {
        Bucket& bucket = this->services[item.service].buckets[item.bucket.value];
        if (!this->replicates(bucket))
            continue;
        const std::uint64_t number = this->streams[{ bucket.local.deputy, false }].push(item);
        if (bucket.pending.value == item.value)
            bucket.pendingItem = number;
    }
    this->deferred.clear();
}

void FlowEngine::advanceAll(TimePoint now, Actions& actions)
{
    for (std::size_t i = 0; i < this->services.size(); ++i) {
        for (std::size_t b = 0; b < this->services[i].buckets.size(); ++b)
            this->advance(this->services[i], static_cast<std::uint8_t>(i),
                BucketIndex { static_cast<std::uint16_t>(b) }, now, actions);
    }
    this->pushDefaults();
    if (this->timedOut != 0)
        actions.emplace_back(ReportEvent { Event::HandoverTimedOut, {}, std::exchange(this->timedOut, 0) });
    if (this->unacknowledgedChanges != 0)
        actions.emplace_back(
            ReportEvent { Event::DefaultChangedUnacknowledged, {}, std::exchange(this->unacknowledgedChanges, 0) });
}

void FlowEngine::advance(ServiceState& state, std::uint8_t service, BucketIndex index, TimePoint now, Actions&)
{
    Bucket& bucket = state.buckets[index.value];
    if (bucket.waitFrom.value != 0 && now >= bucket.waitDeadline) {
        ++this->timedOut;
        this->takeOver(state, service, index, true, now);
    }
    if (bucket.dropCopiesAt && now >= *bucket.dropCopiesAt && !this->handing(bucket)) {
        bucket.dropCopiesAt.reset();
        this->dropCopies(service, index);
    }
    if (bucket.local.owner != this->self || bucket.waitFrom.value != 0)
        return;
    const UpstreamId target = state.targets[index.value];
    const SlotIndex slot = this->upstreams.find(bucket.current);
    const bool usable = slot != noSlot && (this->upstreams[slot].sendable || this->upstreams[slot].unknown);
    if (!usable) {
        // No flow is left on a lost default, so nothing has to be recorded first.
        bucket.pending = {};
        bucket.inheritedUntil = {};
        if (bucket.current == target)
            return;
        bucket.current = target;
        this->deferDefault(service, index, target);
        return;
    }
    if (target.value == 0 || now < bucket.inheritedUntil)
        return;
    if (target == bucket.current) {
        if (bucket.pending.value != 0)
            this->deferDefault(service, index, target);
        bucket.pending = {};
        return;
    }
    if (bucket.pending != target) {
        bucket.pending = target;
        bucket.pendingSince = now;
        bucket.pendingItem = this->replicates(bucket) ? notPushed : 0;
        for (FlowIndex flow = this->table.firstOf(service, index); flow != noFlow;
             flow = this->table[flow].bucketNext) {
            if (this->table[flow].upstream == slot)
                this->replicate(service, index, this->table[flow].key(), StreamItemKind::Record);
        }
        this->deferDefault(service, index, target);
        return;
    }
    const auto stream = this->streams.find({ bucket.local.deputy, false });
    const bool acknowledged = bucket.pendingItem == 0
        || (stream != this->streams.end() && stream->second.acknowledgedThrough() >= bucket.pendingItem);
    if (!acknowledged && now - bucket.pendingSince < this->settings.deputyWait)
        return;
    this->unacknowledgedChanges += acknowledged ? 0 : 1;
    bucket.current = target;
    bucket.pending = {};
}

void FlowEngine::dropCopies(std::uint8_t service, BucketIndex index)
{
    this->services[service].buckets[index.value].told = {};
    for (FlowIndex flow = this->table.firstOf(service, index); flow != noFlow;) {
        const FlowIndex next = this->table[flow].bucketNext;
        if (!this->table[flow].live)
            this->remove(flow);
        flow = next;
    }
}

void FlowEngine::giveUp(ZoneId zone, Actions& actions)
{
    std::uint64_t givenUp = 0;
    for (std::size_t i = 0; i < this->services.size(); ++i) {
        for (std::size_t b = 0; b < this->services[i].buckets.size(); ++b) {
            const auto service = static_cast<std::uint8_t>(i);
            for (FlowIndex flow = this->table.firstOf(service, BucketIndex { static_cast<std::uint16_t>(b) });
                 flow != noFlow;) {
                const Flow& current = this->table[flow];
                const FlowIndex next = current.bucketNext;
                const ZoneId lives = current.elsewhere() ? ZoneId { current.port } : this->zone;
                if (lives == zone) {
                    // The owner in the flow's zone counts it; other entries only forget where it was.
                    givenUp += current.live ? 1 : 0;
                    this->remove(flow);
                }
                flow = next;
            }
        }
    }
    if (givenUp == 0)
        return;
    this->counts.givenUp += givenUp;
    actions.emplace_back(ReportEvent { Event::FlowsGivenUp, {}, givenUp });
}

} // namespace zinnia::flow
