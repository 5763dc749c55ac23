#include "zinnia/routing/flow_router.hpp"

#include <algorithm>

namespace zinnia::routing {

Upstream* FlowRouter::chooseByLoad(const Candidates& sameZone, const Candidates& otherZones,
    const load::ServiceLoad& load, const config::ServiceLimits& service, const Endpoint& route, TimePoint now)
{
    if (Upstream* remote = this->chooseOfOtherZone(otherZones, load, service.maxFlowsPerUpstream, route, now))
        return remote;
    PlacementLoad placement;
    placement.age = this->loadView.age(now);
    placement.serviceTime = load.serviceTime;
    placement.openingsPerSecond = load.openingsPerSecond;
    placement.routers = load.routers;
    placement.maxFlows = service.maxFlowsPerUpstream;
    const PreferredSlots preferred = this->findPreferredSlots(service.name, load.routers, now);
    Upstream* chosen = this->placeByLoad(sameZone, placement, preferred, now);
    if (chosen == nullptr)
        this->noUpstreamReason = RoutingReason::FlowsFull;
    return chosen;
}

bool FlowRouter::hasRemoteRoom(const std::string& service, TimePoint now)
{
    return this->freeRemoteSlots(service, now) > 0;
}

Upstream* FlowRouter::chooseOfOtherZone(const Candidates& otherZones, const load::ServiceLoad& load,
    std::uint32_t maxFlows, const Endpoint& route, TimePoint now)
{
    if (load.remotes.empty() || otherZones.empty())
        return nullptr;
    std::vector<RemoteZone> zones;
    for (const Upstream* upstream : otherZones) {
        const std::string& zone = upstream->announcement.zone;
        if (std::none_of(zones.begin(), zones.end(), [&](const RemoteZone& item) { return item.zone == zone; }))
            zones.push_back({ zone, 0 });
    }
    // Requests at upstreams that are not usable at present take granted slots too.
    for (const Upstream* upstream : this->upstreams.findByService(load.service)) {
        for (RemoteZone& item : zones) {
            if (item.zone == upstream->announcement.zone)
                item.inFlight += upstream->inFlight;
        }
    }
    const auto target = this->spill.choose(route, load, zones, now);
    if (!target)
        return nullptr;
    Candidates candidates = otherZones;
    std::erase_if(candidates, [&](const Upstream* upstream) { return upstream->announcement.zone != target->zone; });
    const auto remote = std::find_if(load.remotes.begin(), load.remotes.end(),
        [&](const load::RemoteAllowance& item) { return item.zone == target->zone; });
    PlacementLoad placement;
    placement.age = this->loadView.age(now);
    placement.serviceTime = remote->serviceTime;
    placement.routers = load.routers;
    placement.maxFlows = maxFlows;
    // Only requests of routers of the own zone are known there. They are taken to be replaced as they are answered.
    double reported = 0;
    for (const Upstream* upstream : candidates) {
        if (const load::UpstreamLoad* others = this->loadView.upstream(upstream->token, now))
            reported += others->inFlight;
    }
    const double seconds = std::chrono::duration<double> { remote->serviceTime }.count();
    placement.openingsPerSecond = seconds > 0 ? reported / seconds : 0;
    Upstream* chosen = this->placeByLoad(candidates, placement, {}, now);
    if (chosen != nullptr)
        this->spill.count(target->zone, SpillCause::Load, target->saved);
    return chosen;
}

std::uint32_t FlowRouter::freeRemoteSlots(const std::string& service, TimePoint now) const
{
    const load::ServiceLoad* load = this->loadView.service(service, now);
    if (load == nullptr || !this->spill.isSpilling(service))
        return 0;
    std::uint32_t free = 0;
    for (const load::RemoteAllowance& remote : load->remotes) {
        std::uint32_t inFlight = 0;
        bool anyUsable = false;
        for (const Upstream* upstream : this->upstreams.findByService(service)) {
            if (upstream->announcement.zone != remote.zone)
                continue;
            inFlight += upstream->inFlight;
            anyUsable |= this->isUsable(*upstream, now) && !this->isAvoided(*upstream, now)
                && upstream->announcement.state != upstream::AnnouncedState::Silent;
        }
        if (anyUsable && inFlight < remote.slots)
            free += remote.slots - inFlight;
    }
    return free;
}

FlowRouter::PreferredSlots FlowRouter::findPreferredSlots(
    const std::string& service, std::uint32_t routers, TimePoint now) const
{
    // Only announced state counts here, so that all routers divide the same slots.
    std::vector<RoutingToken> tokens;
    std::vector<std::uint32_t> slots;
    for (const Upstream* upstream : this->upstreams.findByService(service)) {
        if (upstream->announcement.zone != this->settings.zone || !this->isUsable(*upstream, now))
            continue;
        tokens.push_back(upstream->token);
        slots.push_back(upstream->announcement.slots);
    }
    const auto own = preferredSlots(slots, this->loadView.position(), routers);
    PreferredSlots preferred;
    for (std::size_t i = 0; i < tokens.size(); ++i) {
        if (own[i] > 0)
            preferred.emplace(tokens[i], own[i]);
    }
    return preferred;
}

Upstream* FlowRouter::placeByLoad(
    const Candidates& candidates, const PlacementLoad& load, const PreferredSlots& preferred, TimePoint now)
{
    std::vector<PlacementCandidate> placements;
    placements.reserve(candidates.size());
    for (const Upstream* upstream : candidates) {
        PlacementCandidate placement;
        placement.slots = upstream->announcement.slots;
        placement.ownInFlight = upstream->inFlight;
        placement.flows = upstream->flows;
        if (const load::UpstreamLoad* others = this->loadView.upstream(upstream->token, now)) {
            placement.othersInFlight = others->inFlight;
            placement.flows += others->flows;
            placement.slowness = others->slowness;
        }
        if (const auto own = preferred.find(upstream->token); own != preferred.end())
            placement.preferredSlots = own->second;
        placements.push_back(placement);
    }
    const auto chosen = this->chooser.choose(placements, load, this->random);
    return chosen ? candidates[*chosen] : nullptr;
}

} // namespace zinnia::routing
