#include "zinnia/request/owner.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace zinnia::request {

RequestOwner::RequestOwner(const OwnerSettings& settings, PeerProcess self)
    : settings { settings }
    , self { self } // A restarted owner must not reuse the message ids that its callers still remember.
    , nextMessageId { static_cast<std::uint16_t>(hashOf(self.epoch.value, self.instance.value)) }
    , configuration { std::make_shared<const config::Configuration>() }
{
}

OwnerActions RequestOwner::handle(const OwnerEvent& event, TimePoint now)
{
    this->actions.clear();
    std::visit([&](const auto& alternative) { this->on(alternative, now); }, event);
    return std::move(this->actions);
}

bool RequestOwner::isIdle() const noexcept
{
    return std::all_of(this->active.begin(), this->active.end(), [](const auto& entry) {
        const Request& request = entry.second->second;
        return request.stage == Stage::Observing && !request.progress->newOwner;
    });
}

void RequestOwner::on(const RequestReceived& event, TimePoint now)
{
    const CoapMessage& message = event.message;
    if (!message.isRequest())
        return;
    const RequestKey key { event.service, event.caller, message.messageId, message.token };
    if (const auto known = this->requests.find(key); known != this->requests.end()) {
        if (this->settings.deduplicateRetransmissions || known->second.stage < Stage::Ended) {
            this->repeat(*known, now);
            return;
        }
        this->requests.erase(known);
    }
    if (!this->makeRoom(now)) {
        this->refuseUnrecorded(event, RefusalReason::RequestTableFull);
        return;
    }
    Item& item = this->addOwn(key, event.bucket, message, now);
    Progress& progress = *item.second.progress;
    this->prepareObservation(key, progress, now);
    progress.candidates = event.candidates;
    progress.deputy = event.deputy;
    progress.deadline = now + progress.properties.deadline;
    if (this->holdsLease(now))
        this->begin(item, now);
}

RequestOwner::Item& RequestOwner::addOwn(
    const RequestKey& key, BucketIndex bucket, const CoapMessage& message, TimePoint now)
{
    Item& item = *this->requests.try_emplace(key).first;
    Request& request = item.second;
    request.id = RequestId { this->self.instance, this->self.epoch, ++this->nextNumber };
    request.bucket = bucket;
    request.confirmable = message.type == CoapType::Confirmable;
    request.progress = std::make_unique<Progress>();
    Progress& progress = *request.progress;
    progress.message = message;
    progress.properties = classify(message, this->serviceOf(key.service), this->settings.maxDeadline);
    progress.startedAt = now;
    request.idempotent = progress.properties.idempotent;
    this->active.emplace(request.id.number, &item);
    return item;
}

void RequestOwner::begin(Item& item, TimePoint now)
{
    Progress& progress = *item.second.progress;
    progress.mayHaveRun = this->mayBeKnownElsewhere(item, now);
    const auto outcome = progress.mayHaveRun ? RequestOutcome::Unknown : RequestOutcome::NotRun;
    if (progress.mayHaveRun && !item.second.idempotent) {
        if (!this->askPreviousOwner(item, now))
            this->refuse(item, outcome, RefusalReason::OutcomeUnknown, Seconds { 0 }, now);
        return;
    }
    this->beginFresh(item, now);
}

void RequestOwner::beginFresh(Item& item, TimePoint now)
{
    if (this->stopping) {
        const auto outcome = item.second.progress->mayHaveRun ? RequestOutcome::Unknown : RequestOutcome::NotRun;
        this->refuse(item, outcome, RefusalReason::Stopping, Seconds { 1 }, now);
        return;
    }
    this->budgetOf(item.first.service).recordRequest();
    this->start(item, now);
}

bool RequestOwner::holdsLease(TimePoint now) const noexcept
{
    return !this->settings.requireLease || now < this->leaseUntil;
}

