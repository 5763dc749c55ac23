#include "zinnia/routing/flow_router.hpp"

#include <algorithm>
#include <utility>

namespace zinnia::routing {

RoutingDecision FlowRouter::admitOpening(const FlowPacket& packet, TimePoint now)
{
    const auto found = this->routeIndices.find(packet.service);
    if (!this->settings.load.enabled || !this->synchronized || found == this->routeIndices.end())
        return this->routeOpening(packet, std::nullopt, now);
    this->observeReply(now);
    const feed::CompactRoute& route = this->current.routes[found->second];
    if (const auto verdict = this->admission.handleRetransmission(packet, now)) {
        if (*verdict == AdmissionVerdict::Wait)
            return { PacketAction::Wait, RoutingReason::None, nullptr };
        return { PacketAction::Reset, RoutingReason::Overloaded, nullptr };
    }
    const auto tracked = this->flows.find({ packet.caller, packet.service });
    const bool isRetransmission = tracked != this->flows.end() && tracked->second.sequence == packet.sequence
        && tracked->second.token != RoutingToken {};
    // An opening that has waited is followed by a transmission that its caller sent meanwhile. It says nothing about
    // the upstream, and a second upstream would look dead, as the caller uses the first.
    if (isRetransmission && now - tracked->second.firstSeenAt < this->settings.minRetransmissionDelay) {
        if (Upstream* assigned = this->upstreams.find(tracked->second.token); assigned != nullptr)
            return { PacketAction::Forward, RoutingReason::None, assigned };
    }
    if (isRetransmission || route.services.empty())
        return this->routeOpening(packet, std::nullopt, now);
    if (!this->uploads.admits(packet.service, this->waitingUploads))
        return { PacketAction::Reset, RoutingReason::LinkFull, nullptr };
    // A new opening of a tracked flow ends that flow; its request must not count against the new one.
    if (tracked != this->flows.end())
        this->endFlow(tracked->second);
    // To wait would not help: flows end much later than requests.
    if (this->isFull(route, now))
        return { PacketAction::Reset, RoutingReason::FlowsFull, nullptr };
    const std::size_t share = this->selectShare(route);
    const std::string& service = this->current.services[route.services[share]].name;
    const AdmissionVerdict verdict = this->admission.handleOpening(
        service, packet, this->loadView.route(packet.service), this->roomOf(service, now), now);
    if (verdict == AdmissionVerdict::Admit)
        return this->routeOpening(packet, share, now);
    const bool waits = verdict == AdmissionVerdict::Wait;
    RoutingDecision decision { waits ? PacketAction::Wait : PacketAction::Reset,
        waits ? RoutingReason::None : RoutingReason::Overloaded, nullptr };
    decision.admission = this->admissionFigures(service, packet.service, now);
    return decision;
}

std::vector<ReleasedOpening> FlowRouter::takeReleased(TimePoint now)
{
    if (!this->settings.load.enabled)
        return {};
    this->observeReply(now);
    std::vector<ReleasedOpening> released;
    for (const AdmissionRelease& ended : this->admission.takeEnded())
        released.push_back(this->finishWait(ended, now));
    for (const std::string& service : this->admission.waitingServices()) {
        while (const auto next = this->admission.takeNext(service, this->roomOf(service, now), now))
            released.push_back(this->finishWait(*next, now));
    }
    return released;
}

ReleasedOpening FlowRouter::finishWait(const AdmissionRelease& release, TimePoint now)
{
    const FlowPacket& packet = release.opening.packet;
    ReleasedOpening released { packet, { release.action, release.reason, nullptr }, now - release.opening.arrivedAt };
    if (release.action == PacketAction::Forward)
        released.decision = this->routeOpening(packet, this->shareOf(packet.service, release.service), now);
    else if (release.action == PacketAction::Reset)
        released.decision.admission = this->admissionFigures(release.service, packet.service, now);
    return released;
}

std::optional<std::size_t> FlowRouter::shareOf(const Endpoint& address, const std::string& service) const
{
    const auto found = this->routeIndices.find(address);
    if (found == this->routeIndices.end())
        return std::nullopt;
    const feed::CompactRoute& route = this->current.routes[found->second];
    for (std::size_t share = 0; share < route.services.size(); ++share) {
        if (this->current.services[route.services[share]].name == service && route.weights[share] > 0)
            return share;
    }
    return std::nullopt;
}

std::size_t FlowRouter::selectShare(const feed::CompactRoute& route)
{
    std::uint64_t total = 0;
    for (const auto weight : route.weights)
        total += weight;
    const auto largest = std::max_element(route.weights.begin(), route.weights.end());
    if (total == 0 || *largest == total)
        return static_cast<std::size_t>(largest - route.weights.begin());
    auto position = std::uniform_int_distribution<std::uint64_t> { 0, total - 1 }(this->random);
    std::size_t selected = 0;
    while (position >= route.weights[selected])
        position -= route.weights[selected++];
    return selected;
}

Upstream* FlowRouter::chooseAdmitted(
    const feed::CompactRoute& route, std::optional<std::size_t> share, const Flow* previous, TimePoint now)
{
    if (!share || route.services.size() == 1)
        return this->chooseUpstream(route, previous, now);
    const feed::CompactRoute admitted { route.address, { route.services[*share] }, { route.weights[*share] } };
    Upstream* chosen = this->chooseUpstream(admitted, previous, now);
    return chosen != nullptr ? chosen : this->chooseUpstream(route, previous, now);
}

ServiceRoom FlowRouter::roomOf(const std::string& service, TimePoint now)
{
    ServiceRoom room;
    for (const Upstream* upstream : this->upstreams.findByService(service)) {
        if (upstream->announcement.zone != this->settings.zone)
            continue;
        room.inFlight += upstream->inFlight;
        if (this->isUsable(*upstream, now))
            room.slots += upstream->announcement.slots;
    }
    room.inFlightAtReply = this->admission.inFlightAtReply(service);
    room.load = this->loadView.service(service, now);
    room.isCautious = this->isCautious(now);
    room.hasRemoteRoom = this->hasRemoteRoom(service, now);
    room.lowestPriority = this->lowestPriorityOf(service);
    return room;
}

bool FlowRouter::isFull(const feed::CompactRoute& route, TimePoint now) const
{
    bool anyUsable = false;
    for (std::size_t i = 0; i < route.services.size(); ++i) {
        const config::ServiceLimits& service = this->current.services[route.services[i]];
        if (route.weights[i] == 0)
            continue;
        for (const Upstream* upstream : this->upstreams.findByService(service.name)) {
            if (!this->isUsable(*upstream, now))
                continue;
            anyUsable = true;
            if (this->hasRoom(*upstream, service.maxFlowsPerUpstream, now))
                return false;
        }
    }
    return anyUsable;
}

std::uint32_t FlowRouter::lowestPriorityOf(const std::string& service) const
{
    std::uint32_t lowest = 0;
    for (const feed::CompactRoute& route : this->current.routes) {
        const load::RouteFact* fact = this->loadView.route(route.address);
        for (std::size_t i = 0; fact != nullptr && i < route.services.size(); ++i) {
            if (route.weights[i] > 0 && this->current.services[route.services[i]].name == service)
                lowest = std::max(lowest, fact->priority);
        }
    }
    return lowest;
}

void FlowRouter::observeReply(TimePoint now)
{
    if (!this->synchronizedAt && this->synchronized)
        this->synchronizedAt = now;
    if (this->loadView.replyCount() == this->observedReplies)
        return;
    this->observedReplies = this->loadView.replyCount();
    for (const auto& service : this->current.services) {
        std::uint32_t inFlight = 0;
        for (const Upstream* upstream : this->upstreams.findByService(service.name)) {
            if (upstream->announcement.zone == this->settings.zone)
                inFlight += upstream->inFlight;
        }
        this->admission.recordReply(service.name, inFlight);
    }
}

bool FlowRouter::isCautious(TimePoint now) const
{
    return this->observedReplies == 0 && this->synchronizedAt
        && now - *this->synchronizedAt < this->settings.load.admission.cautiousTime;
}

AdmissionFigures FlowRouter::admissionFigures(const std::string& service, const Endpoint& route, TimePoint now)
{
    const ServiceRoom room = this->roomOf(service, now);
    const load::RouteFact* fact = this->loadView.route(route);
    const std::uint32_t priority = fact == nullptr ? 0 : fact->priority;
    if (room.load != nullptr)
        return { room.load->limit, room.load->inFlight, room.load->waiting, priority };
    return { cautiousLimit(room), room.inFlight, this->admission.waiting(service), priority };
}

} // namespace zinnia::routing
