#include "zinnia/request/owner.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace zinnia::request {

RequestOwner::RequestOwner(const OwnerSettings& settings, PeerProcess self)
    : settings { settings }
    , self { self } // A restarted owner must not reuse message IDs that callers still deduplicate.
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
    return std::all_of(this->activeRequests.begin(), this->activeRequests.end(), [](const auto& entry) {
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
            this->handleRetransmission(*known, now);
            return;
        }
        this->requests.erase(known);
    }
    if (!this->ensureCapacity(now)) {
        this->refuseUnrecorded(event, RefusalReason::RequestTableFull);
        return;
    }
    KeyedRequest& item = this->addOwnedRequest(key, event.bucket, message, now);
    Progress& progress = *item.second.progress;
    this->prepareObservation(key, progress, now);
    progress.candidates = event.candidates;
    progress.deputy = event.deputy;
    progress.deadline = now + progress.classification.deadline;
    if (this->holdsLease(now))
        this->admit(item, now);
}

RequestOwner::KeyedRequest& RequestOwner::addOwnedRequest(
    const RequestKey& key, BucketIndex bucket, const CoapMessage& message, TimePoint now)
{
    KeyedRequest& item = *this->requests.try_emplace(key).first;
    Request& request = item.second;
    request.id = RequestId { this->self.instance, this->self.epoch, ++this->nextNumber };
    request.bucket = bucket;
    request.confirmable = message.type == CoapType::Confirmable;
    request.progress = std::make_unique<Progress>();
    Progress& progress = *request.progress;
    progress.message = message;
    progress.classification = classify(message, this->serviceOf(key.service), this->settings.maxDeadline);
    progress.startedAt = now;
    request.idempotent = progress.classification.idempotent;
    this->activeRequests.emplace(request.id.number, &item);
    return item;
}

void RequestOwner::admit(KeyedRequest& item, TimePoint now)
{
    Progress& progress = *item.second.progress;
    progress.mayHaveRun = this->mayHaveRunElsewhere(item, now);
    const auto outcome = progress.mayHaveRun ? RequestOutcome::Unknown : RequestOutcome::NotRun;
    if (progress.mayHaveRun && !item.second.idempotent) {
        if (!this->queryPreviousOwner(item, now))
            this->refuse(item, outcome, RefusalReason::OutcomeUnknown, Seconds { 0 }, now);
        return;
    }
    this->admitFirstCopy(item, now);
}

void RequestOwner::admitFirstCopy(KeyedRequest& item, TimePoint now)
{
    if (this->stopping) {
        const auto outcome = item.second.progress->mayHaveRun ? RequestOutcome::Unknown : RequestOutcome::NotRun;
        this->refuse(item, outcome, RefusalReason::Stopping, Seconds { 1 }, now);
        return;
    }
    this->budgetOf(item.first.service).recordRequest();
    this->recordOrDispatch(item, now);
}

bool RequestOwner::holdsLease(TimePoint now) const noexcept
{
    return !this->settings.requireLease || now < this->leaseUntil;
}

bool RequestOwner::mayHaveRunElsewhere(const KeyedRequest& item, TimePoint now) const
{
    if (!this->settings.unknownOutcomeAfterTakeover)
        return false;
    const auto takeover = this->takeoverTimes.find({ item.first.service, item.second.bucket });
    if (takeover == this->takeoverTimes.end())
        return false;
    return this->maxCopyAge(*item.second.progress, now) >= now - takeover->second;
}

Milliseconds RequestOwner::maxCopyAge(const Progress& progress, TimePoint now) const
{
    const auto& age = progress.classification.age;
    const auto atArrival = age ? *age + this->settings.ageMargin : Milliseconds { this->settings.maxTransmitWait };
    return atArrival + std::chrono::duration_cast<Milliseconds>(now - progress.startedAt);
}

