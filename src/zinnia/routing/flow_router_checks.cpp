#include "zinnia/routing/flow_router.hpp"

#include <algorithm>

namespace zinnia::routing {

using upstream::AnnouncedState;

void FlowRouter::checkOverdueAnswers(TimePoint now)
{
    const Microseconds answerTimeout = std::max<Microseconds>(
        this->settings.minAnswerTimeout, this->settings.answerTimeoutFactor * this->meanAnswerTime);
    for (const auto& [id, flow] : this->flows) {
        const bool isMonitored
            = flow.established && flow.awaitingAnswer && flow.acknowledgesImmediately && !flow.stalled;
        if (!isMonitored || now - flow.firstSeenAt < answerTimeout)
            continue;
        Upstream* upstream = this->upstreams.find(flow.token);
        if (upstream != nullptr && upstream->lastAnswerAt < flow.firstSeenAt)
            this->requestHealthCheck(*upstream, this->settings.minHealthCheckInterval, now);
    }
    this->expireRequests(now);
    // What to do with a copy has to be known 200 ms after the opening, also before the first handshake.
    const Microseconds openingTimeout
        = this->meanHandshakeTime == Microseconds { 0 } ? this->settings.minAnswerTimeout : this->handshakeTimeout();
    this->repeatOpenings(openingTimeout, now);
    for (auto& [token, upstream] : this->upstreams.all()) {
        const OpeningEvidence& openings = upstream.openings;
        // Further checks of an upstream that takes no flows are requested only when an opening arrives.
        if (openings.unansweredSince && !openings.isRejecting && !upstream.failure.isDead()
            && now - *openings.unansweredSince > openingTimeout)
            this->requestHealthCheck(upstream, this->settings.minHealthCheckInterval, now);
    }
}

void FlowRouter::repeatOpenings(Microseconds timeout, TimePoint now)
{
    for (auto& [id, flow] : this->flows) {
        const bool isOverdue = !flow.established && flow.token != RoutingToken {} && flow.openingCopies == 0
            && !flow.repeatedAt && now - flow.openedAt > timeout;
        // A copy of the caller is about to arrive, or has been lost.
        if (!isOverdue || now - flow.openedAt > this->settings.maxHandshakeTimeout)
            continue;
        const Upstream* upstream = this->upstreams.find(flow.token);
        if (upstream == nullptr || upstream->failure.isDead() || upstream->openings.isRejecting)
            continue;
        flow.repeatedAt = now;
        this->repeated.push_back({ id.caller, id.service, upstream });
    }
}

void FlowRouter::requestHealthCheck(Upstream& upstream, Milliseconds interval, TimePoint now)
{
    // No check is needed: the control instances receive nothing from a silent upstream either, and it is announced
    // again once it sends.
    if (upstream.announcement.state == AnnouncedState::Silent)
        return;
    FailureEvidence& failure = upstream.failure;
    if (failure.lastCheckAt && now - *failure.lastCheckAt < interval)
        return;
    failure.lastCheckAt = now;
    const auto connectTimeout
        = std::chrono::duration_cast<Milliseconds>(this->settings.healthCheckTimeoutFactor * this->meanHandshakeTime);
    this->healthChecks.push_back({ upstream.token, upstream.announcement.address,
        std::clamp(connectTimeout, this->settings.minHealthCheckTimeout, this->settings.maxHealthCheckTimeout) });
}

void FlowRouter::handleSuspicion(const upstream::AgedSuspicion& suspicion, TimePoint now)
{
    Upstream* upstream = this->upstreams.find(tokenOf(suspicion.upstream));
    const TimePoint suspectedAt = now - suspicion.age;
    // Each reply of a control instance repeats the current suspicions, with their age rounded to milliseconds.
    if (upstream == nullptr || suspectedAt - upstream->failure.lastSuspicionAt < this->settings.minHealthCheckInterval)
        return;
    upstream->failure.lastSuspicionAt = suspectedAt;
    if (!upstream->failure.isDead() && upstream->lastAnswerAt < suspectedAt)
        this->requestHealthCheck(*upstream, this->settings.minHealthCheckInterval, now);
}

void FlowRouter::finishHealthCheck(RoutingToken token, bool connected, TimePoint now)
{
    Upstream* upstream = this->upstreams.find(token);
    // The time is empty if the upstream was restarted or has answered since the check was requested.
    if (upstream == nullptr || !upstream->failure.lastCheckAt)
        return;
    LivenessEvidence evidence = this->evidenceOf(*upstream, now);
    evidence.connected = connected;
    const Liveness liveness = assess(evidence);
    if (connected)
        upstream->failure.reachedAt = now;
    if (liveness == Liveness::Dead) {
        ++upstream->failure.failedChecks;
        this->unreachable.push_back(upstream->announcement.number);
        this->markDead(*upstream, now);
    } else if (liveness == Liveness::Alive && upstream->failure.isDead()) {
        // One that is alive and takes no flows may still serve its open ones, so no other evidence ends.
        upstream->clearFailures();
        this->healthChanges.push_back({ upstream->announcement.number, SuspicionCause::None, 0, {} });
    }
}

LivenessEvidence FlowRouter::evidenceOf(const Upstream& upstream, TimePoint now) const
{
    const auto isNamed = [this](const std::string& service) {
        return std::any_of(this->current.services.begin(), this->current.services.end(),
            [&](const config::ServiceLimits& item) { return item.name == service; });
    };
    LivenessEvidence evidence;
    evidence.isSilent = upstream.announcement.state == AnnouncedState::Silent;
    evidence.hasLeft = upstream.announcement.state == AnnouncedState::Gone;
    evidence.isAddressClaimed = this->upstreams.isAddressClaimed(upstream, isNamed, now);
    return evidence;
}

void FlowRouter::checkDeparted(const std::vector<upstream::AgedAnnouncement>& announcements, TimePoint now)
{
    for (const auto& [announcement, age] : announcements) {
        Upstream* upstream = this->upstreams.find(tokenOf(announcement.number));
        const bool hasLeft = upstream != nullptr && upstream->announcement.state == AnnouncedState::Gone;
        if (hasLeft && upstream->flows > 0 && !upstream->failure.isDead())
            this->requestHealthCheck(*upstream, this->settings.minHealthCheckInterval, now);
    }
}

void FlowRouter::markDead(Upstream& upstream, TimePoint now)
{
    const bool wasDead = upstream.failure.isDead();
    upstream.failure.unreachableAt = now;
    if (!wasDead)
        this->resetFlowsOf(upstream, now);
    upstream.openings.unansweredSince = upstream.openings.unansweredSince.value_or(now);
}

} // namespace zinnia::routing
