#include "zinnia/consensus/replica.hpp"

#include "zinnia/consensus/quorum.hpp"
#include "zinnia/consensus/seniority.hpp"
#include "zinnia/core/hash.hpp"

namespace zinnia::consensus {

namespace {

    /** Incarnation that all initial voters share, so that each of them can name the identities of the others. */
    constexpr std::uint64_t initialVoterIncarnation = 1;

    /** A voter of a dynamic group without a leader sends join requests after this many maximum election timeouts. */
    constexpr int rejoinElectionTimeouts = 2;

    bool isValid(const Settings& settings)
    {
        const auto& all = settings.instances;
        if (settings.losses && settings.bootstrap && settings.initialVoters.empty())
            return false;
        return std::find(all.begin(), all.end(), settings.self) != all.end()
            && settings.heartbeatInterval < settings.minElectionTimeout
            && settings.minElectionTimeout < settings.maxElectionTimeout
            && settings.quorumTimeout <= settings.maxElectionTimeout && settings.maxEntriesPerAppend > 0;
    }

    bool areConsecutive(const DurableState& state)
    {
        const LogIndex covered = state.snapshot ? state.snapshot->index : 0;
        if (!state.entries.empty() && state.entries.front().index > covered + 1)
            return false;
        for (std::size_t i = 1; i < state.entries.size(); ++i) {
            if (state.entries[i].index != state.entries[i - 1].index + 1)
                return false;
        }
        return true;
    }

} // namespace

Result<Replica, CreateError> Replica::create(Settings settings, DurableState state, TimePoint now)
{
    if (!isValid(settings))
        return CreateError::InvalidSettings;
    if (!state.hard && (state.snapshot || !state.entries.empty()))
        return CreateError::RecordsWithoutState;
    if (state.hard && state.hard->self.instance != settings.self)
        return CreateError::ForeignFolder;
    if (!areConsecutive(state))
        return CreateError::RecordsNotConsecutive;
    return Replica { std::move(settings), std::move(state), now };
}

Replica::Replica(Settings initial, DurableState state, TimePoint now)
    : settings { std::move(initial) }
    , random { this->settings.seed }
    , log { state }
    , now { now }
    , lastLeaderContact { now }
{
    if (state.hard) {
        this->hardState = *state.hard;
        // A crash can leave entries on disk whose term had not reached the hard state.
        if (this->log.lastTerm() > this->hardState.term) {
            this->hardState.term = this->log.lastTerm();
            this->hardState.vote.reset();
            this->hardStateChanged = true;
        }
    } else {
        this->hardState.self = ReplicaId { this->settings.self, this->drawIncarnation() };
        this->hardStateChanged = true;
        this->report(zinnia::Event::ReplicaCreated, this->hardState.self);
    }
    this->durableIndex = this->log.lastIndex();
    this->commitIndex = std::max(this->log.snapshot().index, std::min(this->hardState.commit, this->log.lastIndex()));
    this->durableCommitIndex = this->commitIndex;
    this->appliedIndex = this->log.snapshot().index;
    if (this->appliedIndex > 0)
        this->actions.emplace_back(Restore { this->appliedIndex, this->log.snapshot().data });
    // A higher term shows that this data folder has belonged to a log before.
    if (this->settings.bootstrap && this->log.lastIndex() == 0 && this->hardState.term <= 1) {
        if (this->isInitialVoter() && this->hardState.self.incarnation == initialVoterIncarnation) {
            Membership membership;
            std::uint64_t id = 0;
            for (const auto& instance : this->settings.initialVoters) {
                membership.voters.push_back(ReplicaId { instance, initialVoterIncarnation });
                id = hashOf(id, instance.value);
            }
            this->hardState.log = LogId { id | 1U };
            this->bootstrapLog(std::move(membership));
        } else if (!this->isDynamic()) {
            this->hardState.log = LogId { this->random() | 1U };
            this->bootstrapLog(Membership { { this->hardState.self } });
        }
    }
    this->resetElectionTimer();
}

bool Replica::isInitialVoter() const
{
    const auto& initialVoters = this->settings.initialVoters;
    return this->settings.bootstrap && this->isDynamic()
        && std::find(initialVoters.begin(), initialVoters.end(), this->settings.self) != initialVoters.end();
}

std::uint64_t Replica::drawIncarnation()
{
    if (this->isInitialVoter())
        return initialVoterIncarnation;
    const std::uint64_t number = this->random();
    if (!this->isDynamic())
        return std::max<std::uint64_t>(number, 1);
    // The other instances of the first start have not succeeded anyone.
    return this->settings.bootstrap ? initialVoterIncarnation + 1 + number % (firstLateIncarnation / 2)
                                    : std::max(number, firstLateIncarnation);
}

void Replica::bootstrapLog(Membership voters)
{
    this->hardState.term = 1;
    this->hardState.vote = this->hardState.self;
    this->hardState.commit = 1;
    this->hardStateChanged = true;
    this->commitIndex = 1;
    const LogEntry first { 1, 1, std::move(voters) };
    this->log.append(first);
    this->newEntries.push_back(first);
    this->report(zinnia::Event::ClusterBootstrapped, this->hardState.self);
}

Actions Replica::handle(const Event& event, TimePoint time)
{
    this->runningTime
        += std::clamp<Microseconds>(time - this->now, Microseconds { 0 }, this->settings.heartbeatInterval);
    this->now = time;
    // Checked first, so that a leader that resumes after a long pause of its process acknowledges nothing.
    this->checkQuorum();
    std::visit([this](const auto& alternative) { this->on(alternative); }, event);
    this->addWritesAndMessages();
    return std::exchange(this->actions, {});
}

void Replica::on(const Tick&)
{
    if (this->role == Role::StorageFailed || this->role == Role::Replaced)
        return;
    if (this->role == Role::Leader) {
        this->admitLearners();
        if (this->now >= this->nextHeartbeat) {
            this->nextHeartbeat = this->now + this->settings.heartbeatInterval;
            this->broadcast(true);
        }
        return;
    }
    // A voter that was replaced while it was down or partitioned learns this from the entries that learners receive.
    const bool isLeaderless = this->isDynamic()
        && this->now - this->lastLeaderContact
            > rejoinElectionTimeouts * Microseconds { this->settings.maxElectionTimeout };
    if (this->stopping)
        this->sendLeaveRequest();
    else if (!this->isEligibleVoter() || isLeaderless)
        this->sendJoinRequests();
    if (this->isEligibleVoter() && this->now >= this->electionDeadline)
        this->campaign();
    // A voter forgets its leader when it campaigns; a learner never does.
    if (!this->isEligibleVoter() && this->now - this->lastLeaderContact >= this->settings.maxElectionTimeout)
        this->leader.reset();
}

void Replica::on(const Receive& event)
{
    if (this->isAcceptable(event.message))
        std::visit([this](const auto& message) { this->on(message); }, event.message);
}

bool Replica::isAcceptable(const Message& message)
{
    const Header& header = headerOf(message);
    if (this->role == Role::StorageFailed || header.from == this->hardState.self)
        return false;
    const bool anyIncarnation
        = std::holds_alternative<JoinRequest>(message) || !this->settings.safetyChecks.joinAsLearner;
    if (header.to.instance != this->hardState.self.instance || (!anyIncarnation && header.to != this->hardState.self)) {
        this->report(zinnia::Event::WrongReplicaAddressed, header.from);
        return false;
    }
    if (this->role == Role::Replaced) {
        this->report(zinnia::Event::ReplicaReplaced, header.from);
        return false;
    }
    const bool lacksLogId = this->hardState.log == LogId {} || header.log == LogId {};
    if (!lacksLogId && header.log != this->hardState.log) {
        this->report(zinnia::Event::ForeignLogRefused, header.from);
        return false;
    }
    return true;
}

void Replica::on(const Propose& event)
{
    const auto refuse = [&](ProposalResult result) { this->actions.emplace_back(ProposalDone { event.id, result }); };
    if (const auto cause = this->refusalCauseFor(event.command.size()))
        return refuse(Refused { *cause });
    if (this->role != Role::Leader)
        return refuse(NotLeader { this->leader ? std::optional { this->leader->instance } : std::nullopt });
    // An entry that the successor lacks would cost it the vote of this replica.
    if (this->designated && this->now < this->designated->second)
        return refuse(NotLeader { this->designated->first.instance });
    // With fewer voters than a majority of the instances, the loss of one disk could lose an acknowledged command.
    if (!this->isDynamic()
        && this->log.latestMembership().membership.voters.size() < this->settings.instances.size() / 2 + 1)
        return refuse(Refused { RefusalCause::NotReady });
    this->appendAsLeader(Command { event.command });
    this->pendingProposals.emplace(this->log.lastIndex(), event.id);
    this->pendingBytes += event.command.size();
}

std::optional<RefusalCause> Replica::refusalCauseFor(std::size_t size) const
{
    if (this->role == Role::StorageFailed)
        return RefusalCause::StorageFailed;
    if (this->stopping)
        return RefusalCause::Stopping;
    if (this->role == Role::Replaced)
        return RefusalCause::NotReady;
    if (size > this->settings.maxCommandBytes)
        return RefusalCause::TooLarge;
    if (this->pendingProposals.size() + this->pendingReads.size() >= this->settings.maxPendingProposals)
        return RefusalCause::Overloaded;
    if (this->pendingBytes > 0 && this->pendingBytes + size > this->settings.maxPendingBytes)
        return RefusalCause::Overloaded;
    return std::nullopt;
}

void Replica::on(const Read& event)
{
    if (const auto cause = this->refusalCauseFor(0)) {
        this->actions.emplace_back(ReadDone { event.id, Refused { *cause } });
    } else if (this->role != Role::Leader) {
        const auto instance = this->leader ? std::optional { this->leader->instance } : std::nullopt;
        this->actions.emplace_back(ReadDone { event.id, NotLeader { instance } });
    } else {
        this->pendingReads.push_back(PendingRead { event.id, this->now });
        this->broadcastPending = true;
    }
}

void Replica::on(const Persisted& event)
{
    if (this->role == Role::StorageFailed)
        return;
    while (!this->pendingWrites.empty() && this->pendingWrites.front().write <= event.write) {
        this->durableIndex = std::max(this->durableIndex, this->pendingWrites.front().lastIndex);
        this->durableCommitIndex = std::max(this->durableCommitIndex, this->pendingWrites.front().commit);
        this->pendingWrites.pop_front();
    }
    while (!this->deferredMessages.empty() && this->deferredMessages.front().write <= event.write) {
        this->send(std::move(this->deferredMessages.front().message));
        this->deferredMessages.pop_front();
    }
    if (this->role == Role::Candidate && this->selfVoteWriteNumber <= event.write) {
        this->votes.insert(this->votingIdOf(this->hardState.self));
        if (this->hasQuorumOfVotes())
            this->becomeLeader();
    }
    if (this->role == Role::Leader)
        this->advanceLeaderCommit();
    this->applyCommitted();
}

void Replica::on(const PersistFailed&)
{
    if (this->role == Role::StorageFailed)
        return;
    this->stepDown(zinnia::Event::LeaderSteppedDown);
    this->role = Role::StorageFailed;
    this->deferredMessages.clear();
    this->messagesToDefer.clear();
    this->pendingWrites.clear();
    this->report(zinnia::Event::StorageFailed, this->hardState.self);
}

void Replica::on(const SnapshotTaken& event)
{
    if (event.index > this->appliedIndex || event.index <= this->log.snapshot().index)
        return;
    if (event.data.size() > this->settings.maxSnapshotBytes)
        return this->report(zinnia::Event::SnapshotTooLarge, this->hardState.self, event.index);
    this->log.compact(event.index, event.data, this->settings.trailingEntries, this->settings.trailingBytes);
    this->newSnapshot = this->log.snapshot();
    this->report(zinnia::Event::SnapshotSaved, this->hardState.self, event.index);
}

void Replica::on(const InstancesUpdated& event)
{
    if (!this->isDynamic())
        return;
    this->settings.instances = event.instances;
    this->zones = event.zones;
    // The driver has closed the stream to an instance that is gone, without a report of what was on it.
    for (auto& [id, peer] : this->progress) {
        if (peer.transfer != 0
            && std::find(event.instances.begin(), event.instances.end(), id.instance) == event.instances.end())
            abandonTransfer(peer);
    }
}

void Replica::on(const Stop&) { this->stopping = true; }

Header Replica::headerTo(const ReplicaId& to) const
{
    return Header { this->hardState.log, this->hardState.self, to, this->hardState.term };
}

void Replica::send(Message message) { this->actions.emplace_back(Send { std::move(message) }); }

void Replica::sendWhenDurable(Message message) { this->messagesToDefer.push_back(std::move(message)); }

void Replica::report(zinnia::Event event, const ReplicaId& other, LogIndex index)
{
    // Rate limit: a peer may repeat a refused message without end.
    const auto [last, isFirst] = this->lastReported.try_emplace({ event, other }, this->now);
    const bool isOwn = other == this->hardState.self;
    if (!isFirst && !isOwn && this->now - last->second < this->settings.reportInterval)
        return;
    last->second = this->now;
    this->actions.emplace_back(Report { event, other, this->hardState.term, index });
}

void Replica::addWritesAndMessages()
{
    if (this->role == Role::StorageFailed)
        return;
    if (this->role == Role::Leader) {
        if (std::exchange(this->broadcastPending, false))
            this->broadcast(false);
        this->answerReads();
    }
    if (this->hardStateChanged || this->truncateFrom > 0 || this->newSnapshot || !this->newEntries.empty()) {
        Persist write;
        write.write = ++this->lastWriteNumber;
        if (std::exchange(this->hardStateChanged, false))
            write.hard = this->hardState;
        write.truncateFrom = std::exchange(this->truncateFrom, 0);
        write.resetLog = std::exchange(this->resetLog, false);
        write.snapshot = std::exchange(this->newSnapshot, std::nullopt);
        write.entries = std::exchange(this->newEntries, {});
        const LogIndex knownCommit = std::max(this->hardState.commit, this->log.snapshot().index);
        this->pendingWrites.push_back(PendingWrite { write.write, this->log.lastIndex(), knownCommit });
        this->actions.emplace_back(std::move(write));
    }
    for (auto& message : std::exchange(this->messagesToDefer, {})) {
        if (this->pendingWrites.empty())
            this->send(std::move(message));
        else
            this->deferredMessages.push_back(DeferredMessage { this->pendingWrites.back().write, std::move(message) });
    }
    if (this->role != Role::Leader && this->selfVotePending) {
        // The candidate counts its own vote once this write is durable.
        this->selfVoteWriteNumber = this->lastWriteNumber;
        this->selfVotePending = false;
    }
}

Status Replica::status() const
{
    Status status;
    status.self = this->hardState.self;
    status.log = this->hardState.log;
    const bool isLearner = this->role == Role::Follower && !this->isEligibleVoter();
    status.role = isLearner ? Role::Learner : this->role;
    status.term = this->hardState.term;
    status.commit = this->commitIndex;
    status.applied = this->appliedIndex;
    status.lastIndex = this->log.lastIndex();
    status.snapshotIndex = this->log.snapshot().index;
    if (this->leader)
        status.leader = this->leader->instance;
    status.hasCaughtUp = this->hasCaughtUp || this->role == Role::Leader;
    status.lag = this->lag();
    status.voters = this->log.membershipAt(this->commitIndex).membership.voters;
    for (const auto& [id, progress] : this->progress) {
        if (!this->log.latestMembership().membership.contains(id))
            status.learners.push_back(id);
    }
    return status;
}

} // namespace zinnia::consensus
