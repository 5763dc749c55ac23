#include "zinnia/routing/flow_router.hpp"

#include <algorithm>
#include <utility>

namespace zinnia::routing {

using upstream::AnnouncedState;

namespace {

    /** Inverse weight of a new sample in the running means. */
    constexpr std::int64_t smoothingFactor = 8;

    /** @brief Adds a duration to an exponentially weighted mean; the first one becomes the mean. */
    void addToMean(Microseconds& mean, Microseconds duration)
    {
        mean += mean == Microseconds { 0 } ? duration : (duration - mean) / smoothingFactor;
    }

} // namespace

void FlowRouter::recordOpening(Upstream& upstream, const Endpoint& caller, TimePoint now)
{
    OpeningEvidence& evidence = upstream.openings;
    if (!evidence.unansweredSince) {
        evidence.unansweredSince = now;
    } else if (now - *evidence.unansweredSince > this->handshakeTimeout()) {
        // A retry after the backoff without an answer so far: the next backoff is longer.
        ++evidence.failedRetries;
        evidence.unansweredSince = now;
    }
    auto& callers = evidence.callers;
    const bool isNew = std::find(callers.begin(), callers.end(), caller.address) == callers.end();
    if (isNew && callers.size() < this->settings.unansweredCallerThreshold)
        callers.push_back(caller.address);
}

void FlowRouter::recordAnswerTime(Microseconds duration) { addToMean(this->meanAnswerTime, duration); }

void FlowRouter::recordHandshakeTime(Microseconds duration, const std::string& zone, TimePoint now)
{
    if (duration > this->settings.maxHandshakeTimeout)
        return;
    addToMean(this->meanHandshakeTime, duration);
    this->spill.recordHandshake(zone, duration, now);
}

Microseconds FlowRouter::handshakeTimeout() const
{
    if (this->meanHandshakeTime == Microseconds { 0 })
        return this->settings.maxHandshakeTimeout;
    return std::clamp<Microseconds>(this->settings.handshakeTimeoutFactor * this->meanHandshakeTime,
        this->settings.minHandshakeTimeout, this->settings.maxHandshakeTimeout);
}

bool FlowRouter::isAvoided(const Upstream& upstream, TimePoint now) const
{
    if (upstream.failure.isDead())
        return true;
    const OpeningEvidence& evidence = upstream.openings;
    if (!evidence.unansweredSince)
        return false;
    const Microseconds elapsed = now - *evidence.unansweredSince;
    const auto doublings = std::min<std::uint32_t>(evidence.failedRetries, 8);
    const Microseconds backoff = std::min<Microseconds>(
        this->settings.minBackoff * (std::int64_t { 1 } << doublings), this->settings.maxBackoff);
    // A second retry waits for the next backoff even while the answer to the first may still arrive.
    return elapsed < backoff && (evidence.failedRetries > 0 || elapsed > this->handshakeTimeout());
}

void FlowRouter::detectRejection(Upstream& upstream, TimePoint now)
{
    OpeningEvidence& evidence = upstream.openings;
    // When the platform changes the set of routers, some handshakes are completed through another router. Their
    // openings look unanswered here, so a later retry has to stay unanswered too.
    const bool isReached = evidence.failedRetries >= this->settings.failedRetryThreshold
        && evidence.callers.size() >= this->settings.unansweredCallerThreshold && evidence.unansweredSince
        && now - *evidence.unansweredSince > this->handshakeTimeout();
    if (!isReached || evidence.isRejecting || upstream.failure.isDead())
        return;
    evidence.isRejecting = true;
    this->healthChanges.push_back(
        { upstream.announcement.number, SuspicionCause::UnansweredOpenings, 0, this->sinceLastAnswer(upstream, now) });
}

Upstream* FlowRouter::upstreamOfCopy(const Flow& opening, const FlowPacket& packet, TimePoint now)
{
    Upstream* first = this->upstreams.find(opening.token);
    if (first == nullptr)
        return nullptr;
    FirstUpstream evidence;
    evidence.isUsable = this->isUsable(*first, now) && this->shareOf(packet.service, first->announcement.service);
    evidence.isDead = first->failure.isDead();
    evidence.isRejecting = first->openings.isRejecting;
    evidence.openedAt = opening.openedAt;
    evidence.reachedAt = first->failure.reachedAt;
    evidence.answeredAt = first->lastAnswerAt;
    evidence.openingsSinceHandshake = first->openingsSinceHandshake;
    evidence.copies = opening.openingCopies;
    evidence.hasIgnoredRepeat = opening.repeatedAt && now - *opening.repeatedAt > this->handshakeTimeout();
    return copyStays(evidence) ? first : nullptr;
}

Upstream* FlowRouter::chooseUpstream(const feed::CompactRoute& route, const Flow* previous, TimePoint now)
{
    std::uint64_t total = 0;
    for (const auto weight : route.weights)
        total += weight;
    if (total == 0)
        return nullptr;
    auto position = std::uniform_int_distribution<std::uint64_t> { 0, total - 1 }(this->random);
    std::size_t selected = 0;
    while (position >= route.weights[selected])
        position -= route.weights[selected++];
    this->noUpstreamReason = RoutingReason::NoUpstream;
    const config::ServiceLimits& preferred = this->current.services[route.services[selected]];
    Upstream* chosen = this->chooseUpstreamOfService(preferred, route.address, previous, now);
    // The share of a service without a usable upstream goes to the other services of the route.
    for (std::size_t i = 0; chosen == nullptr && i < route.services.size(); ++i) {
        if (i != selected && route.weights[i] > 0)
            chosen = this->chooseUpstreamOfService(
                this->current.services[route.services[i]], route.address, previous, now);
    }
    return chosen;
}

Upstream* FlowRouter::chooseUpstreamOfService(
    const config::ServiceLimits& service, const Endpoint& route, const Flow* previous, TimePoint now)
{
    Candidates sameZone;
    Candidates otherZones;
    Candidates fallbacks;
    for (Upstream* upstream : this->upstreams.findByService(service.name)) {
        if (!this->isUsable(*upstream, now))
            continue;
        // The earlier transmission of the opening is counted there already.
        const bool isAssigned = previous != nullptr && previous->token == upstream->token;
        if (!isAssigned && !this->hasRoom(*upstream, service.maxFlowsPerUpstream, now)) {
            this->noUpstreamReason = RoutingReason::FlowsFull;
            continue;
        }
        const bool alreadyTried = previous != nullptr
            && (previous->token == upstream->token || previous->otherTokens[0] == upstream->token);
        this->detectRejection(*upstream, now);
        const bool isAvoided = this->isAvoided(*upstream, now);
        if (isAvoided)
            this->requestHealthCheck(*upstream,
                this->settings.minHealthCheckInterval
                    * (1U << std::min<std::uint32_t>(upstream->failure.failedChecks, 3)),
                now);
        if (alreadyTried || isAvoided || upstream->announcement.state == AnnouncedState::Silent)
            fallbacks.push_back(upstream);
        else if (upstream->announcement.zone == this->settings.zone)
            sameZone.push_back(upstream);
        else
            otherZones.push_back(upstream);
    }
    // Known only with load sharing, and only while the last reply is fresh.
    const load::ServiceLoad* load = this->loadView.service(service.name, now);
    if (!sameZone.empty())
        return load != nullptr ? this->chooseByLoad(sameZone, otherZones, *load, service, route, now)
                               : this->leastLoaded(sameZone);
    if (!otherZones.empty()) {
        Upstream* chosen = this->leastLoaded(otherZones);
        if (this->settings.load.enabled)
            this->spill.count(chosen->announcement.zone, SpillCause::NoUpstream, Microseconds { 0 });
        return chosen;
    }
    // An upstream that is dead or takes no flows is retried at intervals; other callers are refused at once and may
    // retry later.
    std::erase_if(fallbacks, [&](const Upstream* upstream) {
        const OpeningEvidence& evidence = upstream->openings;
        return (upstream->failure.isDead() || evidence.isRejecting) && evidence.unansweredSince
            && now - *evidence.unansweredSince < this->settings.rejectedOpeningInterval;
    });
    return this->leastLoaded(fallbacks);
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
            // Reservoir sampling: each of the equally loaded candidates is kept with the same probability.
            ++ties;
            if (std::uniform_int_distribution<std::uint32_t> { 1, ties }(this->random) == 1)
                best = candidate;
        }
    }
    return best;
}

bool FlowRouter::hasRoom(const Upstream& upstream, std::uint32_t maxFlows, TimePoint now) const
{
    if (maxFlows == 0)
        return true;
    const load::UpstreamLoad* others = this->loadView.upstream(upstream.token, now);
    return std::uint64_t { upstream.flows } + (others == nullptr ? 0 : others->flows) < maxFlows;
}

bool FlowRouter::isUsable(const Upstream& upstream, TimePoint now) const
{
    const auto state = upstream.announcement.state;
    if (state == AnnouncedState::Gone || state == AnnouncedState::Draining || upstream.coldUntil > now)
        return false;
    return !this->isZoneUnavailable(upstream.announcement.zone, now);
}

bool FlowRouter::isZoneUnavailable(const std::string& zone, TimePoint now) const
{
    if (this->withdrawnZones.contains(zone))
        return true;
    return std::any_of(this->returnedZones.begin(), this->returnedZones.end(),
        [&](const ReturnedZone& returned) { return returned.zone == zone && returned.usableAt > now; });
}

} // namespace zinnia::routing
