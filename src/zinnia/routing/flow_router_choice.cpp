#include "zinnia/routing/flow_router.hpp"

#include <algorithm>
#include <utility>

namespace zinnia::routing {

using upstream::AnnouncedState;

namespace {

    /** Weight of the past in running means. */
    constexpr std::int64_t smoothing = 8;

} // namespace

void FlowRouter::noteOpening(Upstream& upstream, const Endpoint& caller, TimePoint now)
{
    if (!upstream.unansweredSince) {
        upstream.unansweredSince = now;
    } else if (now - *upstream.unansweredSince > this->handshakeTimeout()) {
        // A try after the time of avoidance: the next one is due later.
        ++upstream.failedTries;
        upstream.unansweredSince = now;
    }
    auto& openings = upstream.unanswered;
    const bool isNew = std::none_of(openings.begin(), openings.end(),
        [&](const UnansweredOpening& opening) { return opening.caller == caller.address; });
    if (isNew && openings.size() < this->settings.unansweredCallers)
        openings.push_back({ caller.address, now });
}

void FlowRouter::noteAnswer(Microseconds duration)
{
    this->usualAnswer
        += this->usualAnswer == Microseconds { 0 } ? duration : (duration - this->usualAnswer) / smoothing;
}

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
        // A dead one is checked again only while openings ask for it.
        if (upstream.unansweredSince && !upstream.unreachableAt && !upstream.dead
            && now - *upstream.unansweredSince > timeout)
            this->requestCheck(upstream, this->settings.checkInterval, now);
    }
}

void FlowRouter::noteHandshake(Microseconds duration)
{
    if (duration > this->settings.longestHandshake)
        return;
    this->usualHandshake
        += this->usualHandshake == Microseconds { 0 } ? duration : (duration - this->usualHandshake) / smoothing;
}

Microseconds FlowRouter::handshakeTimeout() const
{
    if (this->usualHandshake == Microseconds { 0 })
        return this->settings.longestHandshake;
    return std::clamp<Microseconds>(this->settings.handshakeFactor * this->usualHandshake,
        this->settings.shortestHandshake, this->settings.longestHandshake);
}

void FlowRouter::requestCheck(Upstream& upstream, Milliseconds interval, TimePoint now)
{
    // Of a silent one the control instances hear nothing either; it is announced again when it returns.
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
    // The same suspicion comes with each reply, its age rounded to milliseconds.
    if (upstream == nullptr || at - upstream->suspectedAt < this->settings.checkInterval)
        return;
    upstream->suspectedAt = at;
    if (!upstream->unreachableAt && upstream->answeredAt < at)
        this->requestCheck(*upstream, this->settings.checkInterval, now);
}

