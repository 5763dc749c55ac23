#include "zinnia/consensus/quorum.hpp"
#include "zinnia/consensus/replica.hpp"

namespace zinnia::consensus {

void Replica::appendOwn(std::variant<Noop, Command, Membership> payload)
{
    const bool isMembership = std::holds_alternative<Membership>(payload);
    Entry entry { this->log.lastIndex() + 1, this->hard.term, std::move(payload) };
    this->newEntries.push_back(entry);
    this->log.append(std::move(entry));
    if (isMembership)
        this->syncProgress();
    this->broadcastDue = true;
}

void Replica::broadcast(bool heartbeat)
{
    for (auto& [id, peer] : this->progress) {
        if (heartbeat || !peer.probing)
            this->sendAppend(id, peer, heartbeat);
    }
}

void Replica::sendAppend(const ReplicaId& peer, Progress& state, bool heartbeat)
{
    const std::int64_t sentAt = this->now.time_since_epoch().count();
    const auto previousTerm = this->log.termAt(state.next - 1);
    if (!previousTerm) {
        if (this->now - state.snapshotSent >= this->settings.shortestElection) {
            state.snapshotSent = this->now;
            this->send(InstallSnapshot { this->headerTo(peer), this->log.snapshot(), sentAt });
        } else if (heartbeat) {
            // Index 0 precedes the first entry, so the consistency check succeeds in every log.
            this->send(Append { this->headerTo(peer), 0, 0, 0, sentAt, {} });
        }
        return;
    }
    Append message { this->headerTo(peer), state.next - 1, *previousTerm, this->commit, sentAt, {} };
    if (state.next - state.match <= this->settings.recordsInFlight || state.probing)
        message.entries = this->log.slice(state.next, this->settings.recordsPerAppend, this->settings.bytesPerAppend);
    if (!state.probing)
        state.next += message.entries.size();
    this->send(std::move(message));
}

bool Replica::followLeader(const Header& header)
{
    if (header.term == this->hard.term && this->role == Role::Leader) {
        this->report(zinnia::Event::LogConflict, header.from);
        return false;
    }
    if (this->hard.log == LogId {}) {
        this->hard.log = header.log;
        this->hardDirty = true;
    }
    this->becomeFollower(header.term, header.from);
    this->hasKnownLeader = true;
    this->lastLeaderContact = this->now;
    this->resetElection();
    return true;
}

void Replica::on(const Append& message)
{
    AppendReply reply { this->headerTo(message.header.from), false, 0, message.previousIndex, message.sentAt };
    if (message.header.term < this->hard.term)
        return this->sendDurable(reply);
    if (!this->followLeader(message.header))
        return;
    reply.header = this->headerTo(message.header.from);
    const LogIndex base = this->log.base();
    // Entries up to the base are committed, so both logs agree on them.
    if (message.previousIndex >= base && this->log.termAt(message.previousIndex) != message.previousTerm) {
        const LogIndex last = this->log.lastIndex();
        reply.match = message.previousIndex > last ? last : this->log.beforeTermOf(message.previousIndex);
        return this->sendDurable(reply);
    }
    if (!this->takeEntries(message.entries))
        return this->report(zinnia::Event::LogConflict, message.header.from, this->commit);
    reply.accepted = true;
    reply.match = message.previousIndex + message.entries.size();
    this->sendDurable(reply);
    if (const LogIndex reached = std::min(message.commit, reply.match); reached > this->commit)
        this->advanceCommit(reached);
}

bool Replica::takeEntries(const std::vector<Entry>& entries)
{
    for (const auto& entry : entries) {
        if (entry.index <= this->log.base() || this->log.termAt(entry.index) == entry.term)
            continue;
        if (entry.index <= this->commit || entry.index > this->log.lastIndex() + 1)
            return false;
        if (entry.index <= this->log.lastIndex()) {
            this->log.truncateFrom(entry.index);
            std::erase_if(this->newEntries, [&](const Entry& other) { return other.index >= entry.index; });
            this->truncateFrom = this->truncateFrom == 0 ? entry.index : std::min(this->truncateFrom, entry.index);
            this->stable = std::min(this->stable, entry.index - 1);
            for (auto& write : this->outstanding)
                write.lastIndex = std::min(write.lastIndex, entry.index - 1);
        }
        this->log.append(entry);
        this->newEntries.push_back(entry);
    }
    return true;
}

void Replica::on(const InstallSnapshot& message)
{
    AppendReply reply { this->headerTo(message.header.from), false, 0, 0, message.sentAt };
    if (message.header.term < this->hard.term)
        return this->sendDurable(reply);
    if (!this->followLeader(message.header))
        return;
    const Snapshot& snapshot = message.snapshot;
    if (snapshot.index > this->commit) {
        const bool keepTail = this->log.termAt(snapshot.index) == snapshot.term;
        if (!keepTail) {
            this->resetLog = true;
            this->newEntries.clear();
            this->stable = 0;
            for (auto& write : this->outstanding)
                write.lastIndex = 0;
        }
        this->log.install(snapshot, keepTail);
        this->newSnapshot = snapshot;
        this->commit = snapshot.index;
        this->applied = snapshot.index;
        this->actions.emplace_back(Restore { snapshot.index, snapshot.data });
        this->report(zinnia::Event::SnapshotInstalled, message.header.from, snapshot.index);
    }
    reply.header = this->headerTo(message.header.from);
    reply.accepted = true;
    reply.match = snapshot.index;
    this->sendDurable(reply);
}

void Replica::on(const AppendReply& message)
{
    if (message.header.term > this->hard.term)
        return this->becomeFollower(message.header.term, std::nullopt);
    const auto found = this->progress.find(this->votingIdOf(message.header.from));
    if (this->role != Role::Leader || message.header.term != this->hard.term || found == this->progress.end())
        return;
    Progress& state = found->second;
    state.contact = std::max(state.contact, TimePoint { Microseconds { message.sentAt } });
    if (message.match > this->log.lastIndex())
        return this->report(zinnia::Event::LogConflict, message.header.from, message.match);
    if (message.accepted) {
        state.match = std::max(state.match, message.match);
        if (message.match + 1 >= state.next)
            state.probing = false;
        state.next = std::max(state.next, state.match + 1);
        if (!state.probing && state.next <= this->log.lastIndex())
            this->sendAppend(found->first, state, false);
        return this->advanceLeaderCommit();
    }
    const bool isStale = message.previousIndex <= state.match || message.previousIndex >= state.next
        || (state.probing && message.previousIndex != state.next - 1);
    if (isStale)
        return;
    state.next = std::max(state.match + 1, std::min(message.previousIndex, message.match + 1));
    state.probing = true;
    this->sendAppend(found->first, state, false);
}

void Replica::advanceLeaderCommit()
{
    const ReplicaId self = this->votingIdOf(this->hard.self);
    LogIndex reached = 0;
    do {
        reached = this->quorumValue<LogIndex>([&](const ReplicaId& id) {
            if (id == self)
                return this->stable;
            const auto found = this->progress.find(id);
            return found == this->progress.end() ? LogIndex { 0 } : found->second.match;
        });
        // Entries of earlier terms are committed only together with an entry of the current term.
        if (reached <= this->commit || this->log.termAt(reached) != this->hard.term)
            return;
        this->advanceCommit(reached);
        this->broadcastDue = true;
    } while (this->role == Role::Leader);
}

void Replica::advanceCommit(LogIndex index)
{
    const bool wasVoter = this->log.membershipAt(this->commit).membership.contains(this->hard.self);
    const LogIndex before = this->log.membershipAt(this->commit).index;
    this->commit = index;
    const MembershipPoint point = this->log.membershipAt(index);
    if (point.index != before) {
        this->hard.commit = index;
        this->hardDirty = true;
        this->report(zinnia::Event::ReplicaAdmitted, this->hard.self, point.index);
        if (wasVoter && !point.membership.contains(this->hard.self))
            return this->retire(this->hard.self, point.index);
        if (this->role == Role::Leader)
            this->syncProgress();
    }
    this->applyCommitted();
}

void Replica::applyCommitted()
{
    while (this->applied < std::min(this->commit, this->stable)) {
        const Entry& entry = this->log.at(++this->applied);
        if (const auto* command = std::get_if<Command>(&entry.payload))
            this->actions.emplace_back(Apply { entry.index, command->bytes });
        if (const auto found = this->pending.find(entry.index); found != this->pending.end()) {
            this->actions.emplace_back(ProposalDone { found->second, Committed { entry.index } });
            this->pending.erase(found);
        }
    }
    const LogIndex due = std::max(this->snapshotAsked, this->log.snapshot().index) + this->settings.snapshotInterval;
    if (this->applied >= due) {
        this->snapshotAsked = this->applied;
        this->actions.emplace_back(TakeSnapshot { this->applied });
    }
}

void Replica::answerReads()
{
    if (this->commit < this->firstOfTerm)
        return;
    const TimePoint confirmed = this->quorumContact();
    while (!this->reads.empty() && this->reads.front().asked <= confirmed) {
        this->actions.emplace_back(ReadDone { this->reads.front().id, Committed { this->commit } });
        this->reads.pop_front();
    }
}

} // namespace zinnia::consensus
