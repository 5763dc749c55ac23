#include "zinnia/consensus/quorum.hpp"
#include "zinnia/consensus/replica.hpp"
#include "zinnia/consensus/seniority.hpp"

namespace zinnia::consensus {

namespace {

    /** The leader drops a learner after this many join request intervals without a join request. */
    constexpr int learnerTimeoutIntervals = 10;

} // namespace

std::vector<ReplicaId> Replica::peers() const
{
    std::vector<ReplicaId> result = this->log.latestMembership().membership.voters;
    if (!this->isCommitted(this->log.latestMembership())) {
        for (const auto& voter : this->log.previousMembership().membership.voters) {
            if (!this->log.latestMembership().membership.contains(voter))
                result.push_back(voter);
        }
    }
    std::erase_if(result, [this](const auto& id) { return id == this->votingIdOf(this->hardState.self); });
    return result;
}

void Replica::syncProgress()
{
    const auto voters = this->peers();
    for (const auto& peer : voters) {
        const auto [entry, isNew] = this->progress.try_emplace(peer);
        if (isNew) {
            entry->second.nextIndex = this->log.lastIndex() + 1;
            entry->second.ackedSendTime = this->now;
            entry->second.ackedRunningTime = this->runningTime;
        }
    }
    std::erase_if(this->progress, [&](const auto& item) {
        return std::find(voters.begin(), voters.end(), item.first) == voters.end()
            && this->isExpired(item.second.lastJoinRequest);
    });
}

bool Replica::isExpired(TimePoint joinRequest) const
{
    return this->now - joinRequest > learnerTimeoutIntervals * this->settings.joinRequestInterval;
}

void Replica::sendJoinRequests()
{
    if (this->now < this->nextJoinRequest)
        return;
    this->nextJoinRequest = this->now + this->settings.joinRequestInterval;
    for (const auto& instance : this->settings.instances) {
        if (instance != this->settings.self)
            this->sendWhenDurable(JoinRequest { this->headerTo(ReplicaId { instance, 0 }) });
    }
}

void Replica::on(const JoinRequest& message)
{
    const ReplicaId& from = message.header.from;
    if (this->log.latestMembership().membership.contains(from))
        return;
    const auto& instances = this->settings.instances;
    const bool isAllowed
        = this->isDynamic() || std::find(instances.begin(), instances.end(), from.instance) != instances.end();
    // An instance has one data folder, so a learner with a new identity replaces its earlier one.
    std::erase_if(this->joinRequests,
        [&](const auto& item) { return item.first.instance == from.instance || this->isExpired(item.second); });
    if (isAllowed)
        this->joinRequests.emplace(from, this->now);
    if (this->role != Role::Leader)
        return;
    if (!isAllowed)
        return this->report(zinnia::Event::LearnerRefused, from);
    std::erase_if(this->progress, [&](const auto& item) {
        return item.first.instance == from.instance && item.first != from && item.second.lastJoinRequest != TimePoint {}
        && !this->log.latestMembership().membership.contains(item.first);
    });
    this->addLearner(from, this->now);
}

void Replica::addLearner(const ReplicaId& id, TimePoint lastJoinRequest)
{
    const auto [entry, isNew] = this->progress.try_emplace(id);
    entry->second.lastJoinRequest = lastJoinRequest;
    if (!isNew)
        return;
    // A learner that has followed an earlier leader has most of the log already; an empty one tells so.
    entry->second.nextIndex = this->log.lastIndex() + 1;
    this->sendAppend(id, entry->second, true);
}

bool Replica::isLeaving() const
{
    if (!this->stopping || !this->isDynamic() || this->role == Role::StorageFailed || this->role == Role::Replaced)
        return false;
    if (!this->log.membershipAt(this->commitIndex).membership.contains(this->hardState.self))
        return false;
    if (this->role == Role::Leader)
        return !this->isCommitted(this->log.latestMembership()) || this->hasResponsiveLearner();
    return this->leader && !this->leaveRefused;
}

void Replica::sendLeaveRequest()
{
    if (!this->isDynamic() || !this->leader || this->leaveRefused || this->now < this->nextLeaveRequest)
        return;
    this->nextLeaveRequest = this->now + this->settings.joinRequestInterval;
    this->send(LeaveRequest { this->headerTo(*this->leader) });
}

void Replica::on(const LeaveRequest& message)
{
    if (this->role != Role::Leader)
        return;
    const ReplicaId& from = message.header.from;
    if (!this->log.latestMembership().membership.contains(from)) {
        // A learner that leaves must not become a voter. A voter that was removed has to learn the commit.
        const bool pending = !this->isCommitted(this->log.latestMembership());
        this->joinRequests.erase(from);
        if (!pending)
            this->progress.erase(from);
        return this->send(LeaveReply { this->headerTo(from), pending });
    }
    if (const auto found = this->progress.find(from); found != this->progress.end())
        found->second.lastLeaveRequest = this->now;
    this->send(LeaveReply { this->headerTo(from), this->hasResponsiveLearner() });
    this->admitLearners();
}

void Replica::on(const LeaveReply& message)
{
    if (this->stopping && message.header.term == this->hardState.term)
        this->leaveRefused = !message.pending;
}

bool Replica::isResponsive(const Progress& learner) const
{
    return !learner.probing && this->now - learner.ackedSendTime < this->settings.quorumTimeout;
}

bool Replica::hasResponsiveLearner() const
{
    const Membership& voters = this->log.latestMembership().membership;
    return std::any_of(this->progress.begin(), this->progress.end(),
        [&](const auto& item) { return !voters.contains(item.first) && this->isResponsive(item.second); });
}

void Replica::admitLearners()
{
    this->syncProgress();
    // One membership change at a time, and only after an entry of this leader's term is committed. Otherwise two
    // leaders could count majorities of memberships that differ by more than one voter.
    if (!this->isCommitted(this->log.latestMembership()) || this->commitIndex < this->firstIndexOfTerm)
        return;
    const std::vector<ReplicaId> learners = this->learnersToAdmit();
    for (const ReplicaId& id : learners) {
        if (auto next = this->membershipWith(id, this->progress.at(id)))
            return this->appendAsLeader(std::move(*next));
    }
    if (!this->succeedVoters(learners))
        this->spreadVoters(learners);
}

std::vector<ReplicaId> Replica::learnersToAdmit() const
{
    const Membership& current = this->log.latestMembership().membership;
    Membership remaining = current;
    if (const auto replaced = this->replaceableVoter())
        std::erase(remaining.voters, *replaced);
    std::vector<ReplicaId> learners;
    for (const auto& [id, learner] : this->progress) {
        if (!current.contains(id) && learner.matchIndex >= this->commitIndex)
            learners.push_back(id);
    }
    std::stable_sort(learners.begin(), learners.end(), [&](const ReplicaId& left, const ReplicaId& right) {
        const std::size_t leftCount = votersInZoneOf(left.instance, remaining, this->zones);
        const std::size_t rightCount = votersInZoneOf(right.instance, remaining, this->zones);
        // A learner that another one has succeeded may be removed at any moment.
        return leftCount != rightCount ? leftCount < rightCount
                                       : arrivalRankOf(left, current) > arrivalRankOf(right, current);
    });
    return learners;
}

bool Replica::succeedVoters(const std::vector<ReplicaId>& learners)
{
    const Membership& current = this->log.latestMembership().membership;
    if (!this->isDynamic())
        return false;
    bool succeedsLeader = false;
    for (const ReplicaId& id : learners) {
        if (!this->isInContact(this->progress.at(id)) || current.voterOf(id.instance))
            continue;
        const auto voter = predecessorOf(id, current, this->zones);
        if (voter == this->hardState.self) {
            succeedsLeader = true;
        } else if (voter) {
            this->appendAsLeader(this->replaceVoter(current, *voter, id));
            return true;
        }
    }
    // The next leader replaces this one. Its own proposal to do so would cost an election.
    if (succeedsLeader)
        this->transferLeadership();
    return false;
}

void Replica::spreadVoters(const std::vector<ReplicaId>& learners)
{
    const Membership& current = this->log.latestMembership().membership;
    if (!this->isDynamic())
        return;
    // Each change is a risk while instances come and go.
    const bool isCalm = this->now - this->membershipProposedAt >= this->settings.losses->calmPeriod();
    const bool isAnyLost = std::any_of(current.voters.begin(), current.voters.end(), [this](const ReplicaId& voter) {
        return this->isLeaving(voter) || this->silenceOf(voter) >= this->settings.silenceLimit();
    });
    if (isAnyLost)
        return;
    for (const ReplicaId& id : learners) {
        if (!this->isInContact(this->progress.at(id)) || current.voterOf(id.instance))
            continue;
        const auto voter = voterInCrowdedZone(current, id, this->hardState.self, this->zones);
        if (voter && (isCalm || isSucceeded(*voter, current, this->zones)))
            return this->appendAsLeader(this->replaceVoter(current, *voter, id));
    }
}

Membership Replica::replaceVoter(const Membership& membership, const ReplicaId& voter, const ReplicaId& learner)
{
    this->report(zinnia::Event::VoterReplaced, voter, this->log.lastIndex() + 1);
    Membership next = membership;
    std::erase(next.voters, voter);
    next.voters.push_back(learner);
    std::vector<ReplicaId> known { this->hardState.self, voter };
    for (const auto& [id, state] : this->progress)
        known.push_back(id);
    recordArrivals(next, membership, known, learner);
    return next;
}

Microseconds Replica::silenceOf(const ReplicaId& voter) const
{
    if (voter == this->votingIdOf(this->hardState.self))
        return Microseconds { 0 };
    const auto found = this->progress.find(voter);
    return found == this->progress.end() ? Microseconds::max() : this->runningTime - found->second.ackedRunningTime;
}

bool Replica::isSilent(const ReplicaId& voter) const
{
    // A majority that is as silent shows that this replica is slow or cut off, not the voter.
    const Milliseconds limit = this->settings.silenceLimit();
    const Microseconds silenceOfQuorum
        = -this->quorumValue<Microseconds>([this](const ReplicaId& id) { return -this->silenceOf(id); });
    return this->silenceOf(voter) >= limit && silenceOfQuorum < limit / 2;
}

bool Replica::isInContact(const Progress& learner) const
{
    return !learner.probing && this->runningTime - learner.ackedRunningTime < this->settings.silenceLimit() / 2;
}

bool Replica::isLeaving(const ReplicaId& voter) const
{
    if (voter == this->hardState.self)
        return this->stopping;
    const auto found = this->progress.find(voter);
    return found != this->progress.end() && found->second.lastLeaveRequest != TimePoint {}
    && this->now - found->second.lastLeaveRequest < this->settings.quorumTimeout;
}

std::optional<ReplicaId> Replica::replaceableVoter() const
{
    // All learners get time to answer a new leader, so that it can admit one of the right zone.
    const bool hasHeardLearners = this->now - this->membershipProposedAt >= this->settings.heartbeatInterval;
    std::optional<ReplicaId> silent;
    for (const ReplicaId& voter : this->log.latestMembership().membership.voters) {
        if (this->isLeaving(voter))
            return voter;
        if (hasHeardLearners && this->isSilent(voter) && (!silent || this->silenceOf(voter) > this->silenceOf(*silent)))
            silent = voter;
    }
    return silent;
}

std::optional<Membership> Replica::membershipWith(const ReplicaId& id, const Progress& learner)
{
    Membership next = this->log.latestMembership().membership;
    if (const auto voterOfInstance = next.voterOf(id.instance)) {
        if (!this->isSilent(*voterOfInstance)) {
            this->report(zinnia::Event::LearnerRefused, id);
            return std::nullopt;
        }
        std::erase(next.voters, *voterOfInstance);
    } else if (this->isDynamic()) {
        if (!this->isInContact(learner))
            return std::nullopt;
        if (next.voters.size() >= this->settings.losses->voterCount()) {
            const auto replaced = this->replaceableVoter();
            if (!replaced)
                return std::nullopt;
            return this->replaceVoter(next, *replaced, id);
        }
    }
    next.voters.push_back(id);
    return next;
}

} // namespace zinnia::consensus
