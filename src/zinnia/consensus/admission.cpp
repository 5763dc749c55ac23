#include "zinnia/consensus/quorum.hpp"
#include "zinnia/consensus/replica.hpp"

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
        }
    }
    const auto isExpired = [this](const Progress& learner) {
        return this->now - learner.lastJoinRequest > learnerTimeoutIntervals * this->settings.joinRequestInterval;
    };
    std::erase_if(this->progress, [&](const auto& item) {
        return std::find(voters.begin(), voters.end(), item.first) == voters.end() && isExpired(item.second);
    });
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
    if (this->role != Role::Leader || this->log.latestMembership().membership.contains(from))
        return;
    const auto& instances = this->settings.instances;
    if (!this->isDynamic() && std::find(instances.begin(), instances.end(), from.instance) == instances.end())
        return this->report(zinnia::Event::LearnerRefused, from);
    // An instance has one data folder, so a learner with a new identity replaces its earlier one.
    std::erase_if(this->progress, [&](const auto& item) {
        return item.first.instance == from.instance && item.first != from && item.second.lastJoinRequest != TimePoint {}
        && !this->log.latestMembership().membership.contains(item.first);
    });
    const auto [entry, isNew] = this->progress.try_emplace(from);
    entry->second.lastJoinRequest = this->now;
    if (isNew) {
        entry->second.nextIndex = 1;
        this->sendAppend(from, entry->second, true);
    }
}

void Replica::admitLearners()
{
    this->syncProgress();
    // One membership change at a time, and only after an entry of this leader's term is committed. Otherwise two
    // leaders could count majorities of memberships that differ by more than one voter.
    if (!this->isCommitted(this->log.latestMembership()) || this->commitIndex < this->firstIndexOfTerm)
        return;
    for (const auto& [id, learner] : this->progress) {
        if (this->log.latestMembership().membership.contains(id) || learner.matchIndex < this->commitIndex)
            continue;
        if (auto next = this->membershipWith(id, learner))
            return this->appendAsLeader(std::move(*next));
    }
}

bool Replica::isUnreachable(const ReplicaId& voter, Milliseconds timeout) const
{
    if (voter == this->hardState.self)
        return false;
    const auto found = this->progress.find(voter);
    return found == this->progress.end() || this->now - found->second.ackedSendTime >= timeout;
}

std::optional<Membership> Replica::membershipWith(const ReplicaId& id, const Progress& learner)
{
    Membership next = this->log.latestMembership().membership;
    if (const auto voterOfInstance = next.voterOf(id.instance)) {
        if (!this->isUnreachable(*voterOfInstance, this->settings.quorumTimeout)) {
            this->report(zinnia::Event::LearnerRefused, id);
            return std::nullopt;
        }
        std::erase(next.voters, *voterOfInstance);
    } else if (this->isDynamic()) {
        if (this->now - learner.ackedSendTime >= this->settings.quorumTimeout)
            return std::nullopt;
        if (next.voters.size() >= this->settings.targetVoterCount) {
            const auto unreachable
                = std::find_if(next.voters.begin(), next.voters.end(), [this](const ReplicaId& voter) {
                      return this->isUnreachable(voter, this->settings.voterReplacementDelay);
                  });
            if (unreachable == next.voters.end())
                return std::nullopt;
            next.voters.erase(unreachable);
        }
    }
    next.voters.push_back(id);
    return next;
}

} // namespace zinnia::consensus
