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
    const auto found = this->stations.find(upstream);
    return found == this->stations.end() ? 0 : found->second.inFlight;
}

bool RequestHome::holdsLease(TimePoint now) const noexcept
{
    return !this->settings.requireLease || now < this->leaseUntil;
}

bool RequestHome::takesWork(const Station& station) noexcept
{
    const UpstreamState state = station.info.state;
    return station.present
        && (state == UpstreamState::Cold || state == UpstreamState::Warming || state == UpstreamState::Ready);
}

RequestHome::Station& RequestHome::stationOf(UpstreamId id, TimePoint now)
{
    const auto found = this->stations.find(id);
    if (found != this->stations.end())
        return found->second;
    const auto first = static_cast<std::uint16_t>(hashOf(this->seed, id.value, this->self.epoch.value));
    return this->stations
        .emplace(id,
            Station { {}, false, false, upstream::ColdStartLimiter { this->settings.coldStart, now },
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
            this->send(key, known->second.result);
            return;
        }
        this->releaseSlot(key, known->second);
        this->tokens.erase(known->second.token);
    }
    if (this->attempts.size() >= this->settings.maxAttempts)
        return; // Silence is the only answer that needs no record: the owner ends up with "unknown".
    const RefusalReason reason = this->admission(request, now);
    Attempt attempt;
    attempt.upstream = request.upstream;
    attempt.priority = request.priority;
    attempt.idempotent = request.idempotent;
    attempt.observe = request.observe;
    attempt.deadline = now + std::min(request.deadlineLeft, this->settings.maxDeadline);
    attempt.message = request.message;
    attempt.result = RequestResult { request.id, request.attempt, request.upstream, ResultKind::Accepted, {}, {}, {} };
    Attempt& stored = this->attempts.insert_or_assign(key, std::move(attempt)).first->second;
    if (request.homeEpoch != this->self.epoch) {
        // The process before this one may have run it.
        this->end(key, stored, ResultKind::Unknown, RefusalReason::HomeUnavailable, now);
        return;
    }
    if (reason != RefusalReason::None) {
        this->end(key, stored, ResultKind::NotRun, reason, now);
        return;
    }
    this->active.insert(key);
    Station& station = this->stationOf(request.upstream, now);
    if (const auto shed = station.queue.push(request.priority, key)) {
        this->actions.emplace_back(LogHomeEvent { Event::QueueShed, request.upstream, RefusalReason::QueueFull });
        this->end(*shed, this->attempts.at(*shed), ResultKind::NotRun, RefusalReason::QueueFull, now);
    }
    if (stored.stage == Stage::Queued)
        this->send(key, stored.result);
    this->pump(station, now);
}

RefusalReason RequestHome::admission(const DispatchRequest& request, TimePoint now)
{
    if (this->stopping)
        return RefusalReason::Stopping;
    Station& station = this->stationOf(request.upstream, now);
    // Without the lease a request waits: it comes back within a second, or the home moves and the queue is returned.
    if (!station.isHome)
        return RefusalReason::HomeUnavailable;
    if (!takesWork(station))
        return RefusalReason::NoUpstream;
    if (request.deadlineLeft <= Milliseconds { 0 })
        return RefusalReason::DeadlineExceeded;
    if (now + request.deadlineLeft <= station.pausedUntil)
        return RefusalReason::UpstreamShedding;
    const auto usual = station.detector.median(request.priority);
    if (!this->settings.refuseInfeasibleDeadlines || !usual)
        return RefusalReason::None;
    const std::uint32_t limit = std::max(1U, station.limiter.slotLimit(station.info.slots));
    const auto ahead = static_cast<std::int64_t>(station.queue.ahead(request.priority));
    const Milliseconds wait = *usual * ahead / limit;
    return wait + *usual > request.deadlineLeft ? RefusalReason::DeadlineExceeded : RefusalReason::None;
}

void RequestHome::on(const CancelReceived& event, TimePoint now)
{
    const AttemptKey key { event.request.id, event.request.attempt };
    const auto known = this->attempts.find(key);
    if (known == this->attempts.end()) {
        // The cancellation overtook the request, which must not run when it arrives.
        if (this->attempts.size() >= this->settings.maxAttempts)
            return;
        Attempt& attempt = this->attempts[key];
        attempt.upstream = event.request.upstream;
        attempt.result = RequestResult { key.id, key.attempt, attempt.upstream, ResultKind::Accepted, {}, {}, {} };
        this->end(key, attempt, ResultKind::NotRun, RefusalReason::Cancelled, now);
        return;
    }
    Attempt& attempt = known->second;
    switch (attempt.stage) {
    case Stage::Queued:
        (void)this->stationOf(attempt.upstream, now).queue.remove(key);
        this->end(key, attempt, ResultKind::NotRun, RefusalReason::Cancelled, now);
        break;
    case Stage::InFlight: {
        CoapMessage reset;
        reset.type = CoapType::Reset;
        reset.messageId = attempt.messageId;
        const Station& station = this->stationOf(attempt.upstream, now);
        this->actions.emplace_back(SendToUpstream { attempt.upstream, station.info.address, std::move(reset) });
        this->end(key, attempt, ResultKind::Unknown, RefusalReason::Cancelled, now);
        break;
    }
    case Stage::Observing:
        this->deregister(key, attempt, now);
        break;
    case Stage::Ended:
        break;
    }
}

