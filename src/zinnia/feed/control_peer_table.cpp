#include "zinnia/feed/control_peer_table.hpp"

#include <algorithm>

namespace zinnia::feed {

ControlPeerTable::ControlPeerTable(
    const PeerTableSettings& settings, InstanceId self, const std::vector<InstanceId>& seeds, TimePoint now)
    : settings { settings }
    , self { self }
{
    this->setSeeds(seeds, now);
}

void ControlPeerTable::setSeeds(const std::vector<InstanceId>& seeds, TimePoint now)
{
    for (auto& [id, peer] : this->knownPeers)
        peer.seed = false;
    this->addPeers(seeds, now);
    for (const auto& seed : seeds) {
        if (seed != this->self)
            this->knownPeers[seed].seed = true;
    }
}

bool ControlPeerTable::setVoters(const std::vector<InstanceId>& voters, TimePoint now)
{
    for (auto& [id, peer] : this->knownPeers)
        peer.voter = false;
    const bool changed = this->addPeers(voters, now);
    for (const auto& voter : voters) {
        if (voter != this->self)
            this->knownPeers[voter].voter = true;
    }
    return changed;
}

PeerChange ControlPeerTable::recordMessage(InstanceId instance, Epoch epoch, TimePoint now)
{
    if (instance == this->self)
        return PeerChange::Known;
    const auto [found, isNew] = this->knownPeers.try_emplace(instance);
    Peer& peer = found->second;
    PeerChange change = PeerChange::Known;
    if (isNew || peer.lastMessageAt == TimePoint {})
        change = PeerChange::Appeared;
    else if (peer.epoch != epoch)
        change = PeerChange::Restarted;
    else if (now - peer.lastMessageAt > this->settings.liveTimeout)
        change = PeerChange::Returned;
    peer.epoch = epoch;
    peer.lastMessageAt = now;
    return change;
}

bool ControlPeerTable::addPeers(const std::vector<InstanceId>& instances, TimePoint now)
{
    bool changed = false;
    for (const auto& instance : instances) {
        if (instance == this->self)
            continue;
        const auto [found, isNew] = this->knownPeers.try_emplace(instance);
        if (isNew)
            found->second.learnedAt = now;
        changed = changed || isNew;
    }
    return changed;
}

void ControlPeerTable::recordLiveReport(InstanceId instance, const std::vector<InstanceId>& live)
{
    const auto found = this->knownPeers.find(instance);
    if (found != this->knownPeers.end())
        found->second.reportedLive = { live.begin(), live.end() };
}

bool ControlPeerTable::recordZone(InstanceId instance, const std::string& zone)
{
    const auto found = this->knownPeers.find(instance);
    if (found == this->knownPeers.end() || found->second.zone == zone)
        return false;
    found->second.zone = zone;
    return true;
}

std::string ControlPeerTable::zoneOf(InstanceId instance) const
{
    const auto found = this->knownPeers.find(instance);
    return found == this->knownPeers.end() ? std::string {} : found->second.zone;
}

bool ControlPeerTable::reportsLive(InstanceId instance, InstanceId other) const
{
    const auto found = this->knownPeers.find(instance);
    return found != this->knownPeers.end() && found->second.reportedLive.contains(other);
}

bool ControlPeerTable::removeExpired(TimePoint now)
{
    return std::erase_if(this->knownPeers, [&](const auto& item) {
        const Peer& peer = item.second;
        return !peer.seed && !peer.voter
            && now - std::max(peer.lastMessageAt, peer.learnedAt) > this->settings.retention;
    }) > 0;
}

std::vector<InstanceId> ControlPeerTable::peers() const
{
    std::vector<InstanceId> result;
    for (const auto& [id, peer] : this->knownPeers)
        result.push_back(id);
    return result;
}

std::vector<InstanceId> ControlPeerTable::live(TimePoint now) const
{
    std::vector<InstanceId> result { this->self };
    for (const auto& [id, peer] : this->knownPeers) {
        if (peer.lastMessageAt != TimePoint {} && now - peer.lastMessageAt <= this->settings.liveTimeout)
            result.push_back(id);
    }
    return result;
}

} // namespace zinnia::feed
