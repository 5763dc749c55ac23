#include "zinnia/membership/membership.hpp"

#include <algorithm>

namespace zinnia::membership {

namespace {

    // A fetch without an answer is repeated after this time, from the peer whose heartbeat arrives next.
    constexpr Milliseconds fetchRetryDelay { 1000 };

} // namespace

Membership::Membership(InstanceId self, ZoneId zone, Epoch epoch, TimePoint now, const Settings& settings)
    : self { self }
    , zone { zone }
    , epoch { epoch }
    , settings { settings }
    , lastEvent { now }
    , currentView { self, zone, { Member { self, zone, epoch, MemberState::Joining } } }
{
}

Actions Membership::handle(const Input& input, TimePoint now)
{
    Actions actions;
    if (now - this->lastEvent > this->settings.pauseThreshold)
        this->resetTimersAfterPause(now, actions);
    this->lastEvent = std::max(this->lastEvent, now);
    std::visit([&](const auto& event) { this->on(event, now, actions); }, input);
    return actions;
}

// Heartbeats that are missing because this process was paused do not show that a peer is dead. Without this reset, an
// entry would be the only member of its view after a pause and act as the home of every upstream of its zone.
void Membership::resetTimersAfterPause(TimePoint now, Actions& actions)
{
    actions.emplace_back(ReportEvent { Event::FreezeDetected, this->self });
    if (!this->settings.graceAfterPause)
        return;
    for (PeerState& peerState : this->peers) {
        if (peerState.alive)
            peerState.lastReceived = now;
        peerState.nextSend = now;
    }
}

void Membership::on(const HeartbeatReceived& input, TimePoint now, Actions& actions)
{
    const Heartbeat& heartbeat = input.heartbeat;
    PeerState* peerState = this->find(heartbeat.instance);
    if (!peerState || heartbeat.zone != peerState->peer.zone || heartbeat.epoch < peerState->epoch)
        return;
    const bool restarted = heartbeat.epoch > peerState->epoch;
    if (!restarted && heartbeat.sequence <= peerState->receivedSequence)
        return;
    const bool changed = restarted || !peerState->alive || heartbeat.state != peerState->state;
    if (restarted && peerState->epoch.value != 0)
        actions.emplace_back(ReportEvent { Event::PeerRestarted, heartbeat.instance });
    else if (!peerState->alive)
        actions.emplace_back(ReportEvent { Event::PeerAlive, heartbeat.instance });
    if (restarted)
        peerState->ackedSendTime = {};
    peerState->epoch = heartbeat.epoch;
    peerState->state = heartbeat.state;
    peerState->receivedSequence = heartbeat.sequence;
    peerState->lastReceived = now;
    peerState->alive = true;
    this->recordAcknowledgement(*peerState, heartbeat);
    if (heartbeat.version > this->version
        && (heartbeat.version > this->requestedVersion || now - this->requestedAt >= fetchRetryDelay)) {
        this->requestedVersion = heartbeat.version;
        this->requestedAt = now;
        actions.emplace_back(FetchConfiguration { heartbeat.instance, heartbeat.version });
    }
    if (changed) {
        // The view changes before the acknowledgement is sent: the peer may act as home only after this entry has
        // stopped acting as home.
        this->publishView(actions);
        this->send(*peerState, now, actions);
    }
}

void Membership::recordAcknowledgement(PeerState& peerState, const Heartbeat& heartbeat)
{
    if (heartbeat.ackedEpoch != this->epoch || heartbeat.ackedSequence < peerState.firstSequenceOfState
        || heartbeat.ackedSequence > peerState.sentSequence
        || peerState.sentSequence - heartbeat.ackedSequence >= heartbeatHistory)
        return;
    peerState.ackedSendTime
        = std::max(peerState.ackedSendTime, peerState.sendTimes[heartbeat.ackedSequence % heartbeatHistory]);
}

void Membership::on(const PeersChanged& input, TimePoint now, Actions& actions)
{
    std::vector<PeerState> updatedPeers;
    for (const Peer& peer : input.peers) {
        if (peer.id == this->self)
            continue;
        PeerState* existing = this->find(peer.id);
        if (existing && existing->peer == peer) {
            updatedPeers.push_back(*existing);
            continue;
        }
        PeerState& added = updatedPeers.emplace_back();
        added.peer = peer;
        added.nextSend = now;
    }
    if (!this->peersKnownSince)
        this->peersKnownSince = now;
    this->peers = std::move(updatedPeers);
    this->publishView(actions);
}

void Membership::on(const VersionAdopted& input, TimePoint, Actions&)
{
    this->version = std::max(this->version, input.version);
}

void Membership::on(const LeaveRequested&, TimePoint now, Actions& actions)
{
    if (this->ownState != MemberState::Leaving)
        this->changeState(MemberState::Leaving, now, actions);
}

void Membership::on(const Tick&, TimePoint now, Actions& actions)
{
    bool hasDeadPeer = false;
    for (PeerState& peerState : this->peers) {
        const auto failureTimeout
            = this->isInZone(peerState) ? this->settings.zoneFailureTimeout : this->settings.remoteFailureTimeout;
        if (peerState.alive && now - peerState.lastReceived >= failureTimeout) {
            peerState.alive = false;
            hasDeadPeer = true;
            actions.emplace_back(ReportEvent { Event::PeerDead, peerState.peer.id });
        }
        if (now >= peerState.nextSend)
            this->send(peerState, now, actions);
    }
    if (this->ownState == MemberState::Joining && this->peersKnownSince
        && now - *this->peersKnownSince >= this->settings.joiningDuration)
        this->changeState(MemberState::Active, now, actions);
    else if (hasDeadPeer)
        this->publishView(actions);
}

void Membership::changeState(MemberState state, TimePoint now, Actions& actions)
{
    this->ownState = state;
    actions.emplace_back(
        ReportEvent { state == MemberState::Active ? Event::EntryActive : Event::EntryLeaving, this->self });
    for (PeerState& peerState : this->peers) {
        // An acknowledgement of a heartbeat with the earlier state does not show that the peer knows the new state.
        peerState.firstSequenceOfState = peerState.sentSequence + 1;
        peerState.ackedSendTime = {};
        this->send(peerState, now, actions);
    }
    this->publishView(actions);
}

void Membership::send(PeerState& peerState, TimePoint now, Actions& actions)
{
    peerState.nextSend = now
        + (this->isInZone(peerState) ? this->settings.zoneHeartbeatInterval : this->settings.remoteHeartbeatInterval);
    peerState.sendTimes[++peerState.sentSequence % heartbeatHistory] = now;
    actions.emplace_back(SendHeartbeat { peerState.peer.id,
        Heartbeat { this->self, this->zone, this->epoch, peerState.sentSequence,
            peerState.alive ? peerState.epoch : Epoch {}, peerState.receivedSequence, this->version,
            this->ownState } });
}

void Membership::publishView(Actions& actions)
{
    View newView { this->self, this->zone, { Member { this->self, this->zone, this->epoch, this->ownState } } };
    for (const PeerState& peerState : this->peers) {
        if (peerState.alive)
            newView.members.push_back(
                Member { peerState.peer.id, peerState.peer.zone, peerState.epoch, peerState.state });
    }
    std::sort(newView.members.begin(), newView.members.end(),
        [](const Member& left, const Member& right) { return left.id < right.id; });
    if (newView == this->currentView)
        return;
    this->currentView = std::move(newView);
    actions.emplace_back(ViewChanged { this->currentView });
}

bool Membership::holdsHomeLease(TimePoint now) const noexcept
{
    if (this->ownState != MemberState::Active)
        return false;
    return std::all_of(this->peers.begin(), this->peers.end(), [&](const PeerState& peerState) {
        return !peerState.alive || !this->isInZone(peerState)
            || now - peerState.ackedSendTime < this->settings.homeLease;
    });
}

Membership::PeerState* Membership::find(InstanceId id) noexcept
{
    const auto found = std::find_if(
        this->peers.begin(), this->peers.end(), [&](const PeerState& peerState) { return peerState.peer.id == id; });
    return found == this->peers.end() ? nullptr : &*found;
}

std::size_t Membership::memoryBytes() const noexcept
{
    return sizeof(*this) + this->peers.capacity() * sizeof(PeerState)
        + this->currentView.members.capacity() * sizeof(Member);
}

} // namespace zinnia::membership