void RequestHome::on(const UpstreamsUpdated& event, TimePoint now)
{
    const auto update = [&](Station& station) {
        if (!takesWork(station))
            this->returnQueue(station, RefusalReason::NoUpstream, now);
        if (station.present && station.info.state != UpstreamState::Lost)
            return;
        const std::set<AttemptKey> held = this->active;
        for (const AttemptKey& key : held) {
            Attempt& attempt = this->attempts.at(key);
            // A non-idempotent request may still be answered, and its owner could not send it again anyway.
            if (attempt.upstream == station.info.id && attempt.stage == Stage::InFlight && attempt.idempotent)
                this->end(key, attempt, ResultKind::Unknown, RefusalReason::UpstreamUnresponsive, now);
        }
    };
    for (const auto& info : event.changed) {
        Station& station = this->stationOf(info.id, now);
        station.info = info;
        station.present = true;
        update(station);
        this->pump(station, now);
    }
    for (const UpstreamId id : event.removed) {
        const auto found = this->stations.find(id);
        if (found == this->stations.end())
            continue;
        found->second.present = false;
        update(found->second);
    }
}

void RequestHome::on(const HomeAssignmentsReplaced& event, TimePoint now)
{
    std::map<UpstreamId, bool> assigned;
    for (const auto& home : event.assignments)
        assigned[home.upstream] = home.inherited;
    for (auto& [id, station] : this->stations) {
        if (!station.isHome || assigned.contains(id))
            continue;
        station.isHome = false;
        this->actions.emplace_back(LogHomeEvent { Event::HomeLost, id, RefusalReason::None });
        this->returnQueue(station, RefusalReason::HomeUnavailable, now);
        const std::set<AttemptKey> watched = this->observations;
        for (const AttemptKey& key : watched) {
            Attempt& attempt = this->attempts.at(key);
            if (attempt.upstream == id)
                this->deregister(key, attempt, now);
        }
    }
    for (const auto& [id, inherited] : assigned) {
        Station& station = this->stationOf(id, now);
        if (station.isHome)
            continue;
        station.isHome = true;
        station.limiter.restartRamp(now);
        if (inherited)
            this->beCautious(station, now);
        this->actions.emplace_back(LogHomeEvent { Event::HomeGained, id, RefusalReason::None });
    }
}

void RequestHome::on(const LeaseExtended& event, TimePoint now)
{
    const bool lapsed
        = this->leaseUntil != TimePoint {} && now >= this->leaseUntil + this->settings.leaseLapseTolerance;
    this->leaseUntil = event.until;
    if (!lapsed || event.until <= now)
        return;
    for (auto& [id, station] : this->stations) {
        if (station.isHome)
            this->beCautious(station, now);
    }
}

void RequestHome::beCautious(Station& station, TimePoint now) const
{
    if (!this->settings.assumeBusyAfterTakeover)
        return;
    station.settledAt = now + this->settings.takeoverDelay;
    station.cautiousUntil = now + this->settings.maxDeadline + this->settings.slotReleaseDelay;
}

void RequestHome::on(const LiveEntriesReplaced& event, TimePoint now)
{
    const std::set<PeerProcess> live { event.entries.begin(), event.entries.end() };
    const auto isGone = [&](const AttemptKey& key) {
        return !live.contains(PeerProcess { key.id.owner, key.id.epoch });
    };
    const std::set<AttemptKey> held = this->active;
    for (const AttemptKey& key : held) {
        Attempt& attempt = this->attempts.at(key);
        if (attempt.stage != Stage::Queued || !isGone(key))
            continue;
        (void)this->stationOf(attempt.upstream, now).queue.remove(key);
        this->end(key, attempt, ResultKind::NotRun, RefusalReason::Cancelled, now);
    }
    const std::set<AttemptKey> watched = this->observations;
    for (const AttemptKey& key : watched) {
        if (isGone(key))
            this->deregister(key, this->attempts.at(key), now);
    }
}

void RequestHome::on(const HomeStop&, TimePoint now)
{
    this->stopping = true;
    for (auto& [id, station] : this->stations)
        this->returnQueue(station, RefusalReason::Stopping, now);
}

void RequestHome::on(const HomeTick&, TimePoint now)
{
    this->expireActive(now);
    this->forgetEnded(now);
    for (auto& [id, station] : this->stations) {
        if (!station.isHome)
            continue;
        (void)station.limiter.advance(now);
        this->pump(station, now);
    }
}

} // namespace zinnia::request