bool RequestOwner::mayBeKnownElsewhere(const Item& item, TimePoint now) const
{
    if (!this->settings.unknownOutcomeAfterTakeover)
        return false;
    const auto taken = this->takenAt.find({ item.first.service, item.second.bucket });
    if (taken == this->takenAt.end())
        return false;
    return this->maxCopyAge(*item.second.progress, now) >= now - taken->second;
}

Milliseconds RequestOwner::maxCopyAge(const Progress& progress, TimePoint now) const
{
    const auto& age = progress.properties.age;
    const auto atArrival = age ? *age + this->settings.ageMargin : Milliseconds { this->settings.maxTransmitWait };
    return atArrival + std::chrono::duration_cast<Milliseconds>(now - progress.startedAt);
}

void RequestOwner::on(const ResultReceived& event, TimePoint now)
{
    const RequestResult& result = event.result;
    const auto found = this->active.find(result.id.number);
    const bool isOurs = result.id.owner == this->self.instance && result.id.epoch == this->self.epoch;
    if (!isOurs || found == this->active.end()) {
        this->actions.emplace_back(LogOwnerEvent { Event::AnswerDropped, {}, {}, RefusalReason::None });
        return;
    }
    Item& item = *found->second;
    Progress& progress = *item.second.progress;
    const bool isCurrent = result.attempt == progress.attempt && result.upstream == progress.upstream && progress.home
        && progress.home->instance == event.from;
    // An answer to an earlier try of an idempotent request is as good as one to the current try.
    const bool isUsable
        = isCurrent || (result.kind == ResultKind::Answered && !progress.observe && result.attempt < progress.attempt);
    if (!isUsable || item.second.stage < Stage::Dispatched) {
        this->actions.emplace_back(LogOwnerEvent { Event::AnswerDropped, item.first.service, item.first.caller, {} });
        return;
    }
    const bool continues = progress.observe && result.answer.find(coap::observe);
    switch (result.kind) {
    case ResultKind::Accepted:
        progress.accepted = true;
        break;
    case ResultKind::Running:
        if (!std::exchange(progress.running, true))
            progress.attemptStartedAt = now;
        progress.accepted = true;
        break;
    case ResultKind::Notification:
        if (item.second.stage == Stage::Observing)
            this->notify(item, result.answer, now);
        break;
    case ResultKind::Answered:
        if (!isCurrent)
            this->sendCancel(item);
        if (continues || item.second.stage == Stage::Observing) {
            this->notify(item, result.answer, now);
            break;
        }
        this->respond(item, result.answer, now);
        this->end(item, RequestOutcome::Answered, RefusalReason::None, now);
        break;
    case ResultKind::NotRun:
        this->retry(item, RetryReason::NotRunByUpstream, result.reason, result.retryAfter, now);
        break;
    case ResultKind::Unknown:
        progress.mayHaveRun = true;
        this->retry(item, RetryReason::UpstreamLost, result.reason, result.retryAfter, now);
        break;
    }
}

void RequestOwner::on(const RecordReceived& event, TimePoint now)
{
    const RecordRequest& record = event.record;
    if (record.maxCopyAge > Milliseconds { 0 }) {
        this->answerSuccessor(event, now);
        return;
    }
    const auto known = this->requests.find(record.key);
    RefusalReason reason = RefusalReason::None;
    if (known != this->requests.end()) {
        Request& request = known->second;
        const bool isRecord = request.stage == Stage::RecordOpen || request.stage == Stage::RecordClosed;
        if (!isRecord || request.id != record.id)
            reason = RefusalReason::AlreadyRecorded;
        else if (record.finished)
            request.stage = Stage::RecordClosed;
    } else if (!this->addRecord(record, now))
        reason = RefusalReason::RequestTableFull;
    if (reason == RefusalReason::AlreadyRecorded)
        this->actions.emplace_back(
            LogOwnerEvent { Event::RequestRecordRefused, record.key.service, record.key.caller, reason });
    if (!record.finished)
        this->actions.emplace_back(SendToPeer { event.from, RecordRequestAck { record.id, reason, {} } });
}

