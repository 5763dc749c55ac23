#include "zinnia/feed/gossip_relay.hpp"
#include "zinnia/runtime/feed_encoding.hpp"
#include "zinnia/runtime/fleet_process.hpp"
#include "zinnia/runtime/logger.hpp"
#include "zinnia/upstream/announcement_limits.hpp"

#include <algorithm>

namespace zinnia::runtime {

namespace {

    /** Interval of gossip to the other control instances. */
    constexpr Milliseconds gossipInterval { 200 };
    /** Time limit for a second instance to confirm a drain; callers wait 1 s for an answer. */
    constexpr Milliseconds confirmationTimeout { 700 };
    /** Time without a leader after which upstreams are redirected to other control instances. */
    constexpr Milliseconds leaderTimeout { 2000 };
    /** Maximum number of announcements per datagram. */
    constexpr std::size_t announcementsPerReply = 100;
    /** File with the snapshot that routers need after a restart of the whole fleet. */
    const std::string snapshotName = "memory";
    /** Minimum time between two writes of the snapshot file. */
    constexpr Milliseconds saveInterval { 500 };

    /** @param receivedFrom The control instance that relayed the announcement; 0 if the upstream sent it. */
    void logAnnouncement(const upstream::Announcement& announcement, Milliseconds age, InstanceId receivedFrom)
    {
        log(Event::UpstreamAnnounced, Field { "upstream", announcement.number },
            Field { "service", announcement.service }, Field { "address", announcement.address },
            Field { "zone", announcement.zone }, Field { "state", announcement.state },
            Field { "cold_ms", announcement.coldRemaining }, Field { "sequence", announcement.version.sequence },
            Field { "age_ms", age }, Field { "heard_from", receivedFrom });
    }

