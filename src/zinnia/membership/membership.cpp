#include "zinnia/membership/membership.hpp"

#include <algorithm>

namespace zinnia::membership {

namespace {

    // A fetch without an answer is repeated after this time, from the peer whose heartbeat arrives next.
    constexpr Milliseconds fetchRetry { 1000 };

} // namespace

Membership::Membership(InstanceId self, ZoneId zone, Epoch epoch, TimePoint now, const Settings& settings)
    : self { self }
    , zone { zone }
    , epoch { epoch }
    , settings { settings }
    , lastEvent { now }
    , current { self, zone, { Member { self, zone, epoch, MemberState::Joining } } }
{
}

Actions Membership::handle(const Input& input, TimePoint now)
{
    Actions actions;
    if (now - this->lastEvent > this->settings.frozen)
        this->forgiveFreeze(now, actions);
    this->lastEvent = std::max(this->lastEvent, now);
    std::visit([&](const auto& event) { this->on(event, now, actions); }, input);
    return actions;
}

// Heartbeats that are missing because this process was paused do not show that a peer is dead. Without this, an entry
// would be alone in its view after a pause and act as the home of every upstream of its zone.
void Membership::forgiveFreeze(TimePoint now, Actions& actions)
{
    actions.emplace_back(ReportEvent { Event::FreezeDetected, this->self });
    if (!this->settings.graceAfterFreeze)
        return;
    for (Tracked& tracked : this->peers) {
        if (tracked.alive)
            tracked.lastHeard = now;
        tracked.nextSend = now;
    }
}

void Membership::on(const HeartbeatReceived& input, TimePoint now, Actions& actions)
{
    const Heartbeat& heartbeat = input.heartbeat;
    Tracked* tracked = this->find(heartbeat.instance);
    if (!tracked || heartbeat.zone != tracked->peer.zone || heartbeat.epoch < tracked->epoch)
        return;
    const bool restarted = heartbeat.epoch > tracked->epoch;
    if (!restarted && heartbeat.sequence <= tracked->heardSequence)
        return;
    const bool changed = restarted || !tracked->alive || heartbeat.state != tracked->state;
    if (restarted && tracked->epoch.value != 0)
        actions.emplace_back(ReportEvent { Event::PeerRestarted, heartbeat.instance });
    else if (!tracked->alive)
        actions.emplace_back(ReportEvent { Event::PeerAlive, heartbeat.instance });
    if (restarted)
        tracked->ackedSentAt = {};
    tracked->epoch = heartbeat.epoch;
    tracked->state = heartbeat.state;
    tracked->heardSequence = heartbeat.sequence;
    tracked->lastHeard = now;
    tracked->alive = true;
    this->acknowledge(*tracked, heartbeat);
    if (heartbeat.version > this->version
        && (heartbeat.version > this->fetching || now - this->fetchedAt >= fetchRetry)) {
        this->fetching = heartbeat.version;
        this->fetchedAt = now;
        actions.emplace_back(FetchConfiguration { heartbeat.instance, heartbeat.version });
    }
    if (changed) {
        // The view changes before the acknowledgement is sent: the peer may act as home only after this entry has
        // stopped.
        this->publishView(actions);
        this->send(*tracked, now, actions);
    }
}

void Membership::acknowledge(Tracked& tracked, const Heartbeat& heartbeat)
{
    if (heartbeat.heardEpoch != this->epoch || heartbeat.heardSequence < tracked.stateSequence
        || heartbeat.heardSequence > tracked.sentSequence
        || tracked.sentSequence - heartbeat.heardSequence >= sentHistory)
        return;
    tracked.ackedSentAt = std::max(tracked.ackedSentAt, tracked.sentAt[heartbeat.heardSequence % sentHistory]);
}

void Membership::on(const PeersChanged& input, TimePoint now, Actions& actions)
{
    std::vector<Tracked> next;
    for (const Peer& peer : input.peers) {
        if (peer.id == this->self)
            continue;
        Tracked* known = this->find(peer.id);
        if (known && known->peer == peer) {
            next.push_back(*known);
            continue;
        }
        Tracked& added = next.emplace_back();
        added.peer = peer;
        added.nextSend = now;
    }
    if (!this->joiningSince)
        this->joiningSince = now;
    this->peers = std::move(next);
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
    bool changed = false;
    for (Tracked& tracked : this->peers) {
        const auto limit = this->inZone(tracked) ? this->settings.zoneDeath : this->settings.remoteDeath;
        if (tracked.alive && now - tracked.lastHeard >= limit) {
            tracked.alive = false;
            changed = true;
            actions.emplace_back(ReportEvent { Event::PeerDead, tracked.peer.id });
        }
        if (now >= tracked.nextSend)
            this->send(tracked, now, actions);
    }
    if (this->ownState == MemberState::Joining && this->joiningSince
        && now - *this->joiningSince >= this->settings.joining)
        this->changeState(MemberState::Active, now, actions);
    else if (changed)
        this->publishView(actions);
}

void Membership::changeState(MemberState state, TimePoint now, Actions& actions)
{
    this->ownState = state;
    actions.emplace_back(
        ReportEvent { state == MemberState::Active ? Event::EntryActive : Event::EntryLeaving, this->self });
    for (Tracked& tracked : this->peers) {
        // An acknowledgement of a heartbeat with the earlier state does not show that the peer knows the new state.
        tracked.stateSequence = tracked.sentSequence + 1;
        tracked.ackedSentAt = {};
        this->send(tracked, now, actions);
    }
    this->publishView(actions);
}

void Membership::send(Tracked& tracked, TimePoint now, Actions& actions)
{
    tracked.nextSend = now + (this->inZone(tracked) ? this->settings.zoneInterval : this->settings.remoteInterval);
    tracked.sentAt[++tracked.sentSequence % sentHistory] = now;
    actions.emplace_back(SendHeartbeat { tracked.peer.id,
        Heartbeat { this->self, this->zone, this->epoch, tracked.sentSequence, tracked.alive ? tracked.epoch : Epoch {},
            tracked.heardSequence, this->version, this->ownState } });
}

void Membership::publishView(Actions& actions)
{
    View next { this->self, this->zone, { Member { this->self, this->zone, this->epoch, this->ownState } } };
    for (const Tracked& tracked : this->peers) {
        if (tracked.alive)
            next.members.push_back(Member { tracked.peer.id, tracked.peer.zone, tracked.epoch, tracked.state });
    }
    std::sort(next.members.begin(), next.members.end(),
        [](const Member& left, const Member& right) { return left.id < right.id; });
    if (next == this->current)
        return;
    this->current = std::move(next);
    actions.emplace_back(ViewChanged { this->current });
}

bool Membership::mayActAsHome(TimePoint now) const noexcept
{
    if (this->ownState != MemberState::Active)
        return false;
    return std::all_of(this->peers.begin(), this->peers.end(), [&](const Tracked& tracked) {
        return !tracked.alive || !this->inZone(tracked) || now - tracked.ackedSentAt < this->settings.lease;
    });
}

Membership::Tracked* Membership::find(InstanceId id) noexcept
{
    const auto found = std::find_if(
        this->peers.begin(), this->peers.end(), [&](const Tracked& tracked) { return tracked.peer.id == id; });
    return found == this->peers.end() ? nullptr : &*found;
}

std::size_t Membership::memoryBytes() const noexcept
{
    return sizeof(*this) + this->peers.capacity() * sizeof(Tracked) + this->current.members.capacity() * sizeof(Member);
}

} // namespace zinnia::membership
