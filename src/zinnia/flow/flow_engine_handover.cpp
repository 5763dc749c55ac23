#include "zinnia/flow/flow_engine.hpp"

#include <algorithm>

namespace zinnia::flow {

namespace {

    // Encoded sizes of the fixed part of a control message, envelope included, and of each flow record, flow key, group
    // and bucket index in it. They limit the rate of control messages and estimate the memory of unacknowledged ones.
    // Unit: bytes.
    constexpr std::size_t messageBytes = 60;
    constexpr std::size_t recordBytes = 25;
    constexpr std::size_t keyBytes = 9;
    constexpr std::size_t groupBytes = 14;
    constexpr std::size_t bucketBytes = 3;

    // Maximum number of buckets in one `HandoverRequest`.
    constexpr std::size_t bucketsPerRequest = 256;

} // namespace

bool FlowEngine::isHandoverUnacknowledged(const Bucket& bucket) const
{
    const auto stream = this->streams.find({ bucket.handoverTo, true });
    return stream != this->streams.end() && stream->second.acknowledgedThrough() < bucket.handoverItem;
}

void FlowEngine::handOver(
    std::uint8_t service, const std::vector<BucketIndex>& buckets, InstanceId to, bool acrossZones, TimePoint now)
{
    // A few buckets at a time, so that the handover of the first ones completes while later ones are still being sent.
    constexpr std::size_t bucketsPerChunk = 64;
    if (!this->settings.policies.handover)
        return;
    ServiceState& state = this->services[service];
    RecordStream& stream = this->streams[{ to, true }];
    // Pushes the records of the flows that are on the default, or of the others. Returns whether any flow is on it.
    const auto pushRecords = [&](BucketIndex index, bool onDefault) {
        bool anyOnDefault = false;
        const Bucket& bucket = state.buckets[index.value];
        for (FlowIndex i = this->table.firstOf(service, index); i != noFlow; i = this->table[i].bucketNext) {
            const Flow& flow = this->table[i];
            const bool isOnDefault = !acrossZones && !flow.isInOtherZone()
                && this->upstreams[flow.upstream].info.id == bucket.lastKnownDefault;
            anyOnDefault = anyOnDefault || isOnDefault;
            if (isOnDefault == onDefault)
                stream.push({ flow.key().value, index, service, StreamItemKind::Record, false, {} });
        }
        return anyOnDefault;
    };
    std::vector<BucketIndex> bucketsWithDefaultFlows;
    for (std::size_t first = 0; first < buckets.size(); first += bucketsPerChunk) {
        const std::size_t last = std::min(buckets.size(), first + bucketsPerChunk);
        std::vector<bool> hasDefaultFlows(buckets.size(), false);
        for (std::size_t i = first; i < last; ++i)
            hasDefaultFlows[i] = pushRecords(buckets[i], false);
        for (std::size_t i = first; i < last; ++i) {
            Bucket& bucket = state.buckets[buckets[i].value];
            const bool isComplete = acrossZones || (!hasDefaultFlows[i] && now >= bucket.inheritedUntil);
            if (hasDefaultFlows[i])
                bucketsWithDefaultFlows.push_back(buckets[i]);
            bucket.handoverTo = to;
            bucket.handoverNextSource = acrossZones ? InstanceId {} : bucket.handoverFrom;
            bucket.handoverItem = stream.push({ acrossZones ? 0 : bucket.lastKnownDefault.value, buckets[i], service,
                StreamItemKind::Done, isComplete, bucket.handoverNextSource });
        }
    }
    // The remaining records are those of flows on the default upstream. The new owner needs them to change the default.
    for (const BucketIndex index : bucketsWithDefaultFlows)
        pushRecords(index, true);
    for (const BucketIndex index : bucketsWithDefaultFlows) {
        const Bucket& bucket = state.buckets[index.value];
        if (now >= bucket.inheritedUntil)
            stream.push({ bucket.lastKnownDefault.value, index, service, StreamItemKind::Done, true, {} });
    }
}

void FlowEngine::requestBuckets(TimePoint now, Actions& actions)
{
    if (now < this->nextHandoverRequestAt)
        return;
    this->nextHandoverRequestAt = now + this->settings.handoverRequestInterval;
    for (const ServiceState& state : this->services) {
        std::map<InstanceId, std::vector<BucketIndex>> awaitedBuckets;
        for (std::size_t b = 0; b < state.buckets.size(); ++b) {
            if (state.buckets[b].handoverFrom.value != 0)
                awaitedBuckets[state.buckets[b].handoverFrom].push_back(BucketIndex { static_cast<std::uint16_t>(b) });
        }
        for (const auto& [from, buckets] : awaitedBuckets) {
            for (std::size_t first = 0; first < buckets.size(); first += bucketsPerRequest) {
                const auto begin = buckets.begin() + static_cast<std::ptrdiff_t>(first);
                const auto count = std::min(buckets.size() - first, bucketsPerRequest);
                this->send(from,
                    HandoverRequest { state.config.id, { begin, begin + static_cast<std::ptrdiff_t>(count) } },
                    messageBytes + count * bucketBytes, actions);
            }
        }
    }
}

void FlowEngine::send(InstanceId to, PeerMessage message, std::size_t bytes, Actions& actions)
{
    this->controlLimiter.spend(bytes);
    ++this->counts.controlMessages;
    actions.emplace_back(SendToPeer { to, std::move(message) });
}

void FlowEngine::flush(TimePoint now, Actions& actions)
{
    this->controlLimiter.refill(now);
    for (auto& [key, stream] : this->streams) {
        RecordStream::Unacknowledged* overdueMessage = nullptr;
        while (this->controlLimiter.hasTokens()
            && (overdueMessage = stream.overdue(now - this->settings.retransmitInterval)) != nullptr) {
            overdueMessage->sentAt = now;
            this->send(key.peer, overdueMessage->message, overdueMessage->bytes, actions);
        }
        while (this->controlLimiter.hasTokens() && this->flushStream(key, stream, now, actions)) { }
    }
}

bool FlowEngine::flushStream(const StreamKey& key, RecordStream& stream, TimePoint now, Actions& actions)
{
    if (!stream.take(this->messageItems))
        return false;
    // `take` returns items of one service only.
    const std::uint8_t service = this->messageItems.front().service;
    const ServiceId serviceId = this->services[service].config.id;
    ReplicateFlows replicate { this->nextSequence, serviceId, {}, {}, {} };
    HandoverDone done { this->nextSequence, serviceId, {} };
    std::size_t bytes = messageBytes;
    for (const StreamItem& item : this->messageItems) {
        const FlowKey flowKey { item.value };
        const FlowIndex index = item.kind == StreamItemKind::Record || item.kind == StreamItemKind::Ended
            ? this->table.find(flowKey)
            : noFlow;
        if (item.kind == StreamItemKind::Record && index != noFlow) {
            replicate.records.push_back(this->recordOf(this->table[index], now));
            bytes += recordBytes;
        } else if (item.kind == StreamItemKind::Ended && index == noFlow) {
            replicate.ended.push_back(flowKey);
            bytes += keyBytes;
        } else if (item.kind == StreamItemKind::Default) {
            const UpstreamId upstream { item.value };
            auto group = std::find_if(replicate.defaults.begin(), replicate.defaults.end(),
                [&](const DefaultGroup& other) { return other.upstream == upstream; });
            if (group == replicate.defaults.end()) {
                group = replicate.defaults.insert(group, DefaultGroup { upstream, {} });
                bytes += groupBytes;
            }
            group->buckets.push_back(item.bucket);
            bytes += bucketBytes;
        } else if (item.kind == StreamItemKind::Done) {
            const DoneGroup newGroup { UpstreamId { item.value }, item.complete, item.nextSource, {} };
            auto group = std::find_if(done.groups.begin(), done.groups.end(), [&](const DoneGroup& other) {
                return other.upstream == newGroup.upstream && other.complete == newGroup.complete
                    && other.nextSource == newGroup.nextSource;
            });
            if (group == done.groups.end()) {
                group = done.groups.insert(group, newGroup);
                bytes += groupBytes;
            }
            group->buckets.push_back(item.bucket);
            bytes += bucketBytes;
        }
    }
    PeerMessage message;
    if (!done.groups.empty())
        message = std::move(done);
    else if (replicate.records.empty() && replicate.ended.empty() && replicate.defaults.empty())
        return true; // the flows have ended in the meantime
    else if (key.handover)
        message = HandoverRecords { this->nextSequence, serviceId, std::move(replicate.records) };
    else
        message = std::move(replicate);
    stream.trackSent(this->nextSequence++, message, bytes, now);
    this->send(key.peer, std::move(message), bytes, actions);
    return true;
}

void FlowEngine::onMessage(InstanceId from, const ReplicateFlows& message, TimePoint now, Actions& actions)
{
    const auto service = this->serviceIndex(message.service);
    if (!service)
        return; // the sender retransmits until this entry has adopted the configuration
    std::vector<Bucket>& buckets = this->services[*service].buckets;
    for (const FlowRecord& record : message.records)
        this->mergeRecord(record, *service, true, now);
    for (const FlowKey key : message.ended) {
        const FlowIndex index = this->table.find(key);
        if (index != noFlow && !this->table[index].active)
            this->remove(index);
    }
    for (const DefaultGroup& group : message.defaults) {
        for (const BucketIndex index : group.buckets) {
            if (index.value >= buckets.size() || buckets[index.value].local.owner == this->self)
                continue;
            buckets[index.value].lastKnownDefault = group.upstream;
            buckets[index.value].replicatedBy = from;
        }
    }
    this->send(from, ReplicateAck { message.sequence }, messageBytes, actions);
}

void FlowEngine::onMessage(InstanceId from, const ReplicateAck& message, TimePoint now, Actions& actions)
{
    const auto stream = this->streams.find({ from, false });
    if (stream != this->streams.end() && stream->second.acknowledge(message.sequence))
        this->flush(now, actions);
}

void FlowEngine::onMessage(InstanceId from, const HandoverAck& message, TimePoint now, Actions& actions)
{
    const auto stream = this->streams.find({ from, true });
    if (stream != this->streams.end() && stream->second.acknowledge(message.sequence))
        this->flush(now, actions);
}

void FlowEngine::onMessage(InstanceId from, const HandoverRequest& message, TimePoint now, Actions& actions)
{
    const auto service = this->serviceIndex(message.service);
    const membership::Member* member = findMember(this->view, from);
    if (!service || !member)
        return;
    const bool acrossZones = member->zone != this->zone;
    std::vector<Bucket>& buckets = this->services[*service].buckets;
    std::vector<BucketIndex> requested;
    for (const BucketIndex index : message.buckets) {
        if (index.value >= buckets.size())
            continue;
        const Bucket& bucket = buckets[index.value];
        const InstanceId owner = acrossZones ? bucket.globalOwner : bucket.local.owner;
        // This entry keeps the bucket until its own view assigns it to the sender, which repeats the request.
        if (owner == from && !(bucket.handoverTo == from && this->handoverInProgress(bucket)))
            requested.push_back(index);
    }
    if (requested.empty())
        return;
    this->handOver(*service, requested, from, acrossZones, now);
    actions.emplace_back(ReportEvent { Event::HandoverStarted, from, requested.size() });
    this->flush(now, actions);
}

void FlowEngine::onMessage(InstanceId from, const HandoverRecords& message, TimePoint now, Actions& actions)
{
    const auto service = this->serviceIndex(message.service);
    if (!service)
        return;
    for (const FlowRecord& record : message.records)
        this->mergeRecord(record, *service, false, now);
    for (Bucket& bucket : this->services[*service].buckets) {
        if (bucket.handoverFrom == from)
            bucket.handoverDeadline = now + this->settings.handoverTimeout;
    }
    this->send(from, HandoverAck { message.sequence }, messageBytes, actions);
}

void FlowEngine::onMessage(InstanceId from, const HandoverDone& message, TimePoint now, Actions& actions)
{
    const auto service = this->serviceIndex(message.service);
    if (!service)
        return;
    std::uint64_t finished = 0;
    for (const DoneGroup& group : message.groups) {
        for (const BucketIndex index : group.buckets) {
            if (index.value >= this->services[*service].buckets.size())
                continue;
            this->finishHandover(*service, index, from, group, now);
            ++finished;
        }
    }
    this->pushDefaults();
    actions.emplace_back(ReportEvent { Event::HandoverFinished, from, finished });
    this->send(from, HandoverAck { message.sequence }, messageBytes, actions);
    this->requestBuckets(now, actions);
    this->flush(now, actions);
}

void FlowEngine::finishHandover(
    std::uint8_t service, BucketIndex index, InstanceId from, const DoneGroup& group, TimePoint now)
{
    ServiceState& state = this->services[service];
    Bucket& bucket = state.buckets[index.value];
    if (bucket.handoverFrom != from) {
        if (group.complete && bucket.inheritedFrom == from)
            bucket.inheritedUntil = {};
        return;
    }
    if (group.nextSource != this->self && this->isAlive(group.nextSource)) {
        this->awaitHandover(bucket, group.nextSource, now);
        return;
    }
    bucket.handoverFrom = {};
    bucket.pendingDefault = {};
    if (group.upstream.value != 0)
        bucket.currentDefault = group.upstream;
    else if (bucket.currentDefault.value == 0)
        bucket.currentDefault
            = bucket.lastKnownDefault.value != 0 ? bucket.lastKnownDefault : state.targetDefaults[index.value];
    if (bucket.currentDefault.value != 0)
        this->upstreams.findOrAdd(bucket.currentDefault, now);
    if (!group.complete && this->settings.policies.inheritedDefault) {
        bucket.inheritedUntil = now + state.config.flowIdleTimeout;
        bucket.inheritedFrom = from;
    }
    this->startReplication(state, service, index);
}

} // namespace zinnia::flow
