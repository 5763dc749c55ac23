#include "zinnia/consensus/quorum.hpp"
#include "zinnia/consensus/replica.hpp"
#include "zinnia/consensus/seniority.hpp"

namespace zinnia::consensus {

namespace {

    /** The pause between two attempts of a leader to hand over doubles this often. */
    constexpr unsigned maxHandoverDoublings = 4;

} // namespace

bool Replica::isEligibleVoter() const
{
    if (!this->settings.safetyChecks.joinAsLearner)
        return true;
    // The membership that admits this replica must be durably known as committed. A voter that no longer knew it
    // after a restart could not help to elect a leader when another voter loses its disk.
    const IndexedMembership& committed = this->log.membershipAt(this->durableCommitIndex);
    return committed.membership.contains(this->hardState.self) && this->durableIndex >= committed.index;
}

bool Replica::hasLeader() const
{
    return this->role == Role::Leader
        || (this->leader && this->now - this->lastLeaderContact < this->settings.minElectionTimeout);
}

bool Replica::isUpToDate(LogIndex lastIndex, Term lastTerm) const
{
    return std::pair { lastTerm, lastIndex } >= std::pair { this->log.lastTerm(), this->log.lastIndex() };
}

bool Replica::hasQuorumOfVotes() const
{
    return this->quorumValue<int>([this](const ReplicaId& id) { return this->votes.contains(id) ? 1 : 0; }) == 1;
}

ReplicaId Replica::votingIdOf(const ReplicaId& id) const
{
    if (this->settings.safetyChecks.joinAsLearner)
        return id;
    return this->log.latestMembership().membership.voterOf(id.instance).value_or(id);
}

void Replica::resetElectionTimer()
{
    const double factor = this->hasSeenLeader ? 1.0 : this->settings.initialElectionTimeoutFactor;
    const auto scaled = [factor](Milliseconds timeout) {
        return std::chrono::duration_cast<Microseconds>(factor * std::chrono::duration<double, std::milli> { timeout });
    };
    const Microseconds minTimeout = scaled(this->settings.minElectionTimeout);
    const Microseconds range = scaled(this->settings.maxElectionTimeout) - minTimeout;
    std::uniform_int_distribution<std::int64_t> jitter { 0, range.count() };
    this->electionDeadline = this->now + minTimeout + Microseconds { jitter(this->random) };
}

void Replica::campaign()
{
    this->resetElectionTimer();
    const ReplicaId self = this->votingIdOf(this->hardState.self);
    if (!this->log.latestMembership().membership.contains(self))
        return;
    this->role = Role::PreCandidate;
    this->leader.reset();
    this->votes = { self };
    if (this->hasQuorumOfVotes())
        return this->becomeCandidate();
    for (const auto& peer : this->peers()) {
        const LogIndex membershipIndex = this->log.membershipAt(this->commitIndex).index;
        PreVoteRequest request { this->headerTo(peer), this->log.lastIndex(), this->log.lastTerm(), membershipIndex,
            this->log.termAt(membershipIndex).value_or(0) };
        ++request.header.term;
        this->send(request);
    }
}

void Replica::becomeCandidate()
{
    this->role = Role::Candidate;
    ++this->hardState.term;
    this->hardState.vote = this->hardState.self;
    this->hardStateChanged = true;
    this->votes.clear();
    this->deferredMessages.clear();
    this->selfVotePending = true;
    this->resetElectionTimer();
    for (const auto& peer : this->peers())
        this->sendWhenDurable(VoteRequest { this->headerTo(peer), this->log.lastIndex(), this->log.lastTerm(),
            this->log.membershipAt(this->commitIndex).index });
}

void Replica::becomeLeader()
{
    this->role = Role::Leader;
    this->hasSeenLeader = true;
    this->designated.reset();
    this->handoverAttempts = 0;
    this->nextHandover = this->now;
    this->leader = this->hardState.self;
    this->report(zinnia::Event::LeaderElected, this->hardState.self);
    this->progress.clear();
    this->membershipProposedAt = this->now;
    this->syncProgress();
    // The previous leader has been unreachable since before the election, unless it voted.
    if (this->lastFollowedLeader && !this->votes.contains(*this->lastFollowedLeader)) {
        if (const auto found = this->progress.find(*this->lastFollowedLeader); found != this->progress.end())
            found->second.ackedRunningTime = this->leaderContactRunningTime;
    }
    for (const auto& [id, requestedAt] : this->joinRequests) {
        if (!this->log.latestMembership().membership.contains(id) && !this->isExpired(requestedAt))
            this->addLearner(id, requestedAt);
    }
    this->appendAsLeader(Noop {});
    this->firstIndexOfTerm = this->log.lastIndex();
    this->nextHeartbeat = this->now + this->settings.heartbeatInterval;
    // All followers start in the probing state, in which only heartbeats are sent.
    this->broadcast(true);
}

void Replica::becomeFollower(Term term, std::optional<ReplicaId> newLeader)
{
    if (term > this->hardState.term) {
        this->hardState.term = term;
        this->hardState.vote.reset();
        this->hardStateChanged = true;
        this->designated.reset();
        // Replies prepared in an earlier term must not be sent in the new one.
        this->deferredMessages.clear();
        this->messagesToDefer.clear();
    }
    if (this->role == Role::Leader)
        this->stepDown(zinnia::Event::LeaderSteppedDown);
    this->role = Role::Follower;
    this->votes.clear();
    this->leader = newLeader;
}

void Replica::stepDown(zinnia::Event cause)
{
    if (this->role == Role::Leader) {
        this->report(cause, this->hardState.self);
        for (const auto& [index, id] : this->pendingProposals)
            this->actions.emplace_back(ProposalDone { id, OutcomeUnknown {} });
        for (const auto& read : this->pendingReads)
            this->actions.emplace_back(ReadDone { read.id, NotLeader {} });
    }
    this->pendingProposals.clear();
    this->pendingBytes = 0;
    this->pendingReads.clear();
    this->progress.clear();
    this->votes.clear();
    this->role = Role::Follower;
    this->leader.reset();
    this->resetElectionTimer();
}

TimePoint Replica::lastQuorumContact() const
{
    const ReplicaId self = this->votingIdOf(this->hardState.self);
    return this->quorumValue<TimePoint>([&](const ReplicaId& id) {
        if (id == self)
            return this->now;
        const auto found = this->progress.find(id);
        return found == this->progress.end() ? TimePoint {} : found->second.ackedSendTime;
    });
}

void Replica::checkQuorum()
{
    if (this->role == Role::Leader && this->settings.safetyChecks.checkQuorum
        && this->now - this->lastQuorumContact() >= this->settings.quorumTimeout)
        this->stepDown(zinnia::Event::QuorumLost);
}

bool Replica::refuseReplacedSender(const Header& header, LogIndex membershipIndex)
{
    const IndexedMembership& committed = this->log.membershipAt(this->commitIndex);
    const bool isReplaced = committed.index > membershipIndex && !committed.membership.contains(header.from)
        && committed.membership.voterOf(header.from.instance).has_value();
    if (!isReplaced || !this->settings.safetyChecks.joinAsLearner)
        return false;
    this->report(zinnia::Event::ReplacedReplicaRefused, header.from, committed.index);
    this->send(Replaced { this->headerTo(header.from), committed.index });
    return true;
}

void Replica::on(const PreVoteRequest& message)
{
    if (this->refuseReplacedSender(message.header, message.membershipIndex))
        return;
    this->learnCommittedMembership(message.membershipIndex, message.membershipTerm);
    if (this->role == Role::Replaced)
        return;
    const bool granted = message.header.term > this->hardState.term && this->isEligibleVoter() && !this->hasLeader()
        && this->isUpToDate(message.lastIndex, message.lastTerm);
    this->send(PreVoteReply { this->headerTo(message.header.from), message.header.term, granted });
}

void Replica::learnCommittedMembership(LogIndex index, Term term)
{
    // A voter that stopped right after its admission may not know that the membership was committed. Without a leader
    // it can learn this only from a pre-vote request; otherwise a group of two voters could not elect a leader.
    const bool isInLog = index > this->commitIndex && index <= this->durableIndex && term > 0;
    if (isInLog && this->role != Role::Leader && this->log.termAt(index) == term)
        this->advanceCommit(index);
}

void Replica::on(const PreVoteReply& message)
{
    if (message.header.term > this->hardState.term)
        return this->becomeFollower(message.header.term, std::nullopt);
    if (this->role != Role::PreCandidate || !message.granted || message.requestTerm != this->hardState.term + 1)
        return;
    this->votes.insert(this->votingIdOf(message.header.from));
    if (this->hasQuorumOfVotes())
        this->becomeCandidate();
}

void Replica::on(const VoteRequest& message)
{
    if (this->refuseReplacedSender(message.header, message.membershipIndex))
        return;
    if (message.header.term > this->hardState.term && (!this->hasLeader() || this->isDesignated(message.header.from)))
        this->becomeFollower(message.header.term, std::nullopt);
    const bool granted = message.header.term == this->hardState.term && this->isEligibleVoter()
        && (!this->hardState.vote || *this->hardState.vote == message.header.from)
        && this->isUpToDate(message.lastIndex, message.lastTerm);
    if (granted) {
        this->hardStateChanged = this->hardStateChanged || !this->hardState.vote;
        this->hardState.vote = message.header.from;
        this->resetElectionTimer();
    }
    this->sendWhenDurable(VoteReply { this->headerTo(message.header.from), granted });
}

void Replica::on(const VoteReply& message)
{
    if (message.header.term > this->hardState.term)
        return this->becomeFollower(message.header.term, std::nullopt);
    if (this->role != Role::Candidate || !message.granted || message.header.term != this->hardState.term)
        return;
    this->votes.insert(this->votingIdOf(message.header.from));
    if (this->hasQuorumOfVotes())
        this->becomeLeader();
}

void Replica::on(const Replaced& message)
{
    if (message.membershipIndex <= this->log.membershipAt(this->commitIndex).index)
        return;
    this->retire(message.header.from, message.membershipIndex);
}

bool Replica::isDesignated(const ReplicaId& candidate) const
{
    return this->designated && this->designated->first == candidate && this->now < this->designated->second;
}

void Replica::transferLeadership()
{
    if (this->now < this->nextHandover || !this->pendingProposals.empty() || this->commitIndex != this->log.lastIndex())
        return;
    const Membership& voters = this->log.latestMembership().membership;
    std::optional<ReplicaId> successor;
    for (const ReplicaId& voter : voters.voters) {
        const auto found = this->progress.find(voter);
        if (found == this->progress.end() || !this->isInContact(found->second)
            || found->second.matchIndex != this->log.lastIndex())
            continue;
        if (!successor || arrivalRankOf(voter, voters) > arrivalRankOf(*successor, voters))
            successor = voter;
    }
    if (!successor)
        return;
    this->report(zinnia::Event::LeadershipTransferred, *successor);
    this->designated = { *successor, this->now + this->settings.minElectionTimeout };
    // A voter of the previous release ignores the request; the group must remain able to commit between two attempts.
    this->handoverAttempts = std::min(this->handoverAttempts + 1, maxHandoverDoublings);
    this->nextHandover = this->now + this->settings.minElectionTimeout * (1U << this->handoverAttempts);
    for (const ReplicaId& peer : this->peers())
        this->send(TransferLeadership { this->headerTo(peer), *successor });
}

void Replica::on(const TransferLeadership& message)
{
    if (message.header.term != this->hardState.term || this->leader != message.header.from)
        return;
    this->designated = { message.successor, this->now + this->settings.minElectionTimeout };
    if (message.successor == this->hardState.self && this->isEligibleVoter())
        this->becomeCandidate();
}

void Replica::retire(const ReplicaId& reporter, LogIndex membershipIndex)
{
    this->stepDown(zinnia::Event::LeaderSteppedDown);
    // In a dynamic group a removed instance remains as a learner. It retires only if another identity of the same
    // instance has replaced it.
    if (this->isDynamic() && reporter == this->hardState.self) {
        this->report(zinnia::Event::VoterLeft, reporter, membershipIndex);
        return;
    }
    this->role = Role::Replaced;
    this->deferredMessages.clear();
    this->messagesToDefer.clear();
    this->report(zinnia::Event::ReplicaReplaced, reporter, membershipIndex);
}

} // namespace zinnia::consensus
