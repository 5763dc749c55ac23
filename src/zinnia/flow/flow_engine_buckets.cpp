#include "zinnia/flow/flow_engine.hpp"

#include <algorithm>
#include <utility>

namespace zinnia::flow {

namespace {

    // Number of an item that is not in a stream yet; never acknowledged.
    constexpr std::uint64_t notPushed = ~std::uint64_t { 0 };

} // namespace

bool FlowEngine::isAlive(InstanceId id) const noexcept
{
    return id.value != 0 && findMember(this->view, id) != nullptr;
}

bool FlowEngine::isAliveSinceLastView(InstanceId id) const noexcept
{
    const membership::Member* before = findMember(this->previousView, id);
    const membership::Member* after = findMember(this->view, id);
    return after && (!before || before->epoch == after->epoch);
}

bool FlowEngine::isInService(ZoneId zone) const noexcept
{
    return std::any_of(this->configuration.zones.begin(), this->configuration.zones.end(),
        [&](const config::Zone& known) { return known.id == zone && known.state == config::ZoneState::InService; });
}

bool FlowEngine::replicates(const Bucket& bucket) const noexcept
{
    return this->settings.policies.offDefaultRecords && bucket.local.owner == this->self
        && bucket.local.deputy.value != 0;
}

void FlowEngine::awaitHandover(Bucket& bucket, InstanceId previous, TimePoint now)
{
    bucket.handoverFrom = previous;
    bucket.handoverDeadline = now + this->settings.handoverTimeout;
    this->nextHandoverRequestAt = now;
}

void FlowEngine::dropStaleStreams()
{
    std::erase_if(this->streams, [this](const auto& entry) { return !this->isAliveSinceLastView(entry.first.peer); });
}

void FlowEngine::updateAssignments(TimePoint now, Actions& actions)
{
    this->dropStaleStreams();
    this->zoneEntryCount = 0;
    this->zoneRank = 0;
    for (const membership::Member& member : this->view.members) {
        if (member.zone != this->zone || !isEligible(member))
            continue;
        ++this->zoneEntryCount;
        this->zoneRank += member.id < this->self ? 1 : 0;
    }
    this->zoneEntryCount = std::max(1U, this->zoneEntryCount);
    for (std::size_t i = 0; i < this->services.size(); ++i) {
        ServiceState& state = this->services[i];
        const auto service = static_cast<std::uint8_t>(i);
        std::map<StreamKey, std::vector<BucketIndex>>
            released; // by receiver; `handover` is true if it is in another zone
        for (std::size_t b = 0; b < state.buckets.size(); ++b) {
            const BucketIndex index { static_cast<std::uint16_t>(b) };
            Bucket& bucket = state.buckets[b];
            const Bucket old = bucket;
            bucket.zone = bucketZoneOf(this->configuration, this->view, state.config.id, index);
            bucket.local = bucketAssignmentOf(this->view, this->zone, state.config.id, index);
            bucket.globalOwner = bucket.zone == this->zone ? bucket.local.owner
                : bucket.zone == noZone                    ? InstanceId {}
                                        : bucketAssignmentOf(this->view, bucket.zone, state.config.id, index).owner;
            const bool wasOwner = old.local.owner == this->self;
            const bool isOwner = bucket.local.owner == this->self;
            if (isOwner && !wasOwner)
                this->acquireBucket(state, service, index, old, now);
            else if (isOwner) {
                if (bucket.handoverFrom.value != 0 && !this->isAliveSinceLastView(bucket.handoverFrom))
                    this->recoverFromDeputy(state, service, index, now);
                else if (bucket.local.deputy != old.local.deputy || !this->isAliveSinceLastView(bucket.local.deputy))
                    this->startReplication(state, service, index);
                if (this->settings.policies.handover && bucket.zone == this->zone && old.zone != this->zone
                    && this->isInService(old.zone)) {
                    const InstanceId previous = bucketAssignmentOf(this->view, old.zone, state.config.id, index).owner;
                    if (previous.value != 0)
                        this->awaitHandover(bucket, previous, now);
                }
            } else if (wasOwner) {
                bucket.lastKnownDefault = bucket.currentDefault;
                bucket.pendingDefault = {};
                if (bucket.local.owner.value != 0)
                    released[{ bucket.local.owner, false }].push_back(index);
            }
            if (old.globalOwner == this->self && bucket.zone != this->zone && bucket.globalOwner.value != 0
                && this->isInService(this->zone))
                released[{ bucket.globalOwner, true }].push_back(index);
            if (bucket.handoverTo.value != 0
                && (!this->isAliveSinceLastView(bucket.handoverTo) || !this->handoverInProgress(bucket))) {
                const bool interrupted = !this->isAliveSinceLastView(bucket.handoverTo);
                bucket.handoverTo = {};
                if (interrupted && !wasOwner && !isOwner && bucket.local.owner.value != 0)
                    released[{ bucket.local.owner, false }].push_back(index);
            }
            if (old.local.deputy != this->self || old.local.owner != bucket.local.owner)
                bucket.replicatedBy = {};
            if (isOwner || bucket.local.deputy == this->self)
                bucket.dropCopiesAt.reset();
            else if (old.local.owner == this->self || old.local.deputy == this->self)
                bucket.dropCopiesAt = now + this->settings.copyRetention;
        }
        for (const auto& [key, buckets] : released)
            this->handOver(service, buckets, key.peer, key.handover, now);
        for (Bucket& bucket : state.buckets) {
            if (bucket.local.owner != this->self && bucket.globalOwner != this->self)
                bucket.handoverFrom = {};
        }
    }
    this->pushDefaults();
    if (this->takenOverBuckets != 0)
        actions.emplace_back(ReportEvent { Event::BucketsTakenOver, {}, std::exchange(this->takenOverBuckets, 0) });
    this->advanceAllBuckets(now, actions);
    this->requestBuckets(now, actions);
    this->flush(now, actions);
}

void FlowEngine::acquireBucket(
    ServiceState& state, std::uint8_t service, BucketIndex index, const Bucket& old, TimePoint now)
{
    Bucket& bucket = state.buckets[index.value];
    const InstanceId previous = old.local.owner;
    bucket.currentDefault = {};
    bucket.pendingDefault = {};
    bucket.inheritedUntil = {};
    const bool handover = this->settings.policies.handover;
    if (previous.value != 0 && handover && this->isAliveSinceLastView(previous)) {
        this->awaitHandover(bucket, previous, now);
        return;
    }
    if (previous.value == 0 && handover && bucket.zone == this->zone && old.zone != this->zone
        && this->isInService(old.zone)) {
        // This is the first entry of a zone back in service, so the bucket comes from another zone.
        const InstanceId remote = bucketAssignmentOf(this->view, old.zone, state.config.id, index).owner;
        if (remote.value != 0) {
            this->awaitHandover(bucket, remote, now);
            return;
        }
    }
    if (previous.value != 0 && old.replicatedBy != previous)
        this->recoverFromDeputy(state, service, index, now);
    else
        this->takeOver(state, service, index, previous.value != 0, now);
}

// The previous owner is dead and this entry does not have its records. The current deputy was also the deputy of the
// previous owner, unless it is new too; in that case it answers without records.
void FlowEngine::recoverFromDeputy(ServiceState& state, std::uint8_t service, BucketIndex index, TimePoint now)
{
    Bucket& bucket = state.buckets[index.value];
    if (!this->settings.policies.handover || !this->isAlive(bucket.local.deputy)) {
        this->takeOver(state, service, index, true, now);
        return;
    }
    ++this->takenOverBuckets;
    bucket.pendingDefault = {};
    // Used for flows that the deputy has no record of either, until it reports the default of the previous owner.
    if (bucket.currentDefault.value == 0)
        bucket.currentDefault
            = bucket.lastKnownDefault.value != 0 ? bucket.lastKnownDefault : state.targetDefaults[index.value];
    if (this->settings.policies.inheritedDefault) {
        bucket.inheritedUntil = now + state.config.flowIdleTimeout;
        bucket.inheritedFrom = {};
    }
    this->awaitHandover(bucket, bucket.local.deputy, now);
}

// With `hasUnrecordedFlows`, a packet without a record may belong to a flow on the default of the previous owner.
void FlowEngine::takeOver(
    ServiceState& state, std::uint8_t service, BucketIndex index, bool hasUnrecordedFlows, TimePoint now)
{
    Bucket& bucket = state.buckets[index.value];
    bucket.handoverFrom = {};
    bucket.pendingDefault = {};
    if (bucket.currentDefault.value == 0)
        bucket.currentDefault
            = bucket.lastKnownDefault.value != 0 ? bucket.lastKnownDefault : state.targetDefaults[index.value];
    if (hasUnrecordedFlows) {
        ++this->takenOverBuckets;
        if (this->settings.policies.inheritedDefault)
            bucket.inheritedUntil = now + state.config.flowIdleTimeout;
    }
    this->startReplication(state, service, index);
}

void FlowEngine::startReplication(ServiceState& state, std::uint8_t service, BucketIndex index)
{
    Bucket& bucket = state.buckets[index.value];
    bucket.pendingDefault = {};
    if (!this->replicates(bucket) || bucket.handoverFrom.value != 0)
        return;
    for (FlowIndex flow = this->table.firstOf(service, index); flow != noFlow; flow = this->table[flow].bucketNext) {
        if (this->isOffDefault(this->table[flow], bucket))
            this->replicate(service, index, this->table[flow].key(), StreamItemKind::Record);
    }
    if (bucket.currentDefault.value != 0)
        this->deferDefault(service, index, bucket.currentDefault);
}

void FlowEngine::replicate(std::uint8_t service, BucketIndex index, FlowKey key, StreamItemKind kind)
{
    const Bucket& bucket = this->services[service].buckets[index.value];
    if (this->replicates(bucket))
        this->streams[{ bucket.local.deputy, false }].push({ key.value, index, service, kind, false, {} });
}

void FlowEngine::deferDefault(std::uint8_t service, BucketIndex index, UpstreamId upstream)
{
    this->deferredDefaults.push_back({ upstream.value, index, service, StreamItemKind::Default, false, {} });
}

void FlowEngine::pushDefaults()
{
    for (const StreamItem& item : this->deferredDefaults) {
        Bucket& bucket = this->services[item.service].buckets[item.bucket.value];
        if (!this->replicates(bucket))
            continue;
        const std::uint64_t number = this->streams[{ bucket.local.deputy, false }].push(item);
        if (bucket.pendingDefault.value == item.value)
            bucket.pendingItem = number;
    }
    this->deferredDefaults.clear();
}

void FlowEngine::advanceAllBuckets(TimePoint now, Actions& actions)
{
    for (std::size_t i = 0; i < this->services.size(); ++i) {
        for (std::size_t b = 0; b < this->services[i].buckets.size(); ++b)
            this->advanceBucket(this->services[i], static_cast<std::uint8_t>(i),
                BucketIndex { static_cast<std::uint16_t>(b) }, now, actions);
    }
    this->pushDefaults();
    if (this->timedOutHandovers != 0)
        actions.emplace_back(ReportEvent { Event::HandoverTimedOut, {}, std::exchange(this->timedOutHandovers, 0) });
    if (this->unacknowledgedDefaultChanges != 0)
        actions.emplace_back(ReportEvent {
            Event::DefaultChangedUnacknowledged, {}, std::exchange(this->unacknowledgedDefaultChanges, 0) });
}

void FlowEngine::advanceBucket(ServiceState& state, std::uint8_t service, BucketIndex index, TimePoint now, Actions&)
{
    Bucket& bucket = state.buckets[index.value];
    if (bucket.handoverFrom.value != 0 && now >= bucket.handoverDeadline) {
        ++this->timedOutHandovers;
        this->takeOver(state, service, index, true, now);
    }
    if (bucket.dropCopiesAt && now >= *bucket.dropCopiesAt && !this->handoverInProgress(bucket)) {
        bucket.dropCopiesAt.reset();
        this->dropCopies(service, index);
    }
    if (bucket.local.owner != this->self || bucket.handoverFrom.value != 0)
        return;
    const UpstreamId target = state.targetDefaults[index.value];
    const SlotIndex slot = this->upstreams.find(bucket.currentDefault);
    const bool usable = slot != noSlot && (this->upstreams[slot].sendable || this->upstreams[slot].unregistered);
    if (!usable) {
        // No flow is left on a lost default, so no records have to be replicated first.
        bucket.pendingDefault = {};
        bucket.inheritedUntil = {};
        if (bucket.currentDefault == target)
            return;
        bucket.currentDefault = target;
        this->deferDefault(service, index, target);
        return;
    }
    if (target.value == 0 || now < bucket.inheritedUntil)
        return;
    if (target == bucket.currentDefault) {
        if (bucket.pendingDefault.value != 0)
            this->deferDefault(service, index, target);
        bucket.pendingDefault = {};
        return;
    }
    if (bucket.pendingDefault != target) {
        bucket.pendingDefault = target;
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
    if (!acknowledged && now - bucket.pendingSince < this->settings.deputyAckTimeout)
        return;
    this->unacknowledgedDefaultChanges += acknowledged ? 0 : 1;
    bucket.currentDefault = target;
    bucket.pendingDefault = {};
}

void FlowEngine::dropCopies(std::uint8_t service, BucketIndex index)
{
    this->services[service].buckets[index.value].lastKnownDefault = {};
    for (FlowIndex flow = this->table.firstOf(service, index); flow != noFlow;) {
        const FlowIndex next = this->table[flow].bucketNext;
        if (!this->table[flow].active)
            this->remove(flow);
        flow = next;
    }
}

void FlowEngine::dropFlowsOfZone(ZoneId zone, Actions& actions)
{
    std::uint64_t givenUp = 0;
    for (std::size_t i = 0; i < this->services.size(); ++i) {
        for (std::size_t b = 0; b < this->services[i].buckets.size(); ++b) {
            const auto service = static_cast<std::uint8_t>(i);
            for (FlowIndex flow = this->table.firstOf(service, BucketIndex { static_cast<std::uint16_t>(b) });
                 flow != noFlow;) {
                const Flow& current = this->table[flow];
                const FlowIndex next = current.bucketNext;
                const ZoneId flowZone = current.isInOtherZone() ? ZoneId { current.port } : this->zone;
                if (flowZone == zone) {
                    // Only the entry that serves the flow counts it; other entries just remove their record.
                    givenUp += current.active ? 1 : 0;
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