void RequestOwner::on(const RecordAckReceived& event, TimePoint now)
{
    const auto found = this->active.find(event.ack.id.number);
    if (found == this->active.end() || found->second->second.id != event.ack.id
        || found->second->second.stage > Stage::Recording)
        return;
    Item& item = *found->second;
    Progress& progress = *item.second.progress;
    if (item.second.stage == Stage::Asking) {
        if (progress.previousOwner == event.from)
            this->answeredByPreviousOwner(item, event.ack, now);
        return;
    }
    if (item.second.stage != Stage::Recording || progress.deputy != event.from)
        return;
    if (event.ack.reason == RefusalReason::None) {
        this->dispatch(item, now);
    } else if (event.ack.reason == RefusalReason::AlreadyRecorded) {
        // The deputy answers the other copy. Whatever this entry said could contradict it.
        this->end(item, RequestOutcome::Unknown, event.ack.reason, now);
    } else
        this->refuse(item, RequestOutcome::NotRun, RefusalReason::DeputyUnavailable, Seconds { 1 }, now);
}

void RequestOwner::on(const OwnershipTaken& event, TimePoint now)
{
    const std::set<BucketIndex> buckets { event.buckets.begin(), event.buckets.end() };
    for (const BucketIndex bucket : buckets) {
        const OwnedBucket taken { event.service, bucket };
        this->takenAt[taken] = now;
        this->owned.insert(taken);
        this->formerlyOwned.erase(taken);
        this->previousOwners.erase(taken);
        if (const auto previous = event.previousOwners.find(bucket); previous != event.previousOwners.end())
            this->previousOwners.emplace(taken, previous->second);
    }
    this->ownershipChanged(event.service, buckets); // Another owner may have come and gone since they were placed.
    this->actions.emplace_back(LogOwnerEvent { Event::OwnershipTaken, event.service, {}, RefusalReason::None });
    this->closeAbandonedRecords(now);
    this->resumeAbandoned(now);
}

/**
 * Callers whose request was acknowledged retransmit no more, so they are told without being asked. A previous owner
 * that is alive, as after a planned change, answers them itself.
 */
void RequestOwner::closeAbandonedRecords(TimePoint now)
{
    std::map<RequestId, Item*> abandoned;
    for (auto& item : this->requests) {
        if (this->isFromLostProcess(item.second.id) && item.second.stage == Stage::RecordOpen
            && this->owned.contains({ item.first.service, item.second.bucket }))
            abandoned.emplace(item.second.id, &item);
    }
    for (const auto& [id, item] : abandoned) {
        item->second.emptyAcknowledged = true;
        this->refuse(*item, RequestOutcome::Unknown, RefusalReason::OutcomeUnknown, Seconds { 0 }, now);
    }
}

void RequestOwner::on(const OwnershipLost& event, TimePoint now)
{
    for (const BucketIndex bucket : event.buckets) {
        const OwnedBucket lost { event.service, bucket };
        if (this->owned.erase(lost) == 0)
            continue;
        // Takeovers longer ago than any key is kept have been forgotten.
        const auto taken = this->takenAt.find(lost);
        const TimePoint since = taken == this->takenAt.end() ? now - this->settings.exchangeLifetime : taken->second;
        this->formerlyOwned[lost] = { since, now };
    }
    this->ownershipChanged(event.service, { event.buckets.begin(), event.buckets.end() });
    this->handOver(event, now);
}

/**
 * A retransmission of an idempotent request may run at another owner, so that "not run" could turn out false. A
 * non-idempotent one is answered there from its age or its record. What still waits here is left to that owner.
 */
void RequestOwner::ownershipChanged(ServiceId service, const std::set<BucketIndex>& buckets)
{
    for (auto next = this->active.begin(); next != this->active.end();) {
        Item& item = *next->second;
        ++next; // Dropping it removes it from the map.
        if (item.first.service != service || !buckets.contains(item.second.bucket))
            continue;
        if (item.second.stage == Stage::Waiting)
            this->drop(item);
        else if (item.second.idempotent)
            item.second.progress->mayHaveRun = true;
    }
}

