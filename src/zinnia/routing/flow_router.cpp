#include "zinnia/routing/flow_router.hpp"

#include "zinnia/core/hash.hpp"

#include <algorithm>
#include <utility>

namespace zinnia::routing {

using upstream::AnnouncedState;

namespace {

    /** Time for which a flow finished by its caller is kept, for retransmitted last packets. */
    constexpr Seconds finishedMemory { 2 };
    /** Time for which an opening without a further packet is kept; callers abandon an opening after 1.4 s. */
    constexpr Seconds openingMemory { 3 };

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

std::size_t FlowRouter::FlowIdHash::operator()(const FlowId& id) const noexcept
{
    return hashOf(0, id.caller.address, id.caller.port, id.service.address, id.service.port);
}

FlowRouter::FlowRouter(const FlowRouterSettings& settings)
    : settings { settings }
    , random { settings.seed }
{
}

bool FlowRouter::adopt(const feed::RoutingState& state, TimePoint now)
{
    if (state.revision <= this->current.revision)
        return false;
    for (const auto& zone : this->current.withdrawnZones) {
        const auto& still = state.withdrawnZones;
        if (std::find(still.begin(), still.end(), zone) == still.end())
            this->returned.push_back({ zone, now + this->settings.returnDelay });
    }
    this->current = state;
    this->withdrawn = { state.withdrawnZones.begin(), state.withdrawnZones.end() };
    this->routeOf.clear();
    for (std::size_t i = 0; i < state.routes.size(); ++i)
        this->routeOf.emplace(state.routes[i].address, i);
    return true;
}

bool FlowRouter::merge(const std::vector<upstream::AgedAnnouncement>& announcements, TimePoint now)
{
    return this->upstreams.merge(announcements, now);
}

RoutingDecision FlowRouter::route(const FlowPacket& packet, TimePoint now)
{
    return packet.opens ? this->open(packet, now) : this->forward(packet, now);
}

RoutingDecision FlowRouter::open(const FlowPacket& packet, TimePoint now)
{
    const auto found = this->routeOf.find(packet.service);
    if (found == this->routeOf.end() && !this->complete)
        return { PacketAction::Hold, RoutingReason::NoState, nullptr };
    if (found == this->routeOf.end())
        return { PacketAction::Reset, RoutingReason::NoRoute, nullptr };
    const FlowId id { packet.caller, packet.service };
    const auto known = this->flows.find(id);
    Flow* previous = nullptr;
    if (known != this->flows.end()) {
        const bool isCopy = known->second.sequence == packet.sequence;
        Upstream* holder = this->upstreams.find(known->second.token);
        // A delayed transmission of the opening must not assign another upstream to an open flow.
        if (isCopy && known->second.established && holder != nullptr)
            return { PacketAction::Forward, RoutingReason::None, holder };
        if (isCopy && !known->second.established)
            previous = &known->second;
        else
            this->end(known->second);
    }
    Upstream* chosen = this->choose(this->current.routes[found->second], previous, now);
    if (chosen == nullptr && !this->complete)
        return { PacketAction::Hold, RoutingReason::NoState, nullptr };
    if (chosen == nullptr) {
        if (known != this->flows.end()) {
            this->end(known->second);
            this->flows.erase(known);
        }
        return { PacketAction::Reset, RoutingReason::NoUpstream, nullptr };
    }
    const bool moved = previous != nullptr && previous->token != chosen->token;
    Flow flow;
    if (previous != nullptr) {
        flow.tried = { previous->token, previous->tried[0] };
        this->end(*previous);
    }
    flow.token = chosen->token;
    flow.sequence = packet.sequence;
    flow.sentAt = now;
    flow.seenAt = now;
    if (known != this->flows.end())
        known->second = flow;
    else if (this->flows.size() < this->settings.flowLimit)
        this->flows.emplace(id, flow);
    ++chosen->flows;
    this->noteOpening(*chosen, packet.caller, now);
    return { PacketAction::Forward, moved ? RoutingReason::CopyMoved : RoutingReason::None, chosen };
}

RoutingDecision FlowRouter::forward(const FlowPacket& packet, TimePoint now)
{
    const FlowId id { packet.caller, packet.service };
    auto known = this->flows.find(id);
    const RoutingToken token
        = known == this->flows.end() ? packet.token : this->tokenOfOpenFlow(known->second, packet.token);
    Upstream* upstream = this->upstreams.find(token);
    // The flow may be open at an upstream that is not known here yet, so it is not reset.
    if (upstream == nullptr && !this->complete)
        return { PacketAction::Hold, RoutingReason::NoState, nullptr };
    if (upstream == nullptr)
        return { PacketAction::Drop, RoutingReason::UnknownToken, nullptr };
    if (known != this->flows.end() && known->second.token == RoutingToken {}) {
        known->second.seenAt = now;
        return { PacketAction::Forward, RoutingReason::None, upstream };
    }
    if (known != this->flows.end() && known->second.token != token) {
        // The caller uses another upstream than the tracked one, which has also answered the opening.
        this->end(known->second);
        this->flows.erase(known);
        known = this->flows.end();
    }
    if (known == this->flows.end() && !packet.aborts && this->flows.size() < this->settings.flowLimit) {
        Flow flow;
        flow.token = token;
        flow.sequence = packet.sequence;
        flow.acknowledged = packet.acknowledged;
        flow.established = true;
        flow.sentAt = now;
        flow.seenAt = now;
        known = this->flows.emplace(id, flow).first;
        ++upstream->flows;
    }
    if (upstream->announced.state == AnnouncedState::Gone && !packet.aborts)
        return { PacketAction::Reset, RoutingReason::UpstreamGone, upstream };
    if (known == this->flows.end())
        return { PacketAction::Forward, RoutingReason::None, upstream };
    if (upstream->unreachableAt && packet.dataBytes > 0 && !packet.aborts) {
        // The flow moved here from another router after this one found the upstream unreachable.
        if (now - *upstream->unreachableAt < this->settings.checkValidity) {
            this->end(known->second);
            this->flows.erase(known);
            return { PacketAction::Reset, RoutingReason::UpstreamDead, upstream };
        }
        this->requestCheck(*upstream, this->settings.checkInterval, now);
    }
    RoutingDecision decision { PacketAction::Forward, RoutingReason::None, upstream };
    this->observe(known->second, *upstream, packet, decision, now);
    if (this->isDead(known->second, *upstream, packet)) {
        this->end(known->second);
        this->flows.erase(known);
        upstream->unansweredSince = upstream->unansweredSince.value_or(now);
        this->resetFlowsOf(*upstream, SuspicionCause::StalledFlows, now);
        return { PacketAction::Reset, RoutingReason::UpstreamDead, upstream };
    }
    return decision;
}

RoutingToken FlowRouter::tokenOfOpenFlow(Flow& flow, RoutingToken received)
{
    if (flow.token == RoutingToken {} || received == flow.token)
        return received;
    if (received == RoutingToken {})
        return flow.token;
    const auto tried = std::find(flow.tried.begin(), flow.tried.end(), received);
    if (tried == flow.tried.end())
        return received;
    // Two upstreams have answered transmissions of the opening, and callers return the token received last. The flow
    // belongs to the upstream that received the first packet after the opening.
    if (flow.established)
        return flow.token;
    if (Upstream* left = this->upstreams.find(flow.token); left != nullptr)
        decrement(left->flows);
    if (Upstream* taken = this->upstreams.find(received); taken != nullptr)
        ++taken->flows;
    std::swap(flow.token, *tried);
    return received;
}

void FlowRouter::observe(
    Flow& flow, Upstream& upstream, const FlowPacket& packet, RoutingDecision& decision, TimePoint now)
{
    flow.seenAt = now;
    if (!flow.established) {
        // The end of the handshake implies that the upstream has answered the opening.
        flow.established = true;
        flow.acknowledged = packet.acknowledged;
        decision.handshake = now - flow.sentAt;
        this->noteHandshake(*decision.handshake);
        this->answered(flow, upstream, now);
    } else if (isAfter(packet.acknowledged, flow.acknowledged)) {
        flow.acknowledged = packet.acknowledged;
        if (flow.waiting) {
            decision.answer = now - flow.sentAt;
            if (packet.dataBytes == 0) {
                flow.acknowledgesAtOnce = true;
                this->noteAnswer(*decision.answer);
            }
        }
        this->answered(flow, upstream, now);
    }
    if (packet.aborts || packet.finishes) {
        this->end(flow);
        return;
    }
    if (packet.dataBytes == 0)
        return;
    if (isAfter(packet.sequence, flow.sequence) || !flow.waiting) {
        flow.sequence = packet.sequence;
        flow.sentAt = now;
        flow.repeats = 0;
        if (!std::exchange(flow.waiting, true)) {
            ++upstream.requests;
            decision.startsRequest = true;
        }
    } else if (packet.sequence == flow.sequence && now - flow.sentAt >= this->settings.shortestRepeat) {
        ++flow.repeats;
        if (upstream.answeredAt >= flow.sentAt)
            return;
        if (!std::exchange(flow.stalled, true))
            ++upstream.stalledFlows;
        this->requestCheck(upstream, this->settings.checkInterval, now);
    }
}

void FlowRouter::answered(Flow& flow, Upstream& upstream, TimePoint now)
{
    upstream.answeredAt = now;
    const bool wasDead = upstream.dead;
    upstream.forgive();
    if (wasDead)
        this->notes.push_back({ upstream.announced.number, SuspicionCause::None, 0, {} });
    flow.repeats = 0;
    if (std::exchange(flow.waiting, false))
        decrement(upstream.requests);
    if (upstream.stalledFlows > 0) {
        upstream.stalledFlows = 0;
        for (auto& [id, other] : this->flows) {
            if (other.token == upstream.token)
                other.stalled = false;
        }
    }
}

void FlowRouter::end(Flow& flow)
{
    if (flow.token == RoutingToken {})
        return;
    if (Upstream* upstream = this->upstreams.find(flow.token); upstream != nullptr) {
        decrement(upstream->flows);
        if (flow.waiting)
            decrement(upstream->requests);
        if (flow.stalled)
            decrement(upstream->stalledFlows);
    }
    flow.token = RoutingToken {};
    flow.waiting = false;
    flow.stalled = false;
}

bool FlowRouter::isDead(const Flow& flow, const Upstream& upstream, const FlowPacket& packet) const
{
    if (!flow.stalled || packet.dataBytes == 0)
        return false;
    return upstream.stalledFlows >= this->settings.stalledFlows || flow.repeats >= this->settings.repeats;
}

void FlowRouter::resetFlowsOf(Upstream& upstream, SuspicionCause cause, TimePoint now)
{
    upstream.dead = true;
    const std::size_t before = this->resets.size();
    for (auto flow = this->flows.begin(); flow != this->flows.end();) {
        if (flow->second.token != upstream.token || !flow->second.established) {
            ++flow;
            continue;
        }
        this->resets.push_back(
            { flow->first.caller, flow->first.service, flow->second.acknowledged, upstream.announced.number });
        this->end(flow->second);
        flow = this->flows.erase(flow);
    }
    this->notes.push_back({ upstream.announced.number, cause, this->resets.size() - before,
        upstream.answeredAt == TimePoint {} ? std::nullopt : std::optional { now - upstream.answeredAt } });
}

void FlowRouter::expire(TimePoint now)
{
    std::erase_if(this->returned, [now](const ReturnedZone& item) { return item.usableAt <= now; });
    for (auto flow = this->flows.begin(); flow != this->flows.end();) {
        Microseconds limit = this->current.flowIdle;
        if (!flow->second.established)
            limit = openingMemory;
        else if (flow->second.token == RoutingToken {})
            limit = finishedMemory;
        if (now - flow->second.seenAt <= limit) {
            ++flow;
            continue;
        }
        this->end(flow->second);
        flow = this->flows.erase(flow);
    }
    this->upstreams.forgetOld(now);
}

} // namespace zinnia::routing
