#include "zinnia/request/home.hpp"

#include <algorithm>

namespace zinnia::request {

using upstream::UpstreamState;

RequestHome::RequestHome(const HomeSettings& settings, PeerProcess self, std::uint64_t seed)
    : settings { settings }
    , self { self }
    , seed { seed }
{
}

HomeActions RequestHome::handle(const HomeEvent& event, TimePoint now)
{
    this->actions.clear();
    std::visit([&](const auto& alternative) { this->on(alternative, now); }, event);
    return std::move(this->actions);
}

std::uint32_t RequestHome::inFlight(UpstreamId upstream) const
{
    const auto found = this->upstreams.find(upstream);
    return found == this->upstreams.end() ? 0 : found->second.inFlight;
}

bool RequestHome::holdsLease(TimePoint now) const noexcept
{
    return !this->settings.requireLease || now < this->leaseUntil;
}

bool RequestHome::acceptsRequests(const ManagedUpstream& target) noexcept
{
    const UpstreamState state = target.info.state;
    return target.isRegistered
        && (state == UpstreamState::Cold || state == UpstreamState::Warming || state == UpstreamState::Ready);
}

RequestHome::ManagedUpstream& RequestHome::upstreamFor(UpstreamId id, TimePoint now)
{
    const auto found = this->upstreams.find(id);
    if (found != this->upstreams.end())
        return found->second;
    const auto first = static_cast<std::uint16_t>(hashOf(this->seed, id.value, this->self.epoch.value));
    return this->upstreams
        .emplace(id,
            ManagedUpstream { {}, false, false, upstream::ColdStartLimiter { this->settings.coldStart, now },
                upstream::ColdDetector { this->settings.coldStart },
                BoundedQueue<AttemptKey> { this->settings.order, this->settings.queueLimit }, 0, {}, {}, {}, first })
        .first->second;
}

void RequestHome::on(const DispatchReceived& event, TimePoint now)
{
    const DispatchRequest& request = event.request;
    const AttemptKey key { request.id, request.attempt };
    const auto known = this->attempts.find(key);
    if (known != this->attempts.end()) {
        if (this->settings.deduplicateDispatches || known->second.stage != Stage::Ended) {
            this->sendResult(key, known->second.result);
            return;
        }
        this->releaseSlot(key, known->second);
        this->attemptsByToken.erase(known->second.token);
    }
    if (this->attempts.size() >= this->settings.maxAttempts)
        return; // Any answer would need a record. Without one, the owner ends the request with "unknown".
    const RefusalReason reason = this->admissionResult(request, now);
    Attempt attempt;
    attempt.upstream = request.upstream;
    attempt.priority = request.priority;
    attempt.idempotent = request.idempotent;
    attempt.observe = request.observe;
    attempt.deadline = now + std::min(request.deadlineRemaining, this->settings.maxDeadline);
    attempt.message = request.message;
    attempt.result = RequestResult { request.id, request.attempt, request.upstream, ResultKind::Accepted, {}, {}, {} };
    Attempt& stored = this->attempts.insert_or_assign(key, std::move(attempt)).first->second;
    if (request.homeEpoch != this->self.epoch) {
        // An earlier process of this instance may have run it.
        this->endAttempt(key, stored, ResultKind::Unknown, RefusalReason::HomeUnavailable, now);
        return;
    }
    if (reason != RefusalReason::None) {
        this->endAttempt(key, stored, ResultKind::NotRun, reason, now);
        return;
    }
    this->activeAttempts.insert(key);
    ManagedUpstream& target = this->upstreamFor(request.upstream, now);
    if (const auto shed = target.queue.push(request.priority, key)) {
        this->actions.emplace_back(LogHomeEvent { Event::QueueShed, request.upstream, RefusalReason::QueueFull });
        this->endAttempt(*shed, this->attempts.at(*shed), ResultKind::NotRun, RefusalReason::QueueFull, now);
    }
    if (stored.stage == Stage::Queued)
        this->sendResult(key, stored.result);
    this->dispatchQueued(target, now);
}

RefusalReason RequestHome::admissionResult(const DispatchRequest& request, TimePoint now)
{
    if (this->stopping)
        return RefusalReason::Stopping;
    ManagedUpstream& target = this->upstreamFor(request.upstream, now);
    // Without the lease a request stays queued: either the lease is renewed within a second, or the home changes and
    // the queued requests are returned.
    if (!target.isHome)
        return RefusalReason::HomeUnavailable;
    if (!acceptsRequests(target))
        return RefusalReason::NoUpstream;
    if (request.deadlineRemaining <= Milliseconds { 0 })
        return RefusalReason::DeadlineExceeded;
    if (now + request.deadlineRemaining <= target.backOffUntil)
        return RefusalReason::UpstreamShedding;
    const auto medianDuration = target.detector.median(request.priority);
    if (!this->settings.refuseInfeasibleDeadlines || !medianDuration)
        return RefusalReason::None;
    const std::uint32_t limit = std::max(1U, target.limiter.slotLimit(target.info.slots));
    const auto ahead = static_cast<std::int64_t>(target.queue.ahead(request.priority));
    const Milliseconds wait = *medianDuration * ahead / limit;
    return wait + *medianDuration > request.deadlineRemaining ? RefusalReason::DeadlineExceeded : RefusalReason::None;
}

void RequestHome::on(const CancelReceived& event, TimePoint now)
{
    const AttemptKey key { event.request.id, event.request.attempt };
    const auto known = this->attempts.find(key);
    if (known == this->attempts.end()) {
        // The cancellation arrived before the request, which must not run when it arrives.
        if (this->attempts.size() >= this->settings.maxAttempts)
            return;
        Attempt& attempt = this->attempts[key];
        attempt.upstream = event.request.upstream;
        attempt.result = RequestResult { key.id, key.attempt, attempt.upstream, ResultKind::Accepted, {}, {}, {} };
        this->endAttempt(key, attempt, ResultKind::NotRun, RefusalReason::Cancelled, now);
        return;
    }
    Attempt& attempt = known->second;
    switch (attempt.stage) {
    case Stage::Queued:
        (void)this->upstreamFor(attempt.upstream, now).queue.remove(key);
        this->endAttempt(key, attempt, ResultKind::NotRun, RefusalReason::Cancelled, now);
        break;
    case Stage::InFlight: {
        CoapMessage reset;
        reset.type = CoapType::Reset;
        reset.messageId = attempt.messageId;
        const ManagedUpstream& target = this->upstreamFor(attempt.upstream, now);
        this->actions.emplace_back(SendToUpstream { attempt.upstream, target.info.address, std::move(reset) });
        this->endAttempt(key, attempt, ResultKind::Unknown, RefusalReason::Cancelled, now);
        break;
    }
    case Stage::Observing:
        this->cancelObservation(key, attempt, now);
        break;
    case Stage::Ended:
        break;
    }
}

void RequestHome::on(const UpstreamsUpdated& event, TimePoint now)
{
    const auto update = [&](ManagedUpstream& target) {
        if (!acceptsRequests(target))
            this->rejectQueued(target, RefusalReason::NoUpstream, now);
        if (target.isRegistered && target.info.state != UpstreamState::Lost)
            return;
        const std::set<AttemptKey> activeSnapshot = this->activeAttempts;
        for (const AttemptKey& key : activeSnapshot) {
            Attempt& attempt = this->attempts.at(key);
            // A non-idempotent request may still get a response, and its owner could not retry it anyway.
            if (attempt.upstream == target.info.id && attempt.stage == Stage::InFlight && attempt.idempotent)
                this->endAttempt(key, attempt, ResultKind::Unknown, RefusalReason::UpstreamUnresponsive, now);
        }
    };
    for (const auto& info : event.changed) {
        ManagedUpstream& target = this->upstreamFor(info.id, now);
        target.info = info;
        target.isRegistered = true;
        update(target);
        this->dispatchQueued(target, now);
    }
    for (const UpstreamId id : event.removed) {
        const auto found = this->upstreams.find(id);
        if (found == this->upstreams.end())
            continue;
        found->second.isRegistered = false;
        update(found->second);
    }
}

void RequestHome::on(const HomeAssignmentsReplaced& event, TimePoint now)
{
    std::map<UpstreamId, bool> assigned;
    for (const auto& home : event.assignments)
        assigned[home.upstream] = home.inherited;
    for (auto& [id, target] : this->upstreams) {
        if (!target.isHome || assigned.contains(id))
            continue;
        target.isHome = false;
        this->actions.emplace_back(LogHomeEvent { Event::HomeLost, id, RefusalReason::None });
        this->rejectQueued(target, RefusalReason::HomeUnavailable, now);
        const std::set<AttemptKey> observationSnapshot = this->observations;
        for (const AttemptKey& key : observationSnapshot) {
            Attempt& attempt = this->attempts.at(key);
            if (attempt.upstream == id)
                this->cancelObservation(key, attempt, now);
        }
    }
    for (const auto& [id, inherited] : assigned) {
        ManagedUpstream& target = this->upstreamFor(id, now);
        if (target.isHome)
            continue;
        target.isHome = true;
        target.limiter.restartRamp(now);
        if (inherited)
            this->limitAfterTakeover(target, now);
        this->actions.emplace_back(LogHomeEvent { Event::HomeGained, id, RefusalReason::None });
    }
}

void RequestHome::on(const LeaseExtended& event, TimePoint now)
{
    const bool leaseLapsed
        = this->leaseUntil != TimePoint {} && now >= this->leaseUntil + this->settings.leaseLapseTolerance;
    this->leaseUntil = event.until;
    if (!leaseLapsed || event.until <= now)
        return;
    for (auto& [id, target] : this->upstreams) {
        if (target.isHome)
            this->limitAfterTakeover(target, now);
    }
}

void RequestHome::limitAfterTakeover(ManagedUpstream& target, TimePoint now) const
{
    if (!this->settings.assumeBusyAfterTakeover)
        return;
    target.dispatchBlockedUntil = now + this->settings.takeoverDelay;
    target.singleSlotUntil = now + this->settings.maxDeadline + this->settings.slotReleaseDelay;
}

void RequestHome::on(const LiveEntriesReplaced& event, TimePoint now)
{
    const std::set<PeerProcess> live { event.entries.begin(), event.entries.end() };
    const auto isOwnerGone = [&](const AttemptKey& key) {
        return !live.contains(PeerProcess { key.id.owner, key.id.epoch });
    };
    const std::set<AttemptKey> activeSnapshot = this->activeAttempts;
    for (const AttemptKey& key : activeSnapshot) {
        Attempt& attempt = this->attempts.at(key);
        if (attempt.stage != Stage::Queued || !isOwnerGone(key))
            continue;
        (void)this->upstreamFor(attempt.upstream, now).queue.remove(key);
        this->endAttempt(key, attempt, ResultKind::NotRun, RefusalReason::Cancelled, now);
    }
    const std::set<AttemptKey> observationSnapshot = this->observations;
    for (const AttemptKey& key : observationSnapshot) {
        if (isOwnerGone(key))
            this->cancelObservation(key, this->attempts.at(key), now);
    }
}

void RequestHome::on(const HomeStop&, TimePoint now)
{
    this->stopping = true;
    for (auto& [id, target] : this->upstreams)
        this->rejectQueued(target, RefusalReason::Stopping, now);
}

void RequestHome::on(const HomeTick&, TimePoint now)
{
    this->expireAttempts(now);
    this->purgeEnded(now);
    for (auto& [id, target] : this->upstreams) {
        if (!target.isHome)
            continue;
        (void)target.limiter.advance(now);
        this->dispatchQueued(target, now);
    }
}

} // namespace zinnia::request
