#include "zinnia/request/owner.hpp"

#include <algorithm>
#include <utility>

namespace zinnia::request {

RetryBudget& RequestOwner::budgetOf(ServiceId service)
{
    return this->retryBudgets.try_emplace(service, this->settings.retryRatio, this->settings.retryBurst).first->second;
}

void RequestOwner::recordOrDispatch(KeyedRequest& item, TimePoint now)
{
    Request& request = item.second;
    Progress& progress = *request.progress;
    if (request.idempotent || !progress.deputy || !this->settings.recordAtDeputy) {
        this->dispatch(item, now);
        return;
    }
    request.stage = Stage::Recording;
    progress.nextSend = now + this->settings.recordRetryInterval;
    this->sendRecord(item, *progress.deputy, false);
}

bool RequestOwner::chooseUpstream(Progress& progress, TimePoint now)
{
    const std::size_t count = progress.candidates.size();
    // An observation stays with its upstream: a short interruption is better than a switch to another upstream's data.
    const bool staysWithUpstream = progress.observeSequence > 0;
    // The first pass avoids upstreams whose new home assumes that they are still busy; the second accepts them.
    for (const bool acceptsNewHome : { staysWithUpstream || !this->settings.avoidNewHomes, true }) {
        for (std::size_t tried = 0; tried < count; ++tried) {
            const std::size_t index = (progress.nextCandidate + tried) % count;
            const UpstreamId candidate = progress.candidates[index];
            const auto home = this->homes.find(candidate);
            if (home == this->homes.end() || !this->usableUpstreams.contains(candidate)
                || (!acceptsNewHome && now < home->second.assumedBusyUntil))
                continue;
            progress.nextCandidate = index + 1;
            progress.upstream = candidate;
            progress.home = home->second.peer;
            return true;
        }
    }
    return false;
}

void RequestOwner::dispatch(KeyedRequest& item, TimePoint now)
{
    Progress& progress = *item.second.progress;
    const auto outcome = progress.mayHaveRun ? RequestOutcome::Unknown : RequestOutcome::NotRun;
    if (now >= progress.deadline) {
        this->refuse(item, outcome, RefusalReason::DeadlineExceeded, Seconds { 0 }, now);
        return;
    }
    if (!this->chooseUpstream(progress, now)) {
        this->refuse(item, outcome, RefusalReason::NoUpstream, Seconds { 1 }, now);
        return;
    }
    item.second.stage = Stage::Dispatched;
    ++progress.attempt;
    progress.accepted = false;
    progress.running = false;
    progress.attemptStartedAt = now;
    progress.newestNotification.reset();
    progress.nextSend = now + this->settings.dispatchRetryInterval;
    this->sendDispatch(item, now);
}

void RequestOwner::sendDispatch(KeyedRequest& item, TimePoint now)
{
    const Progress& progress = *item.second.progress;
    DispatchRequest request;
    request.id = item.second.id;
    request.attempt = progress.attempt;
    request.upstream = progress.upstream;
    request.homeEpoch = progress.home->epoch;
    request.priority = progress.classification.priority;
    request.idempotent = item.second.idempotent;
    request.observe = progress.observe;
    request.deadlineRemaining
        = std::max(Milliseconds { 0 }, std::chrono::duration_cast<Milliseconds>(progress.deadline - now));
    request.message = progress.message;
    request.message.token.clear();
    this->actions.emplace_back(SendToPeer { progress.home->instance, std::move(request) });
}

void RequestOwner::sendRecord(KeyedRequest& item, InstanceId to, bool finished, Milliseconds maxCopyAge)
{
    const Request& request = item.second;
    request.progress->recordReceivers.insert(to);
    RecordRequest record { request.id, item.first, request.bucket, request.confirmable, finished, maxCopyAge };
    this->actions.emplace_back(SendToPeer { to, std::move(record) });
}

void RequestOwner::retry(
    KeyedRequest& item, RetryReason retryReason, RefusalReason reason, Seconds retryAfter, TimePoint now)
{
    Progress& progress = *item.second.progress;
    const auto outcome = progress.mayHaveRun ? RequestOutcome::Unknown : RequestOutcome::NotRun;
    const bool isSafe = !progress.mayHaveRun || item.second.idempotent || this->settings.retryUnknownOutcomes;
    const bool isInTime = progress.deadline - now >= this->settings.minRetryTime;
    if (!isSafe || !isInTime || progress.attempt - progress.attemptsBeforeMove >= this->settings.maxAttempts) {
        this->refuse(item, outcome, reason, retryAfter, now);
        return;
    }
    // The caller does not cause a repeated registration of its observation, so it takes nothing from the retry budget.
    const bool isLimited = this->settings.enforceRetryBudget && progress.observeSequence == 0;
    if (isLimited && !this->budgetOf(item.first.service).tryTake()) {
        this->refuse(item, outcome, RefusalReason::RetryBudgetSpent, retryAfter, now);
        return;
    }
    this->actions.emplace_back(RequestRetried { item.second.id, retryReason });
    this->actions.emplace_back(LogOwnerEvent { Event::RequestRetried, item.first.service, item.first.caller, reason });
    this->dispatch(item, now);
}

/**
 * A new home refuses registrations while its view has not changed yet, as entries detect a failure at different times,
 * and while the observations of an upstream that it has taken over fill its queue. Neither concerns the upstream, so
 * the observation stays with it.
 */
bool RequestOwner::awaitHome(KeyedRequest& item, RefusalReason reason, TimePoint now)
{
    Progress& progress = *item.second.progress;
    const bool isNotHome = reason == RefusalReason::HomeUnavailable;
    if (progress.observeSequence == 0 || (!isNotHome && reason != RefusalReason::QueueFull))
        return false;
    // An entry that had accepted the registration was the home until now.
    if (std::exchange(progress.accepted, false) && isNotHome)
        progress.attemptStartedAt = now;
    if (now - progress.attemptStartedAt >= this->settings.attemptTimeout)
        return false;
    // A new attempt, because the entry repeats its result for the refused one.
    ++progress.attempt;
    ++progress.attemptsBeforeMove;
    progress.running = false;
    progress.nextSend = now + this->settings.dispatchRetryInterval;
    this->actions.emplace_back(RequestRetried { item.second.id, RetryReason::NotRunByUpstream });
    this->actions.emplace_back(LogOwnerEvent { Event::RequestRetried, item.first.service, item.first.caller, reason });
    return true;
}

/** Cancels an observation at its home and registers it again. Not a retry: the caller registered it only once. */
void RequestOwner::moveObservation(KeyedRequest& item, TimePoint now)
{
    this->sendCancel(item);
    this->reregisterObservation(item, now);
}

void RequestOwner::reregisterObservation(KeyedRequest& item, TimePoint now)
{
    Progress& progress = *item.second.progress;
    const auto current = std::find(progress.candidates.begin(), progress.candidates.end(), progress.upstream);
    progress.nextCandidate = static_cast<std::size_t>(current - progress.candidates.begin());
    progress.attempt = std::max(progress.attempt, 1U);
    progress.attemptsBeforeMove = progress.attempt;
    progress.mayHaveRun = true; // The registration has run at the previous upstream.
    progress.deadline = now + this->settings.maxDeadline;
    this->actions.emplace_back(
        LogOwnerEvent { Event::ObservationMoved, item.first.service, item.first.caller, RefusalReason::None });
    this->dispatch(item, now);
}

void RequestOwner::sendCancel(KeyedRequest& item)
{
    const Progress& progress = *item.second.progress;
    if (!progress.home || item.second.stage < Stage::Dispatched)
        return;
    this->actions.emplace_back(
        SendToPeer { progress.home->instance, CancelRequest { item.second.id, progress.attempt, progress.upstream } });
}

void RequestOwner::advanceRequest(KeyedRequest& item, TimePoint now)
{
    Request& request = item.second;
    Progress& progress = *request.progress;
    if (request.stage == Stage::AwaitingLease) {
        if (this->holdsLease(now))
            this->admit(item, now);
        else if (now >= progress.deadline)
            this->dropRequest(item);
        return;
    }
    if (request.stage == Stage::QueryingPreviousOwner) {
        if (now >= progress.deadline || now - progress.startedAt >= this->settings.recordTimeout)
            this->refuse(item, RequestOutcome::Unknown, RefusalReason::OutcomeUnknown, Seconds { 0 }, now);
        else if (now >= progress.nextSend)
            (void)this->queryPreviousOwner(item, now);
        return;
    }
    if (request.stage == Stage::Recording) {
        if (now >= progress.deadline)
            this->refuse(item, RequestOutcome::NotRun, RefusalReason::DeadlineExceeded, Seconds { 0 }, now);
        else if (now - progress.startedAt >= this->settings.recordTimeout)
            this->refuse(item, RequestOutcome::NotRun, RefusalReason::DeputyUnavailable, Seconds { 1 }, now);
        else if (now >= progress.nextSend) {
            progress.nextSend = now + this->settings.recordRetryInterval;
            this->sendRecord(item, *progress.deputy, false);
        }
        return;
    }
    if (progress.observeSequence > 0 && now >= progress.nextObservationRecord)
        this->sendObservation(item, now);
    if (request.stage != Stage::Dispatched)
        return;
    if (now >= progress.deadline + this->settings.resultGrace) {
        this->sendCancel(item);
        this->refuse(item, RequestOutcome::Unknown, RefusalReason::DeadlineExceeded, Seconds { 0 }, now);
        return;
    }
    // A queued request stays where it is: another home would only queue it again.
    const bool isQueued = progress.accepted && !progress.running;
    const bool isAttemptOverdue = request.idempotent && !isQueued && progress.candidates.size() > 1
        && progress.attempt < this->settings.maxAttempts
        && now - progress.attemptStartedAt >= this->settings.attemptTimeout
        && progress.deadline - now >= this->settings.attemptTimeout;
    if (isAttemptOverdue && (!this->settings.enforceRetryBudget || this->budgetOf(item.first.service).tryTake())) {
        progress.mayHaveRun = true;
        this->sendCancel(item);
        this->actions.emplace_back(RequestRetried { request.id, RetryReason::AnswerTimeout });
        this->dispatch(item, now);
        return;
    }
    if (now < progress.nextSend)
        return;
    progress.nextSend
        = now + (progress.accepted ? this->settings.acceptedRetryInterval : this->settings.dispatchRetryInterval);
    this->sendDispatch(item, now);
}

void RequestOwner::endRequest(KeyedRequest& item, RequestOutcome outcome, RefusalReason reason, TimePoint now)
{
    Request& request = item.second;
    // The outcome of an observation was reported with its first response.
    const bool wasReported = request.progress && request.progress->observeSequence > 0;
    if (!wasReported)
        this->actions.emplace_back(RequestEnded { request.id, outcome, reason });
    if (request.progress) {
        if (request.progress->observe && request.progress->deputy)
            this->actions.emplace_back(SendToPeer { *request.progress->deputy,
                ObservationRecord { request.id, item.first, request.bucket, {}, {}, 0, false, true } });
        if (reason != RefusalReason::AlreadyRecorded) {
            const std::set<InstanceId> receivers = request.progress->recordReceivers;
            for (const InstanceId receiver : receivers)
                this->sendRecord(item, receiver, true);
        }
        this->activeRequests.erase(request.id.number);
        request.progress.reset();
    }
    request.stage = Stage::Ended;
    this->retainUntilExpiry(item, now);
}

void RequestOwner::retainUntilExpiry(KeyedRequest& item, TimePoint now)
{
    item.second.expiresAt = now + this->settings.exchangeLifetime;
    this->expiryQueue.emplace_back(item.second.expiresAt, item.first);
    if (!item.second.answer || item.second.answer->payload.empty())
        return;
    this->cachedAnswerBytes += item.second.answer->payload.size();
    this->cachedAnswerOrder.push_back(item.first);
    while (this->cachedAnswerBytes > this->settings.maxCachedAnswerBytes && this->cachedAnswerOrder.size() > 1) {
        const auto oldest = this->requests.find(this->cachedAnswerOrder.front());
        this->cachedAnswerOrder.pop_front();
        if (oldest == this->requests.end() || !oldest->second.answer)
            continue;
        this->dropCachedAnswer(oldest->second);
        // An idempotent request may run again; a retransmission of a non-idempotent one gets the answer "unknown".
        if (oldest->second.idempotent && oldest->second.stage == Stage::Ended)
            this->requests.erase(oldest);
    }
}

void RequestOwner::dropCachedAnswer(Request& request)
{
    if (request.answer)
        this->cachedAnswerBytes -= std::min(this->cachedAnswerBytes, request.answer->payload.size());
    request.answer.reset();
}

void RequestOwner::purgeExpired(TimePoint now)
{
    while (!this->expiryQueue.empty() && now >= this->expiryQueue.front().first) {
        const auto found = this->requests.find(this->expiryQueue.front().second);
        if (found != this->requests.end() && !found->second.progress && now >= found->second.expiresAt) {
            this->dropCachedAnswer(found->second);
            this->requests.erase(found);
        }
        this->expiryQueue.pop_front();
    }
    while (!this->cachedAnswerOrder.empty() && !this->requests.contains(this->cachedAnswerOrder.front()))
        this->cachedAnswerOrder.pop_front();
    std::erase_if(
        this->takeoverTimes, [&](const auto& entry) { return now - entry.second >= this->settings.exchangeLifetime; });
    std::erase_if(this->deputyObservations, [&](const auto& entry) { return now >= entry.second.expiresAt; });
    std::erase_if(this->formerOwnerships,
        [&](const auto& entry) { return now - entry.second.until >= this->settings.exchangeLifetime; });
}

bool RequestOwner::ensureCapacity(TimePoint now)
{
    if (this->requests.size() < this->settings.maxRequests)
        return true;
    this->purgeExpired(now);
    return this->requests.size() < this->settings.maxRequests;
}

} // namespace zinnia::request