void FlowRouter::checked(RoutingToken token, bool connected, TimePoint now)
{
    Upstream* upstream = this->upstreams.find(token);
    // Without a time it was announced as restarted, or has answered, since the check began.
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

bool FlowRouter::isAvoided(const Upstream& upstream, TimePoint now) const
{
    if (upstream.unreachableAt)
        return true;
    if (!upstream.unansweredSince)
        return false;
    const Microseconds since = now - *upstream.unansweredSince;
    const auto doublings = std::min<std::uint32_t>(upstream.failedTries, 8);
    const Microseconds pause = std::min<Microseconds>(
        this->settings.avoidance * (std::int64_t { 1 } << doublings), this->settings.longestAvoidance);
    // A second try waits for the next pause, also while the answer to the first may still come.
    return since < pause && (upstream.failedTries > 0 || since > this->handshakeTimeout());
}

bool FlowRouter::isDeadToOpenings(const Upstream& upstream, TimePoint now) const
{
    // When the platform changes the set of routers, the rest of some handshakes passes another one. Such openings look
    // unanswered, so a later try has to stay without an answer too.
    return upstream.failedTries >= this->settings.failedTries
        && upstream.unanswered.size() >= this->settings.unansweredCallers && upstream.unansweredSince
        && now - *upstream.unansweredSince > this->handshakeTimeout();
}

Upstream* FlowRouter::choose(const feed::CompactRoute& route, const Flow* previous, TimePoint now)
{
    std::uint64_t total = 0;
    for (const auto weight : route.weights)
        total += weight;
    if (total == 0)
        return nullptr;
    auto point = std::uniform_int_distribution<std::uint64_t> { 0, total - 1 }(this->random);
    std::size_t first = 0;
    while (point >= route.weights[first])
        point -= route.weights[first++];
    Upstream* chosen = this->chooseOf(this->current.services[route.services[first]].name, previous, now);
    // A service without upstreams leaves its share to the others of the route.
    for (std::size_t i = 0; chosen == nullptr && i < route.services.size(); ++i) {
        if (i != first && route.weights[i] > 0)
            chosen = this->chooseOf(this->current.services[route.services[i]].name, previous, now);
    }
    return chosen;
}

Upstream* FlowRouter::chooseOf(const std::string& service, const Flow* previous, TimePoint now)
{
    Candidates own;
    Candidates others;
    Candidates avoided;
    for (Upstream* upstream : this->upstreams.ofService(service)) {
        if (!this->isUsable(*upstream, now))
            continue;
        const bool isTried
            = previous != nullptr && (previous->token == upstream->token || previous->tried[0] == upstream->token);
        if (!upstream->dead && this->isDeadToOpenings(*upstream, now))
            this->resetFlowsOf(*upstream, SuspicionCause::UnansweredOpenings, now);
        const bool isAvoided = this->isAvoided(*upstream, now);
        if (isAvoided)
            this->requestCheck(*upstream,
                this->settings.checkInterval * (1U << std::min<std::uint32_t>(upstream->failedChecks, 3)), now);
        if (isTried || isAvoided || upstream->announced.state == AnnouncedState::Silent)
            avoided.push_back(upstream);
        else if (upstream->announced.zone == this->settings.zone)
            own.push_back(upstream);
        else
            others.push_back(upstream);
    }
    if (!own.empty())
        return this->leastLoaded(own);
    if (!others.empty())
        return this->leastLoaded(others);
    // A dead upstream is tried now and then; the other callers are refused at once and may try again later.
    std::erase_if(avoided, [&](const Upstream* upstream) {
        return upstream->dead && upstream->unansweredSince
            && now - *upstream->unansweredSince < this->settings.lastResortPause;
    });
    return this->leastLoaded(avoided);
}

Upstream* FlowRouter::leastLoaded(const Candidates& candidates)
{
    Upstream* best = nullptr;
    std::uint32_t ties = 0;
    const auto loadOf = [](const Upstream& upstream) { return upstream.flows + upstream.requests; };
    for (Upstream* candidate : candidates) {
        if (best == nullptr || loadOf(*candidate) < loadOf(*best)) {
            best = candidate;
            ties = 1;
        } else if (loadOf(*candidate) == loadOf(*best)) {
            // Each of the equal ones is kept with the same probability.
            ++ties;
            if (std::uniform_int_distribution<std::uint32_t> { 1, ties }(this->random) == 1)
                best = candidate;
        }
    }
    return best;
}

bool FlowRouter::isUsable(const Upstream& upstream, TimePoint now) const
{
    const auto state = upstream.announced.state;
    if (state == AnnouncedState::Gone || state == AnnouncedState::Draining || upstream.coldUntil > now)
        return false;
    return !this->isOutOfService(upstream.announced.zone, now);
}

bool FlowRouter::isOutOfService(const std::string& zone, TimePoint now) const
{
    if (this->withdrawn.contains(zone))
        return true;
    return std::any_of(this->returned.begin(), this->returned.end(),
        [&](const ReturnedZone& item) { return item.zone == zone && item.usableAt > now; });
}

} // namespace zinnia::routing