void RequestOwner::drop(Item& item)
{
    this->active.erase(item.second.id.number);
    this->requests.erase(this->requests.find(item.first));
}

void RequestOwner::on(const HomeChanged& event, TimePoint now)
{
    if (!event.home) {
        this->homes.erase(event.upstream);
    } else if (const auto [known, isNew] = this->homes.try_emplace(event.upstream, KnownHome { *event.home, now });
               !isNew && known->second.peer != *event.home)
        known->second = KnownHome { *event.home, now + this->settings.maxDeadline + this->settings.slotReleaseDelay };
    const auto held = this->active;
    for (const auto& [number, item] : held) {
        const bool isMoved = item->second.progress->observeSequence > 0 && item->second.progress->home != event.home;
        if (isMoved && item->second.progress->upstream == event.upstream)
            this->moveObservation(*item, now);
    }
}

void RequestOwner::on(const PeerLost& event, TimePoint now)
{
    Epoch& lost = this->lostPeers[event.peer.instance];
    lost = std::max(lost, event.peer.epoch);
    std::erase_if(this->previousOwners, [&](const auto& previous) { return previous.second == event.peer.instance; });
    this->closeAbandonedRecords(now);
    const auto held = this->active;
    for (const auto& [number, item] : held) {
        Request& request = item->second;
        Progress& progress = *request.progress;
        if (request.stage == Stage::Asking && progress.previousOwner == event.peer.instance)
            this->refuse(*item, RequestOutcome::Unknown, RefusalReason::OutcomeUnknown, Seconds { 0 }, now);
        else if (request.stage == Stage::Recording && progress.deputy == event.peer.instance)
            this->refuse(*item, RequestOutcome::NotRun, RefusalReason::DeputyUnavailable, Seconds { 1 }, now);
        else if (request.stage == Stage::Dispatched && progress.home == event.peer && progress.observeSequence == 0) {
            progress.mayHaveRun = true;
            this->retry(*item, RetryReason::HomeChanged, RefusalReason::HomeUnavailable, Seconds { 1 }, now);
        }
    }
    // Observations whose home died too are registered again with the next HomeChanged.
    this->resumeAbandoned(now);
}

void RequestOwner::on(const OwnerConfigured& event, TimePoint) { this->configuration = event.configuration; }

void RequestOwner::on(const UpstreamsUpdated& event, TimePoint now)
{
    using upstream::UpstreamState;
    std::set<UpstreamId> lost;
    for (const auto& info : event.changed) {
        const bool takesWork = info.state == UpstreamState::Cold || info.state == UpstreamState::Warming
            || info.state == UpstreamState::Ready;
        if (takesWork)
            this->usable.insert(info.id);
        else
            this->usable.erase(info.id);
        if (info.state == UpstreamState::Lost)
            lost.insert(info.id);
    }
    for (const UpstreamId id : event.removed) {
        this->usable.erase(id);
        lost.insert(id);
    }
    if (lost.empty())
        return;
    const auto held = this->active;
    for (const auto& [number, item] : held) {
        if (item->second.stage == Stage::Observing && lost.contains(item->second.progress->upstream))
            this->moveObservation(*item, now);
    }
}

void RequestOwner::on(const LeaseExtended& event, TimePoint) { this->leaseUntil = event.until; }

void RequestOwner::on(const OwnerTick&, TimePoint now)
{
    for (auto next = this->active.begin(); next != this->active.end();) {
        Item& item = *next->second;
        ++next; // The request may end and leave the map.
        this->advance(item, now);
    }
    this->retransmit(now);
    this->forget(now);
}

void RequestOwner::on(const OwnerStop&, TimePoint) { this->stopping = true; }

} // namespace zinnia::request
