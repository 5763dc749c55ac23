#include "zinnia/consensus/quorum.hpp"
#include "zinnia/consensus/replica.hpp"

namespace zinnia::consensus {

namespace {

    constexpr std::size_t maxAwaitedCommits = 256;

    std::size_t commandBytesOf(const LogEntry& entry)
    {
        const auto* command = std::get_if<Command>(&entry.payload);
        return command != nullptr ? command->bytes.size() : 0;
    }

    std::size_t commandBytesOf(const std::vector<LogEntry>& entries)
    {
        std::size_t size = 0;
        for (const LogEntry& entry : entries)
            size += commandBytesOf(entry);
        return size;
    }

} // namespace

void Replica::appendAsLeader(std::variant<Noop, Command, Membership> payload)
{
    const bool isMembership = std::holds_alternative<Membership>(payload);
    LogEntry entry { this->log.lastIndex() + 1, this->hardState.term, std::move(payload) };
    this->newEntries.push_back(entry);
    this->log.append(std::move(entry));
    if (isMembership) {
        this->membershipProposedAt = this->now;
        this->syncProgress();
    }
    this->broadcastPending = true;
}

void Replica::broadcast(bool heartbeat)
{
    if (heartbeat) {
        this->heartbeatTimes.insert_or_assign(this->now, this->runningTime);
        std::erase_if(this->heartbeatTimes,
            [this](const auto& item) { return this->now - item.first > this->settings.quorumTimeout; });
    }
    for (auto& [id, peer] : this->progress) {
        if (heartbeat || !peer.probing)
            this->sendAppend(id, peer, heartbeat);
    }
}

void Replica::sendAppend(const ReplicaId& peer, Progress& state, bool heartbeat)
{
    // The follower has restarted or could not store what it received.
    if (state.transferDeliveredAt && this->now - *state.transferDeliveredAt >= this->settings.maxElectionTimeout)
        abandonTransfer(state);
    if (state.transfer != 0)
        return this->sendIndependentHeartbeat(peer, state);
    const std::int64_t sentAt = this->now.time_since_epoch().count();
    const auto previousTerm = this->log.termAt(state.nextIndex - 1);
    if (!previousTerm) {
        if (this->now - state.snapshotSentAt >= this->settings.minElectionTimeout) {
            state.snapshotSentAt = this->now;
            const Snapshot& snapshot = this->log.snapshot();
            this->startTransfer(state, InstallSnapshot { this->headerTo(peer), snapshot, sentAt }, 0, snapshot.index);
        } else if (heartbeat) {
            this->sendIndependentHeartbeat(peer, state);
        }
        return;
    }
    AppendEntries message { this->headerTo(peer), state.nextIndex - 1, *previousTerm, this->commitIndex, sentAt, {} };
    if (state.nextIndex - state.matchIndex <= this->settings.maxEntriesInFlight || state.probing)
        message.entries
            = this->log.slice(state.nextIndex, this->settings.maxEntriesPerAppend, this->settings.maxBytesPerAppend);
    const LogIndex last = message.previousIndex + message.entries.size();
    if (!state.probing)
        state.nextIndex = last + 1;
    if (commandBytesOf(message.entries) > this->settings.minTransferBytes) {
        const LogIndex previous = message.previousIndex;
        return this->startTransfer(state, std::move(message), previous, last);
    }
    this->send(std::move(message));
}

void Replica::sendIndependentHeartbeat(const ReplicaId& peer, const Progress& state)
{
    // Index 0 precedes the first entry, so the consistency check succeeds in every log.
    AppendEntries message { this->headerTo(peer), 0, 0, 0, this->now.time_since_epoch().count(), {} };
    const auto matchTerm = this->log.termAt(state.matchIndex);
    if (matchTerm && state.matchIndex > 0) {
        message.previousIndex = state.matchIndex;
        message.previousTerm = *matchTerm;
        message.commit = this->commitIndex;
    }
    this->send(std::move(message));
}

void Replica::startTransfer(Progress& state, Message message, LogIndex previous, LogIndex last)
{
    state.transfer = this->nextTransfer++;
    state.transferPrevious = previous;
    state.transferLast = last;
    this->actions.emplace_back(Send { std::move(message), state.transfer });
}

void Replica::abandonTransfer(Progress& state)
{
    state.transfer = 0;
    state.transferDeliveredAt.reset();
    state.nextIndex = std::min(state.nextIndex, std::max(state.matchIndex, state.transferPrevious) + 1);
    state.probing = true;
}

bool Replica::endTransfer(Progress& state, const AppendEntriesReply& reply)
{
    const bool answersTransfer
        = reply.accepted ? reply.match >= state.transferLast : reply.previousIndex == state.transferPrevious;
    if (state.transfer == 0 || !answersTransfer)
        return false;
    state.transfer = 0;
    state.transferDeliveredAt.reset();
    return true;
}

void Replica::on(const TransferEnded& event)
{
    const auto found = this->progress.find(event.to);
    if (found == this->progress.end() || event.transfer == 0 || found->second.transfer != event.transfer)
        return;
    if (event.delivered)
        found->second.transferDeliveredAt = this->now;
    else
        abandonTransfer(found->second);
}

bool Replica::followLeader(const Header& header)
{
    if (header.term == this->hardState.term && this->role == Role::Leader) {
        this->report(zinnia::Event::LogConflict, header.from);
        return false;
    }
    if (this->hardState.log == LogId {}) {
        this->hardState.log = header.log;
        this->hardStateChanged = true;
    }
    this->becomeFollower(header.term, header.from);
    this->hasSeenLeader = true;
    this->lastFollowedLeader = header.from;
    this->lastLeaderContact = this->now;
    this->leaderContactRunningTime = this->runningTime;
    this->resetElectionTimer();
    return true;
}

void Replica::on(const AppendEntries& message)
{
    AppendEntriesReply reply { this->headerTo(message.header.from), false, 0, message.previousIndex, message.sentAt };
    if (message.header.term < this->hardState.term)
        return this->sendWhenDurable(reply);
    if (!this->followLeader(message.header))
        return;
    this->recordReportedCommit(message.commit);
    reply.header = this->headerTo(message.header.from);
    const LogIndex baseIndex = this->log.base();
    // Entries up to the base index are committed, so both logs agree on them.
    if (message.previousIndex >= baseIndex && this->log.termAt(message.previousIndex) != message.previousTerm) {
        const LogIndex last = this->log.lastIndex();
        reply.match = message.previousIndex > last ? last : this->log.indexBeforeTermOf(message.previousIndex);
        return this->sendWhenDurable(reply);
    }
    if (!this->mergeEntries(message.entries))
        return this->report(zinnia::Event::LogConflict, message.header.from, this->commitIndex);
    reply.accepted = true;
    reply.match = message.previousIndex + message.entries.size();
    this->sendWhenDurable(reply);
    if (const LogIndex newCommit = std::min(message.commit, reply.match); newCommit > this->commitIndex)
        this->advanceCommit(newCommit);
}

bool Replica::mergeEntries(const std::vector<LogEntry>& entries)
{
    for (const auto& entry : entries) {
        if (entry.index <= this->log.base() || this->log.termAt(entry.index) == entry.term)
            continue;
        if (entry.index <= this->commitIndex || entry.index > this->log.lastIndex() + 1)
            return false;
        if (entry.index <= this->log.lastIndex()) {
            this->log.truncateFrom(entry.index);
            std::erase_if(this->newEntries, [&](const LogEntry& other) { return other.index >= entry.index; });
            this->truncateFrom = this->truncateFrom == 0 ? entry.index : std::min(this->truncateFrom, entry.index);
            this->durableIndex = std::min(this->durableIndex, entry.index - 1);
            for (auto& write : this->pendingWrites)
                write.lastIndex = std::min(write.lastIndex, entry.index - 1);
        }
        this->log.append(entry);
        this->newEntries.push_back(entry);
    }
    return true;
}

void Replica::on(const InstallSnapshot& message)
{
    AppendEntriesReply reply { this->headerTo(message.header.from), false, 0, 0, message.sentAt };
    if (message.header.term < this->hardState.term)
        return this->sendWhenDurable(reply);
    if (!this->followLeader(message.header))
        return;
    const Snapshot& snapshot = message.snapshot;
    if (snapshot.index > this->commitIndex) {
        const bool keepLaterEntries = this->log.termAt(snapshot.index) == snapshot.term;
        if (!keepLaterEntries) {
            this->resetLog = true;
            this->newEntries.clear();
            this->durableIndex = 0;
            for (auto& write : this->pendingWrites)
                write.lastIndex = 0;
        }
        this->log.install(snapshot, keepLaterEntries);
        this->newSnapshot = snapshot;
        this->commitIndex = snapshot.index;
        this->appliedIndex = snapshot.index;
        this->appliedBytes = 0;
        this->actions.emplace_back(Restore { snapshot.index, snapshot.data });
        this->report(zinnia::Event::SnapshotInstalled, message.header.from, snapshot.index);
    }
    reply.header = this->headerTo(message.header.from);
    reply.accepted = true;
    reply.match = snapshot.index;
    this->sendWhenDurable(reply);
}

void Replica::on(const AppendEntriesReply& message)
{
    if (message.header.term > this->hardState.term)
        return this->becomeFollower(message.header.term, std::nullopt);
    const auto found = this->progress.find(this->votingIdOf(message.header.from));
    if (this->role != Role::Leader || message.header.term != this->hardState.term || found == this->progress.end())
        return;
    Progress& state = found->second;
    state.ackedSendTime = std::max(state.ackedSendTime, TimePoint { Microseconds { message.sentAt } });
    if (const auto sentAt = this->runningTimeAt(TimePoint { Microseconds { message.sentAt } }))
        state.ackedRunningTime = std::max(state.ackedRunningTime, *sentAt);
    if (message.match > this->log.lastIndex())
        return this->report(zinnia::Event::LogConflict, message.header.from, message.match);
    const bool endedTransfer = endTransfer(state, message);
    if (message.accepted) {
        state.matchIndex = std::max(state.matchIndex, message.match);
        if (message.match + 1 >= state.nextIndex)
            state.probing = false;
        state.nextIndex = std::max(state.nextIndex, state.matchIndex + 1);
        const bool hasMore = !state.probing && state.nextIndex <= this->log.lastIndex();
        // The follower may have missed commits during the transfer.
        if (state.transfer == 0 && (hasMore || endedTransfer))
            this->sendAppend(found->first, state, false);
        return this->advanceLeaderCommit();
    }
    const bool isOutdatedReply = message.previousIndex <= state.matchIndex || message.previousIndex >= state.nextIndex
        || (state.probing && message.previousIndex != state.nextIndex - 1);
    if (isOutdatedReply || state.transfer != 0)
        return;
    state.nextIndex = std::max(state.matchIndex + 1, std::min(message.previousIndex, message.match + 1));
    state.probing = true;
    this->sendAppend(found->first, state, false);
}

std::optional<Microseconds> Replica::runningTimeAt(TimePoint sentAt) const
{
    const auto next = this->heartbeatTimes.upper_bound(sentAt);
    return next == this->heartbeatTimes.begin() ? std::nullopt : std::optional { std::prev(next)->second };
}

void Replica::advanceLeaderCommit()
{
    const ReplicaId self = this->votingIdOf(this->hardState.self);
    LogIndex quorumIndex = 0;
    do {
        quorumIndex = this->quorumValue<LogIndex>([&](const ReplicaId& id) {
            if (id == self)
                return this->durableIndex;
            const auto found = this->progress.find(id);
            return found == this->progress.end() ? LogIndex { 0 } : found->second.matchIndex;
        });
        // Entries of earlier terms are committed only together with an entry of the current term.
        if (quorumIndex <= this->commitIndex || this->log.termAt(quorumIndex) != this->hardState.term)
            return;
        this->advanceCommit(quorumIndex);
        this->broadcastPending = true;
    } while (this->role == Role::Leader);
}

void Replica::advanceCommit(LogIndex index)
{
    const bool wasVoter = this->log.membershipAt(this->commitIndex).membership.contains(this->hardState.self);
    const LogIndex earlierMembershipIndex = this->log.membershipAt(this->commitIndex).index;
    this->commitIndex = index;
    const IndexedMembership committed = this->log.membershipAt(index);
    if (committed.index != earlierMembershipIndex) {
        this->hardState.commit = index;
        this->hardStateChanged = true;
        this->report(zinnia::Event::ReplicaAdmitted, this->hardState.self, committed.index);
        if (wasVoter && !committed.membership.contains(this->hardState.self)) {
            this->applyCommitted();
            // A leader that leaves tells the others first: its successor must know the membership to be committed
            // before it can vote.
            if (this->role == Role::Leader)
                this->broadcast(true);
            return this->retire(this->hardState.self, committed.index);
        }
        if (this->role == Role::Leader) {
            // A voter that was replaced is no peer any more; it has to learn that it is a learner now.
            this->broadcast(true);
            this->syncProgress();
        }
    }
    this->applyCommitted();
}

void Replica::applyCommitted()
{
    while (this->appliedIndex < std::min(this->commitIndex, this->durableIndex)) {
        const LogEntry& entry = this->log.at(++this->appliedIndex);
        if (const auto* command = std::get_if<Command>(&entry.payload)) {
            this->actions.emplace_back(Apply { entry.index, command->bytes });
            this->appliedBytes += command->bytes.size();
        }
        if (const auto found = this->pendingProposals.find(entry.index); found != this->pendingProposals.end()) {
            this->actions.emplace_back(ProposalDone { found->second, Committed { entry.index } });
            this->pendingProposals.erase(found);
            this->pendingBytes -= commandBytesOf(entry);
        }
    }
    const LogIndex nextSnapshotIndex
        = std::max(this->snapshotRequestedIndex, this->log.snapshot().index) + this->settings.entriesPerSnapshot;
    const std::size_t bytesPerSnapshot
        = std::max(this->settings.minBytesPerSnapshot, 2 * this->log.snapshot().data.size());
    if (this->appliedIndex >= nextSnapshotIndex || this->appliedBytes >= bytesPerSnapshot) {
        this->snapshotRequestedIndex = this->appliedIndex;
        this->appliedBytes = 0;
        this->actions.emplace_back(TakeSnapshot { this->appliedIndex });
    }
}

void Replica::recordReportedCommit(LogIndex commit)
{
    std::erase_if(
        this->awaitedCommits, [this](const ReportedCommit& item) { return item.index <= this->appliedIndex; });
    if (commit > 0 && commit <= this->appliedIndex) {
        // No snapshot is missing after all.
        this->awaitedCommits.clear();
        this->hasCaughtUp = true;
        return;
    }
    // At least one entry is missing if a snapshot is.
    const LogIndex reported = commit == 0 ? this->appliedIndex + 1 : commit;
    if (!this->awaitedCommits.empty() && reported <= this->awaitedCommits.back().index)
        return;
    // The oldest one counts, so the newest may be replaced.
    if (this->awaitedCommits.size() >= maxAwaitedCommits)
        this->awaitedCommits.pop_back();
    this->awaitedCommits.push_back({ reported, this->now });
}

Microseconds Replica::lag() const
{
    const auto oldest = std::find_if(this->awaitedCommits.begin(), this->awaitedCommits.end(),
        [this](const ReportedCommit& item) { return item.index > this->appliedIndex; });
    const bool isBehind = this->role != Role::Leader && oldest != this->awaitedCommits.end();
    return isBehind ? this->now - oldest->at : Microseconds { 0 };
}

void Replica::answerReads()
{
    if (this->commitIndex < this->firstIndexOfTerm)
        return;
    const TimePoint confirmed = this->lastQuorumContact();
    while (!this->pendingReads.empty() && this->pendingReads.front().requestedAt <= confirmed) {
        this->actions.emplace_back(ReadDone { this->pendingReads.front().id, Committed { this->commitIndex } });
        this->pendingReads.pop_front();
    }
}

} // namespace zinnia::consensus
