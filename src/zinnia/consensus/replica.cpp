#include "zinnia/consensus/replica.hpp"

#include "zinnia/consensus/quorum.hpp"
#include "zinnia/core/hash.hpp"

namespace zinnia::consensus {

namespace {

    /** Incarnation that all founders share, so that each of them can name the identities of the others. */
    constexpr std::uint64_t founderIncarnation = 1;

    /** Longest election timeouts without a leader after which a voter of a dynamic group announces itself again. */
    constexpr int leftOutElections = 2;

    bool isValid(const Settings& settings)
    {
        const auto& all = settings.instances;
        if (settings.targetVoters > 0 && settings.bootstrap && settings.founders.empty())
            return false;
        return std::find(all.begin(), all.end(), settings.self) != all.end()
            && settings.heartbeatInterval < settings.shortestElection
            && settings.shortestElection < settings.longestElection
            && settings.quorumTimeout <= settings.longestElection && settings.recordsPerAppend > 0;
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
        this->hard = *state.hard;
        // A crash can leave entries on disk whose term had not reached the hard state.
        if (this->log.lastTerm() > this->hard.term) {
            this->hard.term = this->log.lastTerm();
            this->hard.vote.reset();
            this->hardDirty = true;
        }
    } else {
        const std::uint64_t incarnation = this->isFounder() ? founderIncarnation : this->random();
        this->hard.self = ReplicaId { this->settings.self, incarnation == 0 ? 1 : incarnation };
        this->hardDirty = true;
        this->report(zinnia::Event::ReplicaCreated, this->hard.self);
    }
    this->stable = this->log.lastIndex();
    this->commit = std::max(this->log.snapshot().index, std::min(this->hard.commit, this->log.lastIndex()));
    this->durableCommit = this->commit;
    this->applied = this->log.snapshot().index;
    if (this->applied > 0)
        this->actions.emplace_back(Restore { this->applied, this->log.snapshot().data });
    // A higher term shows that this data folder has belonged to a log before.
    if (this->settings.bootstrap && this->log.lastIndex() == 0 && this->hard.term <= 1) {
        if (this->isFounder() && this->hard.self.incarnation == founderIncarnation) {
            Membership founders;
            std::uint64_t id = 0;
            for (const auto& founder : this->settings.founders) {
                founders.voters.push_back(ReplicaId { founder, founderIncarnation });
                id = hashOf(id, founder.value);
            }
            this->hard.log = LogId { id | 1U };
            this->found(std::move(founders));
        } else if (!this->isDynamic()) {
            this->hard.log = LogId { this->random() | 1U };
            this->found(Membership { { this->hard.self } });
        }
    }
    this->resetElection();
}

bool Replica::isFounder() const
{
    const auto& founders = this->settings.founders;
    return this->settings.bootstrap && this->isDynamic()
        && std::find(founders.begin(), founders.end(), this->settings.self) != founders.end();
}

void Replica::found(Membership voters)
{
    this->hard.term = 1;
    this->hard.vote = this->hard.self;
    this->hard.commit = 1;
    this->hardDirty = true;
    this->commit = 1;
    const Entry first { 1, 1, std::move(voters) };
    this->log.append(first);
    this->newEntries.push_back(first);
    this->report(zinnia::Event::ClusterBootstrapped, this->hard.self);
}

Actions Replica::handle(const Event& event, TimePoint time)
{
    this->now = time;
    // Checked first, so that a leader that resumes after a long pause of its process acknowledges nothing.
    this->checkQuorum();
    std::visit([this](const auto& alternative) { this->on(alternative); }, event);
    this->finish();
    return std::exchange(this->actions, {});
}

void Replica::on(const Tick&)
{
    if (this->role == Role::StorageFailed || this->role == Role::Replaced)
        return;
    if (this->role == Role::Leader) {
        this->admitLearners();
        if (this->now >= this->heartbeatDue) {
            this->heartbeatDue = this->now + this->settings.heartbeatInterval;
            this->broadcast(true);
        }
        return;
    }
    // A voter that was replaced while it was down or partitioned learns this from the entries that learners receive.
    const bool isLeftOut = this->isDynamic()
        && this->now - this->lastLeaderContact > leftOutElections * Microseconds { this->settings.longestElection };
    if (!this->mayVote() || isLeftOut)
        this->sayHello();
    if (this->mayVote() && this->now >= this->electionDue)
        this->campaign();
}

void Replica::on(const Receive& event)
{
    if (this->admits(event.message))
        std::visit([this](const auto& message) { this->on(message); }, event.message);
}

bool Replica::admits(const Message& message)
{
    const Header& header = headerOf(message);
    if (this->role == Role::StorageFailed || header.from == this->hard.self)
        return false;
    const bool anyIncarnation = std::holds_alternative<Hello>(message) || !this->settings.policy.learnerFirst;
    if (header.to.instance != this->hard.self.instance || (!anyIncarnation && header.to != this->hard.self)) {
        this->report(zinnia::Event::WrongReplicaAddressed, header.from);
        return false;
    }
    if (this->role == Role::Replaced) {
        this->report(zinnia::Event::ReplicaReplaced, header.from);
        return false;
    }
    const bool isNew = this->hard.log == LogId {} || header.log == LogId {};
    if (!isNew && header.log != this->hard.log) {
        this->report(zinnia::Event::ForeignLogRefused, header.from);
        return false;
    }
    return true;
}

void Replica::on(const Propose& event)
{
    const auto refuse = [&](ProposalResult result) { this->actions.emplace_back(ProposalDone { event.id, result }); };
    if (const auto cause = this->refusalOf(event.command.size()))
        return refuse(Refused { *cause });
    if (this->role != Role::Leader)
        return refuse(NotLeader { this->leader ? std::optional { this->leader->instance } : std::nullopt });
    // With fewer voters than a majority of the instances, the loss of one disk could lose an acknowledged command.
    if (!this->isDynamic() && this->log.latest().membership.voters.size() < this->settings.instances.size() / 2 + 1)
        return refuse(Refused { RefusalCause::NotReady });
    this->appendOwn(Command { event.command });
    this->pending.emplace(this->log.lastIndex(), event.id);
}

std::optional<RefusalCause> Replica::refusalOf(std::size_t size) const
{
    if (this->role == Role::StorageFailed)
        return RefusalCause::StorageFailed;
    if (this->stopping)
        return RefusalCause::Stopping;
    if (this->role == Role::Replaced)
        return RefusalCause::NotReady;
    if (size > this->settings.largestCommand)
        return RefusalCause::TooLarge;
    if (this->pending.size() + this->reads.size() >= this->settings.pendingProposals)
        return RefusalCause::Overloaded;
    return std::nullopt;
}

void Replica::on(const Read& event)
{
    if (const auto cause = this->refusalOf(0)) {
        this->actions.emplace_back(ReadDone { event.id, Refused { *cause } });
    } else if (this->role != Role::Leader) {
        const auto instance = this->leader ? std::optional { this->leader->instance } : std::nullopt;
        this->actions.emplace_back(ReadDone { event.id, NotLeader { instance } });
    } else {
        this->reads.push_back(PendingRead { event.id, this->now });
        this->broadcastDue = true;
    }
}

void Replica::on(const Persisted& event)
{
    if (this->role == Role::StorageFailed)
        return;
    while (!this->outstanding.empty() && this->outstanding.front().write <= event.write) {
        this->stable = std::max(this->stable, this->outstanding.front().lastIndex);
        this->durableCommit = std::max(this->durableCommit, this->outstanding.front().commit);
        this->outstanding.pop_front();
    }
    while (!this->held.empty() && this->held.front().write <= event.write) {
        this->send(std::move(this->held.front().message));
        this->held.pop_front();
    }
    if (this->role == Role::Candidate && this->selfVoteWrite <= event.write) {
        this->votes.insert(this->votingIdOf(this->hard.self));
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
    this->held.clear();
    this->gated.clear();
    this->outstanding.clear();
    this->report(zinnia::Event::StorageFailed, this->hard.self);
}

void Replica::on(const SnapshotTaken& event)
{
    if (event.index > this->applied || event.index <= this->log.snapshot().index)
        return;
    if (event.data.size() > this->settings.largestSnapshot)
        return this->report(zinnia::Event::SnapshotTooLarge, this->hard.self, event.index);
    this->log.compact(event.index, event.data, this->settings.trailingRecords);
    this->newSnapshot = this->log.snapshot();
    this->report(zinnia::Event::SnapshotSaved, this->hard.self, event.index);
}

void Replica::on(const InstancesKnown& event)
{
    if (this->isDynamic())
        this->settings.instances = event.instances;
}

void Replica::on(const Stop&) { this->stopping = true; }

Header Replica::headerTo(const ReplicaId& to) const
{
    return Header { this->hard.log, this->hard.self, to, this->hard.term };
}

void Replica::send(Message message) { this->actions.emplace_back(Send { std::move(message) }); }

void Replica::sendDurable(Message message) { this->gated.push_back(std::move(message)); }

void Replica::report(zinnia::Event event, const ReplicaId& other, LogIndex index)
{
    // Rate limit: a peer may repeat a refused message without end.
    const auto [last, isFirst] = this->reported.try_emplace({ event, other }, this->now);
    const bool isOwn = other == this->hard.self;
    if (!isFirst && !isOwn && this->now - last->second < this->settings.reportInterval)
        return;
    last->second = this->now;
    this->actions.emplace_back(Report { event, other, this->hard.term, index });
}

void Replica::finish()
{
    if (this->role == Role::StorageFailed)
        return;
    if (this->role == Role::Leader) {
        if (std::exchange(this->broadcastDue, false))
            this->broadcast(false);
        this->answerReads();
    }
    if (this->hardDirty || this->truncateFrom > 0 || this->newSnapshot || !this->newEntries.empty()) {
        Persist write;
        write.write = ++this->lastWrite;
        if (std::exchange(this->hardDirty, false))
            write.hard = this->hard;
        write.truncateFrom = std::exchange(this->truncateFrom, 0);
        write.resetLog = std::exchange(this->resetLog, false);
        write.snapshot = std::exchange(this->newSnapshot, std::nullopt);
        write.entries = std::exchange(this->newEntries, {});
        const LogIndex knownCommit = std::max(this->hard.commit, this->log.snapshot().index);
        this->outstanding.push_back(Outstanding { write.write, this->log.lastIndex(), knownCommit });
        this->actions.emplace_back(std::move(write));
    }
    for (auto& message : std::exchange(this->gated, {})) {
        if (this->outstanding.empty())
            this->send(std::move(message));
        else
            this->held.push_back(Held { this->outstanding.back().write, std::move(message) });
    }
    if (this->role != Role::Leader && this->campaigning) {
        // The candidate counts its own vote once this write is durable.
        this->selfVoteWrite = this->lastWrite;
        this->campaigning = false;
    }
}

Status Replica::status() const
{
    Status status;
    status.self = this->hard.self;
    status.log = this->hard.log;
    const bool isLearner = this->role == Role::Follower && !this->mayVote();
    status.role = isLearner ? Role::Learner : this->role;
    status.term = this->hard.term;
    status.commit = this->commit;
    status.applied = this->applied;
    status.lastIndex = this->log.lastIndex();
    status.snapshotIndex = this->log.snapshot().index;
    if (this->leader)
        status.leader = this->leader->instance;
    status.voters = this->log.membershipAt(this->commit).membership.voters;
    for (const auto& [id, progress] : this->progress) {
        if (!this->log.latest().membership.contains(id))
            status.learners.push_back(id);
    }
    return status;
}

} // namespace zinnia::consensus
