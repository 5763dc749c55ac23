#include "zinnia/routing/flow_router.hpp"

#include <algorithm>

namespace zinnia::routing {

using upstream::AnnouncedState;

void FlowRouter::watch(TimePoint now)
{
    const Microseconds overdue
        = std::max<Microseconds>(this->settings.shortestAnswer, this->settings.answerFactor * this->usualAnswer);
    for (const auto& [id, flow] : this->flows) {
        const bool isWatched = flow.established && flow.waiting && flow.acknowledgesAtOnce && !flow.stalled;
        if (!isWatched || now - flow.sentAt < overdue)
            continue;
        Upstream* upstream = this->upstreams.find(flow.token);
        if (upstream != nullptr && upstream->answeredAt < flow.sentAt)
            this->requestCheck(*upstream, this->settings.checkInterval, now);
    }
    const Microseconds timeout = this->handshakeTimeout();
    for (auto& [token, upstream] : this->upstreams.all()) {
        // A dead upstream is checked again only on behalf of openings.
        if (upstream.unansweredSince && !upstream.unreachableAt && !upstream.dead
            && now - *upstream.unansweredSince > timeout)
            this->requestCheck(upstream, this->settings.checkInterval, now);
    }
}

void FlowRouter::requestCheck(Upstream& upstream, Milliseconds interval, TimePoint now)
{
    // The control instances receive nothing from a silent upstream either; it is announced again when it returns.
    if (upstream.announced.state == AnnouncedState::Gone || upstream.announced.state == AnnouncedState::Silent)
        return;
    if (upstream.checkedAt && now - *upstream.checkedAt < interval)
        return;
    upstream.checkedAt = now;
    const auto usual = std::chrono::duration_cast<Milliseconds>(this->settings.checkFactor * this->usualHandshake);
    this->checks.push_back({ upstream.token, upstream.announced.address,
        std::clamp(usual, this->settings.shortestCheck, this->settings.longestCheck) });
}

void FlowRouter::suspect(const upstream::AgedSuspicion& suspicion, TimePoint now)
{
    Upstream* upstream = this->upstreams.find(tokenOf(suspicion.upstream));
    const TimePoint at = now - suspicion.age;
    // Each reply repeats current suspicions, with their age rounded to milliseconds.
    if (upstream == nullptr || at - upstream->suspectedAt < this->settings.checkInterval)
        return;
    upstream->suspectedAt = at;
    if (!upstream->unreachableAt && upstream->answeredAt < at)
        this->requestCheck(*upstream, this->settings.checkInterval, now);
}

void FlowRouter::checked(RoutingToken token, bool connected, TimePoint now)
{
    Upstream* upstream = this->upstreams.find(token);
    // An empty time means that the upstream was restarted or has answered since the check was requested.
    if (upstream == nullptr || !upstream->checkedAt)
        return;
    if (connected) {
        if (!upstream->unreachableAt)
            return;
        upstream->forgive();
        this->notes.push_back({ upstream->announced.number, SuspicionCause::None, 0, {} });
        return;
    }
    ++upstream->failedChecks;
    upstream->unansweredSince = upstream->unansweredSince.value_or(now);
    upstream->unreachableAt = now;
    this->findings.push_back(upstream->announced.number);
    if (!upstream->dead)
        this->resetFlowsOf(*upstream, SuspicionCause::Unreachable, now);
}

} // namespace zinnia::routing