    Milliseconds unixTime()
    {
        return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    }

} // namespace

void FleetProcess::announce(const upstream::Announcement& announcement, CallDone done)
{
    if (const auto fault = upstream::findArrivalFault(announcement, unixTime())) {
        runtime::log(
            Event::AnnouncementRefused, Field { "upstream", announcement.number }, Field { "problem", *fault });
        return done({ CallStatus::Invalid, {}, std::string { nameOf(*fault) } });
    }
    if (this->observe(announcement, Milliseconds { 0 }, InstanceId {}) == upstream::MergeResult::TableFull)
        return done({ CallStatus::Unavailable });
    // A partitioned instance records the announcement, but redirects the upstream to a connected instance.
    if (this->loop->now() - this->leaderLastSeenAt > leaderTimeout)
        return done({ CallStatus::Unavailable });
    const upstream::Announcement* current = this->announcementTable.find(announcement.number);
    // A late drain of an earlier start has nothing left to confirm.
    const bool isOfCurrentStart = current != nullptr && current->version.startedAt == announcement.version.startedAt;
    if (announcement.state == upstream::AnnouncedState::Draining && isOfCurrentStart)
        return this->requestConfirmation(announcement.number, std::move(done));
    done({ CallStatus::Done });
}

void FleetProcess::depart(upstream::UpstreamNumber number, CallDone done)
{
    const auto outcome = this->announcementTable.recordDeparture(number, this->loop->now());
    const upstream::Announcement* current = this->announcementTable.find(number);
    if (outcome == upstream::MergeResult::Changed)
        logAnnouncement(*current, Milliseconds { 0 }, InstanceId {});
    if (outcome != upstream::MergeResult::Stale && current->state != upstream::AnnouncedState::Gone)
        runtime::log(Event::DepartureUnconfirmed, Field { "upstream", number },
            Field { "started_at", current->version.startedAt });
    this->requestConfirmation(number, std::move(done));
}

upstream::MergeResult FleetProcess::observe(
    const upstream::Announcement& announcement, Milliseconds age, InstanceId receivedFrom)
{
    // An instance of an earlier release, or a file that it has written, may hold what is refused now.
    if (upstream::findFault(announcement))
        return upstream::MergeResult::Stale;
    const auto outcome = this->announcementTable.merge(announcement, age, this->loop->now(), receivedFrom);
    if (outcome == upstream::MergeResult::TableFull)
        runtime::log(Event::AnnouncementTableFull, Field { "upstream", announcement.number });
    if (outcome != upstream::MergeResult::Changed)
        return outcome;
    logAnnouncement(announcement, age, receivedFrom);
    // It has not left; its next drain or departure needs a confirmation of its own.
    if (announcement.state == upstream::AnnouncedState::Ready)
        this->confirmed.erase(announcement.number);
    return outcome;
}

void FleetProcess::requestConfirmation(upstream::UpstreamNumber number, CallDone done)
{
    const upstream::Announcement* current = this->announcementTable.find(number);
    const auto peers = this->peerTable.peers();
    if (current == nullptr || peers.empty())
        return done({ CallStatus::Done });
    const auto known = this->confirmed.find(number);
    if (known != this->confirmed.end() && known->second.state == current->state
        && known->second.version.startedAt == current->version.startedAt)
        return done({ CallStatus::Done });
    const std::uint64_t confirmationNumber = this->nextConfirmation++;
    const TimerId timer = this->loop->schedule(confirmationTimeout,
        [this, confirmationNumber] { this->finishConfirmation(confirmationNumber, CallStatus::Unavailable); });
    this->pendingConfirmations.emplace(confirmationNumber, PendingConfirmation { number, std::move(done), timer });
    const feed::Gossip message { confirmationNumber, this->epoch, this->peerTable.live(this->loop->now()),
        { { *current, Milliseconds { 0 } } }, {} };
    for (const auto& peer : peers)
        this->sendGossip(peer, message);
}

void FleetProcess::sendGossip(InstanceId peer, const feed::Gossip& message)
{
    const Endpoint to { this->settings.member.addressOf(peer), this->settings.member.ports.feed };
    for (const Bytes& part : encodeGossip(message, maxMessageBytes))
        this->link->sendEncoded(to, wire::MessageKind::Gossip, part);
}

void FleetProcess::finishConfirmation(std::uint64_t number, CallStatus status)
{
    auto confirmation = this->pendingConfirmations.extract(number);
    if (confirmation.empty())
        return;
    this->loop->cancel(confirmation.mapped().timer);
    if (const auto* current = this->announcementTable.find(confirmation.mapped().number);
        status == CallStatus::Done && current != nullptr)
        this->confirmed.insert_or_assign(confirmation.mapped().number, *current);
    confirmation.mapped().done({ status });
}

void FleetProcess::receive(const wire::OpenedMessage& message, const Endpoint& source)
{
    const auto decode = [&]<class Message>(std::type_identity<Message>) {
        const auto decoded = wire::decode<Message>(message.body);
        if (decoded)
            this->receive(message.sender, decoded.value(), source);
        else
            runtime::log(Event::MessageRefused, Field { "reason", RefusalReason::Malformed });
    };
    if (message.kind == wire::MessageKind::Gossip)
        decode(std::type_identity<feed::Gossip> {});
    else if (message.kind == wire::MessageKind::GossipAck)
        decode(std::type_identity<feed::GossipAck> {});
    else if (message.kind == wire::MessageKind::FeedRequest)
        decode(std::type_identity<feed::FeedRequest> {});
    else if (message.kind == wire::MessageKind::StatePartsRequest)
        decode(std::type_identity<feed::StatePartsRequest> {});
    else if (message.kind == wire::MessageKind::ZoneSummary)
        decode(std::type_identity<load::ZoneSummary> {});
    else if (message.kind == wire::MessageKind::LoadReport)
        decode(std::type_identity<load::LoadReport> {});
    else
        runtime::log(Event::MessageRefused, Field { "reason", RefusalReason::UnknownKind });
}

void FleetProcess::receive(InstanceId sender, const feed::Gossip& message, const Endpoint& source)
{
    const TimePoint now = this->loop->now();
    const feed::PeerChange change = this->peerTable.recordMessage(sender, message.epoch, now);
    const bool learned = this->peerTable.addPeers(message.controls, now);
    this->peerTable.recordLiveReport(sender, message.controls);
    for (const auto& [announcement, age] : message.announcements)
        this->observe(announcement, age, sender);
    for (const auto& suspicion : message.suspicions)
        (void)this->suspicions.report(suspicion, now);
    if (message.number != 0)
        this->link->reply(source, wire::MessageKind::GossipAck, feed::GossipAck { message.number });
    if (change != feed::PeerChange::Known) {
        runtime::log(Event::PeerAlive, Field { "instance", sender });
        this->sendGossip(
            sender, feed::Gossip { 0, this->epoch, this->peerTable.live(now), this->announcementTable.all(now), {} });
    }
    if (learned || change == feed::PeerChange::Appeared)
        this->setPeers();
}

void FleetProcess::receive(InstanceId, const feed::GossipAck& message, const Endpoint&)
{
    this->finishConfirmation(message.number, CallStatus::Done);
}

void FleetProcess::receive(InstanceId sender, const feed::FeedRequest& message, const Endpoint& source)
{
    const TimePoint now = this->loop->now();
    for (const auto& suspicion : message.suspicions) {
        if (this->suspicions.report(suspicion, now))
            runtime::log(Event::SuspicionReported, Field { "upstream", suspicion.upstream }, Field { "router", sender },
                Field { "age_ms", suspicion.age });
    }
    if (message.number == 0)
        return;
    feed::FeedReply reply;
    reply.number = message.number;
    reply.hasLeader = this->isCurrent();
    reply.revision = this->routing().revision;
    // A router that gets no state requests it in parts.
    const bool lacksState = message.revision < reply.revision;
    if (lacksState && this->routingBytes() < maxMessageBytes)
        reply.state = this->routing();
    const bool omitsState = lacksState && !reply.state;
    reply.tableEpoch = this->epoch;
    const std::uint64_t since = message.tableEpoch == this->epoch ? message.change : 0;
    reply.lastChange = this->announcementTable.lastChange();
    reply.controls = this->peerTable.live(now);
    reply.suspicions = this->suspicions.current(now);
    const FeedPage page
        = encodeFeedReply(std::move(reply), maxMessageBytes, [&](std::size_t limit, std::uint64_t& upTo) {
              return this->announcementTable.changedSince(since, std::min(limit, announcementsPerReply), upTo, now);
          });
    if (omitsState || page.omittedStateBytes > 0)
        this->metrics.counter({ "zinnia_routing_state_omitted_total" }).add();
    this->link->sendEncoded(source, wire::MessageKind::FeedReply, page.bytes);
}

void FleetProcess::receive(InstanceId, const feed::StatePartsRequest& message, const Endpoint& source)
{
    if (static_cast<std::size_t>(message.subject) >= this->stateArchives.size())
        return runtime::log(Event::MessageRefused, Field { "reason", RefusalReason::Malformed });
    if (message.subject == feed::StateSubject::Routing)
        (void)this->routingBytes();
    const auto parts = this->archiveOf(message.subject).answer(message);
    this->metrics.counter({ "zinnia_routing_state_parts_total" }).add(parts.size());
    this->link->replyAll(source, wire::MessageKind::StatePart, parts);
}

std::size_t FleetProcess::routingBytes()
{
    const feed::RoutingState& state = this->routing();
    return this->archiveOf(feed::StateSubject::Routing).sizeOf(state.revision, [&state] {
        return wire::encode(state);
    });
}

void FleetProcess::loadSnapshot()
{
    this->snapshotFile = std::make_unique<BackgroundFile>(*this->files, snapshotName);
    const auto content = this->snapshotFile->read();
    if (!content)
        return;
    const auto snapshot = wire::decode<feed::FeedSnapshot>(*content);
    if (!snapshot)
        return runtime::log(Event::SnapshotRefused, Field { "file", snapshotName });
    this->savedState = snapshot.value().state;
    const TimePoint now = this->loop->now();
    // Each upstream gets a full lease to announce itself again, however much of it had passed before the restart.
    for (const auto& [announcement, age] : snapshot.value().announcements) {
        if (announcement.state != upstream::AnnouncedState::Silent && !upstream::findFault(announcement))
            (void)this->announcementTable.merge(announcement, Milliseconds { 0 }, now);
    }
    runtime::log(Event::MemoryRecalled, Field { "revision", this->savedState.revision },
        Field { "upstreams", this->announcementTable.size() });
}

void FleetProcess::saveSnapshot(TimePoint now)
{
    const bool changed
        = this->savedChange != this->announcementTable.lastChange() || this->savedState.revision < this->log.revision();
    if (!changed || now < this->nextSaveAt)
        return;
    this->nextSaveAt = now + saveInterval;
    this->savedChange = this->announcementTable.lastChange();
    this->savedState = this->routing();
    this->snapshotFile->write(wire::encode(feed::FeedSnapshot { this->savedState, this->announcementTable.all(now) }));
}

const feed::RoutingState& FleetProcess::routing() const
{
    return this->log.revision() < this->savedState.revision ? this->savedState : this->log.routing();
}

void FleetProcess::gossip()
{
    this->loop->schedule(gossipInterval, [this] { this->gossip(); });
    const TimePoint now = this->loop->now();
    const auto fresh = this->announcementTable.takePendingGossip(now);
    feed::Gossip message { 0, this->epoch, this->peerTable.live(now), {}, this->suspicions.current(now) };
    for (const auto& peer : this->peerTable.peers()) {
        message.announcements = feed::announcementsFor(peer, fresh, this->peerTable);
        this->sendGossip(peer, message);
    }
}

} // namespace zinnia::runtime