void RequestOwner::on(const ResultReceived& event, TimePoint now)
{
    const RequestResult& result = event.result;
    const auto found = this->activeRequests.find(result.id.number);
    const bool isOurs = result.id.owner == this->self.instance && result.id.epoch == this->self.epoch;
    if (!isOurs || found == this->activeRequests.end()) {
        this->actions.emplace_back(LogOwnerEvent { Event::AnswerDropped, {}, {}, RefusalReason::None });
        return;
    }
    KeyedRequest& item = *found->second;
    Progress& progress = *item.second.progress;
    const bool isCurrent = result.attempt == progress.attempt && result.upstream == progress.upstream && progress.home
        && progress.home->instance == event.from;
    // A response to an earlier attempt of an idempotent request is as good as one to the current attempt.
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
            this->forwardNotification(item, result.answer, now);
        break;
    case ResultKind::Answered:
        if (!isCurrent)
            this->sendCancel(item);
        if (continues || item.second.stage == Stage::Observing) {
            this->forwardNotification(item, result.answer, now);
            break;
        }
        this->respond(item, result.answer, now);
        this->endRequest(item, RequestOutcome::Answered, RefusalReason::None, now);
        break;
    case ResultKind::NotRun:
        if (!this->awaitHome(item, result.reason, now))
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
        this->answerNewOwner(event, now);
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
    const auto found = this->activeRequests.find(event.ack.id.number);
    if (found == this->activeRequests.end() || found->second->second.id != event.ack.id
        || found->second->second.stage > Stage::Recording)
        return;
    KeyedRequest& item = *found->second;
    Progress& progress = *item.second.progress;
    if (item.second.stage == Stage::QueryingPreviousOwner) {
        if (progress.previousOwner == event.from)
            this->handlePreviousOwnerAck(item, event.ack, now);
        return;
    }
    if (item.second.stage != Stage::Recording || progress.deputy != event.from)
        return;
    if (event.ack.reason == RefusalReason::None) {
        this->dispatch(item, now);
    } else if (event.ack.reason == RefusalReason::AlreadyRecorded) {
        // The deputy answers the other copy. Any answer from this entry could contradict that one.
        this->endRequest(item, RequestOutcome::Unknown, event.ack.reason, now);
    } else
        this->refuse(item, RequestOutcome::NotRun, RefusalReason::DeputyUnavailable, Seconds { 1 }, now);
}

void RequestOwner::on(const OwnershipTaken& event, TimePoint now)
{
    const std::set<BucketIndex> buckets { event.buckets.begin(), event.buckets.end() };
    for (const BucketIndex bucket : buckets) {
        const OwnedBucket owned { event.service, bucket };
        this->takeoverTimes[owned] = now;
        this->ownedBuckets.insert(owned);
        this->formerOwnerships.erase(owned);
        this->previousOwners.erase(owned);
        if (const auto previous = event.previousOwners.find(bucket); previous != event.previousOwners.end())
            this->previousOwners.emplace(owned, previous->second);
    }
    this->handleOwnerChange(event.service, buckets); // Another entry may have owned the buckets in between.
    this->actions.emplace_back(LogOwnerEvent { Event::OwnershipTaken, event.service, {}, RefusalReason::None });
    this->closeOrphanedRecords(now);
    this->resumeOrphanedObservations(now);
}

/**
 * Sends "unknown" unprompted, because callers whose request was acknowledged do not retransmit it. A previous owner
 * that is still alive, as in a planned change, answers them itself.
 */
void RequestOwner::closeOrphanedRecords(TimePoint now)
{
    std::map<RequestId, KeyedRequest*> orphaned;
    for (auto& item : this->requests) {
        if (this->isFromLostProcess(item.second.id) && item.second.stage == Stage::RecordOpen
            && this->ownedBuckets.contains({ item.first.service, item.second.bucket }))
            orphaned.emplace(item.second.id, &item);
    }
    for (const auto& [id, item] : orphaned) {
        item->second.emptyAckSent = true;
        this->refuse(*item, RequestOutcome::Unknown, RefusalReason::OutcomeUnknown, Seconds { 0 }, now);
    }
}

void RequestOwner::on(const OwnershipLost& event, TimePoint now)
{
    for (const BucketIndex bucket : event.buckets) {
        const OwnedBucket lost { event.service, bucket };
        if (this->ownedBuckets.erase(lost) == 0)
            continue;
        // The time of a takeover is removed once it is older than the retention of request keys.
        const auto takeover = this->takeoverTimes.find(lost);
        const TimePoint since
            = takeover == this->takeoverTimes.end() ? now - this->settings.exchangeLifetime : takeover->second;
        this->formerOwnerships[lost] = { since, now };
    }
    this->handleOwnerChange(event.service, { event.buckets.begin(), event.buckets.end() });
    this->handOverObservations(event, now);
}

