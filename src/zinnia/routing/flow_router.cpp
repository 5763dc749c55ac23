#include "zinnia/routing/flow_router.hpp"

#include <algorithm>
#include <utility>

namespace zinnia::routing {

using upstream::AnnouncedState;

namespace {

    /** Time for which a flow finished by its caller is kept, for retransmitted last packets. */
    constexpr Seconds finishedFlowRetention { 2 };
    /** Time for which an opening without a further packet is kept; callers abandon an opening after 1.4 s. */
    constexpr Seconds openingRetention { 3 };

    /** Bytes of an answer that one packet can acknowledge; more are a sign of a flow that was not followed. */
    constexpr std::uint32_t maxAnswerAdvance = 1U << 20;

    /** @return True if sequence number `left` follows `right`, modulo 2^32. */
    [[nodiscard]] bool isAfter(std::uint32_t left, std::uint32_t right) noexcept
    {
        return static_cast<std::int32_t>(left - right) > 0;
    }

    void decrement(std::uint32_t& count) noexcept
    {
        if (count > 0)
            --count;
    }

} // namespace

FlowRouter::FlowRouter(const FlowRouterSettings& settings)
    : settings { settings }
    , random { settings.seed }
    , spill { { .zone = settings.zone, .costPerKib = settings.load.zoneCostPerKib } }
    , uploads { settings.uploads }
{
}

bool FlowRouter::adopt(const feed::RoutingState& state, TimePoint now)
{
    if (state.revision <= this->current.revision)
        return false;
    for (const auto& zone : this->current.withdrawnZones) {
        const auto& withdrawn = state.withdrawnZones;
        if (std::find(withdrawn.begin(), withdrawn.end(), zone) == withdrawn.end())
            this->returnedZones.push_back({ zone, now + this->settings.zoneReturnDelay });
    }
    this->current = state;
    this->withdrawnZones = { state.withdrawnZones.begin(), state.withdrawnZones.end() };
    this->routeIndices.clear();
    for (std::size_t i = 0; i < state.routes.size(); ++i)
        this->routeIndices.emplace(state.routes[i].address, i);
    const auto isRoute = [this](const Endpoint& route) { return this->routeIndices.contains(route); };
    this->uploads.retain(isRoute);
    this->spill.retain(isRoute);
    return true;
}

bool FlowRouter::merge(const std::vector<upstream::AgedAnnouncement>& announcements, TimePoint now)
{
    const bool changed = this->upstreams.merge(announcements, now);
    this->checkDeparted(announcements, now);
    return changed;
}

RoutingDecision FlowRouter::route(const FlowPacket& packet, TimePoint now)
{
    if (packet.syn)
        return this->admitOpening(packet, now);
    if (packet.rst && this->admission.giveUp({ packet.caller, packet.service }))
        return { PacketAction::Drop, RoutingReason::None, nullptr };
    return this->routeEstablished(packet, now);
}

RoutingDecision FlowRouter::routeOpening(const FlowPacket& packet, std::optional<std::size_t> share, TimePoint now)
{
    const auto found = this->routeIndices.find(packet.service);
    if (found == this->routeIndices.end() && !this->synchronized)
        return { PacketAction::Hold, RoutingReason::NoState, nullptr };
    if (found == this->routeIndices.end())
        return { PacketAction::Reset, RoutingReason::NoRoute, nullptr };
    const FlowId id { packet.caller, packet.service };
    const auto tracked = this->flows.find(id);
    Flow* previous = nullptr;
    if (tracked != this->flows.end()) {
        const bool isRetransmission = tracked->second.sequence == packet.sequence;
        Upstream* assigned = this->upstreams.find(tracked->second.token);
        // A delayed transmission of the opening must not assign another upstream to an open flow.
        if (isRetransmission && tracked->second.established && assigned != nullptr)
            return { PacketAction::Forward, RoutingReason::None, assigned };
        if (isRetransmission && !tracked->second.established)
            previous = &tracked->second;
        else
            this->endFlow(tracked->second);
    }
    if (previous == nullptr && !this->uploads.admits(packet.service, this->waitingUploads))
        return { PacketAction::Reset, RoutingReason::LinkFull, nullptr };
    Upstream* chosen = previous != nullptr ? this->upstreamOfCopy(*previous, packet, now) : nullptr;
    if (chosen == nullptr)
        chosen = this->chooseAdmitted(this->current.routes[found->second], share, previous, now);
    if (chosen == nullptr && !this->synchronized)
        return { PacketAction::Hold, RoutingReason::NoState, nullptr };
    if (chosen == nullptr) {
        if (tracked != this->flows.end()) {
            this->endFlow(tracked->second);
            this->flows.erase(tracked);
        }
        return { PacketAction::Reset, this->noUpstreamReason, nullptr };
    }
    const bool moved = previous != nullptr && previous->token != chosen->token;
    Flow flow;
    flow.openedAt = now;
    if (previous != nullptr) {
        flow.otherTokens = moved ? std::array { previous->token, previous->otherTokens[0] } : previous->otherTokens;
        flow.openingCopies = previous->openingCopies + 1;
        flow.openedAt = previous->openedAt;
        this->endFlow(*previous);
    }
    flow.token = chosen->token;
    flow.sequence = packet.sequence;
    flow.firstSeenAt = now;
    flow.lastSeenAt = now;
    // An answer to a flow that is not tracked would not be seen.
    if (tracked != this->flows.end() || this->flows.size() < this->settings.maxFlows) {
        this->startRequest(flow, *chosen, now);
        this->flows.insert_or_assign(id, flow);
        ++chosen->flows;
        if (previous == nullptr || moved)
            ++chosen->openingsSinceHandshake;
        this->recordOpening(*chosen, packet.caller, now);
    }
    return { PacketAction::Forward, moved ? RoutingReason::CopyMoved : RoutingReason::None, chosen };
}

RoutingDecision FlowRouter::routeEstablished(const FlowPacket& packet, TimePoint now)
{
    const FlowId id { packet.caller, packet.service };
    auto tracked = this->flows.find(id);
    const RoutingToken token
        = tracked == this->flows.end() ? packet.token : this->tokenOfOpenFlow(tracked->second, packet.token);
    Upstream* upstream = this->upstreams.find(token);
    // The flow may be open at an upstream that is not known here yet, so it is not reset.
    if (upstream == nullptr && !this->synchronized)
        return { PacketAction::Hold, RoutingReason::NoState, nullptr };
    if (upstream == nullptr)
        return { PacketAction::Drop, RoutingReason::UnknownToken, nullptr };
    if (tracked != this->flows.end() && tracked->second.token == RoutingToken {}) {
        tracked->second.lastSeenAt = now;
        return { PacketAction::Forward, RoutingReason::None, upstream };
    }
    if (tracked != this->flows.end() && tracked->second.token != token) {
        // The caller uses another upstream than the tracked one, which has also answered the opening.
        this->endFlow(tracked->second);
        this->flows.erase(tracked);
        tracked = this->flows.end();
    }
    if (tracked == this->flows.end() && !packet.rst && this->flows.size() < this->settings.maxFlows) {
        Flow flow;
        flow.token = token;
        flow.sequence = packet.sequence;
        flow.acknowledged = packet.acknowledged;
        flow.established = true;
        flow.firstSeenAt = now;
        flow.lastSeenAt = now;
        tracked = this->flows.emplace(id, flow).first;
        ++upstream->flows;
    }
    const bool hasLeft = upstream->announcement.state == AnnouncedState::Gone;
    if (hasLeft && upstream->failure.isDead() && !packet.rst)
        return { PacketAction::Reset, RoutingReason::UpstreamGone, upstream };
    // Its departure may be an error of its sender, or not have been acknowledged.
    if (hasLeft && !packet.rst)
        this->requestHealthCheck(*upstream, this->settings.minHealthCheckInterval, now);
    if (tracked == this->flows.end())
        return { PacketAction::Forward, RoutingReason::None, upstream };
    if (upstream->failure.isDead() && packet.dataBytes > 0 && !packet.rst) {
        // The flow moved here from another router after this one found the upstream unreachable.
        if (now - *upstream->failure.unreachableAt < this->settings.failedHealthCheckValidity) {
            this->endFlow(tracked->second);
            this->flows.erase(tracked);
            return { PacketAction::Reset, RoutingReason::UpstreamDead, upstream };
        }
        this->requestHealthCheck(*upstream, this->settings.minHealthCheckInterval, now);
    }
    RoutingDecision decision { PacketAction::Forward, RoutingReason::None, upstream };
    this->trackPacket(tracked->second, *upstream, packet, decision, now);
    if (this->isStallThresholdReached(tracked->second, *upstream, packet)) {
        LivenessEvidence evidence = this->evidenceOf(*upstream, now);
        evidence.isStalled = true;
        if (assess(evidence) == Liveness::Dead) {
            this->endFlow(tracked->second);
            this->flows.erase(tracked);
            this->markDead(*upstream, now);
            return { PacketAction::Reset, RoutingReason::UpstreamDead, upstream };
        }
        upstream->openings.unansweredSince = upstream->openings.unansweredSince.value_or(now);
        // An upstream that works on long requests looks the same, so a health check decides on its flows.
        this->requestHealthCheck(*upstream, this->settings.minHealthCheckTimeout, now);
    }
    return decision;
}

RoutingToken FlowRouter::tokenOfOpenFlow(Flow& flow, RoutingToken received)
{
    if (flow.token == RoutingToken {} || received == flow.token)
        return received;
    if (received == RoutingToken {})
        return flow.token;
    const auto other = std::find(flow.otherTokens.begin(), flow.otherTokens.end(), received);
    if (other == flow.otherTokens.end())
        return received;
    // Two upstreams have answered transmissions of the opening, and callers return the token received last. The flow
    // belongs to the upstream that received the first packet after the opening.
    if (flow.established)
        return flow.token;
    Upstream* previous = this->upstreams.find(flow.token);
    const bool inFlight = flow.inFlight;
    this->finishRequest(flow, previous);
    if (previous != nullptr)
        decrement(previous->flows);
    if (Upstream* actual = this->upstreams.find(received); actual != nullptr) {
        ++actual->flows;
        if (inFlight) {
            flow.inFlight = true;
            ++actual->inFlight;
        }
    }
    std::swap(flow.token, *other);
    return received;
}

void FlowRouter::trackPacket(
    Flow& flow, Upstream& upstream, const FlowPacket& packet, RoutingDecision& decision, TimePoint now)
{
    flow.lastSeenAt = now;
    if (!flow.established) {
        // The end of the handshake implies that the upstream has answered the opening.
        flow.established = true;
        flow.acknowledged = packet.acknowledged;
        decision.handshakeTime = now - flow.firstSeenAt;
        upstream.openingsSinceHandshake = 0;
        this->recordHandshakeTime(*decision.handshakeTime, upstream.announcement.zone, now);
        this->recordAnswer(flow, packet.service, upstream, now);
    } else if (isAfter(packet.acknowledged, flow.acknowledged)) {
        this->spill.recordBytes(packet.service, std::min(packet.acknowledged - flow.acknowledged, maxAnswerAdvance));
        flow.acknowledged = packet.acknowledged;
        if (flow.awaitingAnswer) {
            decision.answerTime = now - flow.firstSeenAt;
            if (packet.dataBytes == 0) {
                flow.acknowledgesImmediately = true;
                this->recordAnswerTime(*decision.answerTime);
                ++upstream.answers;
                upstream.answerTime += *decision.answerTime;
            }
        }
        this->recordAnswer(flow, packet.service, upstream, now);
    }
    if (packet.rst || packet.fin) {
        this->endFlow(flow);
        return;
    }
    if (packet.dataBytes == 0)
        return;
    if (isAfter(packet.sequence, flow.sequence) || !flow.awaitingAnswer) {
        flow.sequence = packet.sequence;
        flow.firstSeenAt = now;
        flow.retransmissions = 0;
        flow.requestBytes = packet.dataBytes + (flow.awaitingAnswer ? flow.requestBytes : 0);
        this->spill.recordBytes(packet.service, packet.dataBytes);
        if (!std::exchange(flow.awaitingAnswer, true)) {
            ++upstream.requests;
            this->startRequest(flow, upstream, now);
            this->spill.recordRequest(packet.service);
            decision.startsRequest = true;
        }
    } else if (packet.sequence == flow.sequence && now - flow.firstSeenAt >= this->settings.minRetransmissionDelay) {
        ++flow.retransmissions;
        if (upstream.lastAnswerAt >= flow.firstSeenAt)
            return;
        if (!std::exchange(flow.stalled, true))
            ++upstream.failure.stalledFlows;
        this->requestHealthCheck(upstream, this->settings.minHealthCheckInterval, now);
    }
}

void FlowRouter::recordAnswer(Flow& flow, const Endpoint& route, Upstream& upstream, TimePoint now)
{
    upstream.lastAnswerAt = now;
    const bool wasSuspected = upstream.failure.isDead() || upstream.openings.isRejecting;
    upstream.clearFailures();
    if (wasSuspected)
        this->healthChanges.push_back({ upstream.announcement.number, SuspicionCause::None, 0, {} });
    flow.retransmissions = 0;
    if (std::exchange(flow.awaitingAnswer, false)) {
        decrement(upstream.requests);
        this->finishRequest(flow, &upstream);
        this->uploads.recordRequest(route, flow.requestBytes);
    }
    if (upstream.failure.stalledFlows > 0) {
        upstream.failure.stalledFlows = 0;
        for (auto& [id, other] : this->flows) {
            if (other.token == upstream.token)
                other.stalled = false;
        }
    }
}

void FlowRouter::endFlow(Flow& flow)
{
    if (flow.token == RoutingToken {})
        return;
    Upstream* upstream = this->upstreams.find(flow.token);
    this->finishRequest(flow, upstream);
    if (upstream != nullptr) {
        decrement(upstream->flows);
        if (flow.awaitingAnswer)
            decrement(upstream->requests);
        if (flow.stalled)
            decrement(upstream->failure.stalledFlows);
        // There is room for another flow, if it took none because it was full.
        if (flow.established && upstream->openings.isRejecting && !upstream->failure.isDead())
            upstream->openings = {};
    }
    flow.token = RoutingToken {};
    flow.awaitingAnswer = false;
    flow.stalled = false;
}

bool FlowRouter::isStallThresholdReached(const Flow& flow, const Upstream& upstream, const FlowPacket& packet) const
{
    if (!flow.stalled || packet.dataBytes == 0)
        return false;
    return upstream.failure.stalledFlows >= this->settings.stalledFlowThreshold
        || flow.retransmissions >= this->settings.retransmissionThreshold;
}

std::optional<Microseconds> FlowRouter::sinceLastAnswer(const Upstream& upstream, TimePoint now)
{
    return upstream.lastAnswerAt == TimePoint {} ? std::nullopt : std::optional { now - upstream.lastAnswerAt };
}

void FlowRouter::resetFlowsOf(Upstream& upstream, TimePoint now)
{
    const std::size_t resetsBefore = this->resets.size();
    for (auto flow = this->flows.begin(); flow != this->flows.end();) {
        if (flow->second.token != upstream.token || !flow->second.established) {
            ++flow;
            continue;
        }
        this->resets.push_back(
            { flow->first.caller, flow->first.service, flow->second.acknowledged, upstream.announcement.number });
        this->endFlow(flow->second);
        flow = this->flows.erase(flow);
    }
    this->healthChanges.push_back({ upstream.announcement.number, SuspicionCause::Unreachable,
        this->resets.size() - resetsBefore, this->sinceLastAnswer(upstream, now) });
}

void FlowRouter::expire(TimePoint now)
{
    std::erase_if(this->returnedZones, [now](const ReturnedZone& item) { return item.usableAt <= now; });
    for (auto flow = this->flows.begin(); flow != this->flows.end();) {
        Microseconds limit = this->current.flowIdle;
        if (!flow->second.established)
            limit = openingRetention;
        else if (flow->second.token == RoutingToken {})
            limit = finishedFlowRetention;
        if (now - flow->second.lastSeenAt <= limit) {
            ++flow;
            continue;
        }
        this->endFlow(flow->second);
        flow = this->flows.erase(flow);
    }
    for (auto& [token, upstream] : this->upstreams.all()) {
        const auto& since = upstream.openings.unansweredSince;
        if (since && !upstream.failure.isDead() && now - *since > this->settings.maxOpeningEvidenceAge)
            upstream.openings = {};
    }
    this->upstreams.removeExpired(now);
}

} // namespace zinnia::routing