/**
 * A retransmission of an idempotent request may run at the other owner, so that "not run" from here could be false. A
 * non-idempotent request is answered there from its age or its record. Requests that still await the lease here are
 * dropped and left to that owner.
 */
void RequestOwner::handleOwnerChange(ServiceId service, const std::set<BucketIndex>& buckets)
{
    for (auto next = this->activeRequests.begin(); next != this->activeRequests.end();) {
        KeyedRequest& item = *next->second;
        ++next; // `dropRequest` removes the element.
        if (item.first.service != service || !buckets.contains(item.second.bucket))
            continue;
        if (item.second.stage == Stage::AwaitingLease)
            this->dropRequest(item);
        else if (item.second.idempotent)
            item.second.progress->mayHaveRun = true;
    }
}

void RequestOwner::dropRequest(KeyedRequest& item)
{
    this->activeRequests.erase(item.second.id.number);
    this->requests.erase(this->requests.find(item.first));
}

void RequestOwner::on(const HomeChanged& event, TimePoint now)
{
    if (!event.home) {
        this->homes.erase(event.upstream);
    } else if (const auto [known, isNew] = this->homes.try_emplace(event.upstream, KnownHome { *event.home, now });
               !isNew && known->second.peer != *event.home)
        known->second = KnownHome { *event.home, now + this->settings.maxDeadline + this->settings.slotReleaseDelay };
    const auto activeSnapshot = this->activeRequests;
    for (const auto& [number, item] : activeSnapshot) {
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
    this->closeOrphanedRecords(now);
    const auto activeSnapshot = this->activeRequests;
    for (const auto& [number, item] : activeSnapshot) {
        Request& request = item->second;
        Progress& progress = *request.progress;
        if (request.stage == Stage::QueryingPreviousOwner && progress.previousOwner == event.peer.instance)
            this->refuse(*item, RequestOutcome::Unknown, RefusalReason::OutcomeUnknown, Seconds { 0 }, now);
        else if (request.stage == Stage::Recording && progress.deputy == event.peer.instance)
            this->refuse(*item, RequestOutcome::NotRun, RefusalReason::DeputyUnavailable, Seconds { 1 }, now);
        else if (request.stage == Stage::Dispatched && progress.home == event.peer && progress.observeSequence == 0) {
            progress.mayHaveRun = true;
            this->retry(*item, RetryReason::HomeChanged, RefusalReason::HomeUnavailable, Seconds { 1 }, now);
        }
    }
    // Observations whose home failed too are registered again with the next HomeChanged.
    this->resumeOrphanedObservations(now);
}

void RequestOwner::on(const OwnerConfigured& event, TimePoint) { this->configuration = event.configuration; }

void RequestOwner::on(const UpstreamsUpdated& event, TimePoint now)
{
    using upstream::UpstreamState;
    std::set<UpstreamId> lost;
    for (const auto& info : event.changed) {
        const bool acceptsRequests = info.state == UpstreamState::Cold || info.state == UpstreamState::Warming
            || info.state == UpstreamState::Ready;
        if (acceptsRequests)
            this->usableUpstreams.insert(info.id);
        else
            this->usableUpstreams.erase(info.id);
        if (info.state == UpstreamState::Lost)
            lost.insert(info.id);
    }
    for (const UpstreamId id : event.removed) {
        this->usableUpstreams.erase(id);
        lost.insert(id);
    }
    if (lost.empty())
        return;
    const auto activeSnapshot = this->activeRequests;
    for (const auto& [number, item] : activeSnapshot) {
        if (item->second.stage == Stage::Observing && lost.contains(item->second.progress->upstream))
            this->moveObservation(*item, now);
    }
}

void RequestOwner::on(const LeaseExtended& event, TimePoint) { this->leaseUntil = event.until; }

void RequestOwner::on(const OwnerTick&, TimePoint now)
{
    for (auto next = this->activeRequests.begin(); next != this->activeRequests.end();) {
        KeyedRequest& item = *next->second;
        ++next; // The request may end, which removes the element.
        this->advanceRequest(item, now);
    }
    this->retransmitUnacknowledged(now);
    this->purgeExpired(now);
}

void RequestOwner::on(const OwnerStop&, TimePoint) { this->stopping = true; }

} // namespace zinnia::request
