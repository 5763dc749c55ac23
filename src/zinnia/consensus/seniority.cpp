#include "zinnia/consensus/seniority.hpp"

#include <limits>

namespace zinnia::consensus {

namespace {

    /** Rank of a learner that is not recorded yet. */
    constexpr std::size_t unrecordedRank = std::numeric_limits<std::size_t>::max();

    bool isRecorded(InstanceId instance, const Membership& membership)
    {
        const auto& arrivals = membership.arrivals;
        return std::find(arrivals.begin(), arrivals.end(), instance) != arrivals.end();
    }

    bool shareZone(InstanceId left, InstanceId right, const ZoneTable& zones)
    {
        const auto first = zones.find(left);
        const auto second = zones.find(right);
        return first != zones.end() && second != zones.end() && first->second == second->second;
    }

} // namespace

std::size_t arrivalRankOf(const ReplicaId& replica, const Membership& membership)
{
    const auto& arrivals = membership.arrivals;
    if (const auto found = std::find(arrivals.begin(), arrivals.end(), replica.instance); found != arrivals.end())
        return 1 + static_cast<std::size_t>(found - arrivals.begin());
    const bool isNew = isLate(replica) && !membership.voterOf(replica.instance);
    return isNew ? unrecordedRank : 0;
}

std::optional<ReplicaId> predecessorOf(const ReplicaId& learner, const Membership& membership, const ZoneTable& zones)
{
    std::size_t lowest = arrivalRankOf(learner, membership);
    std::optional<ReplicaId> oldest;
    for (const ReplicaId& voter : membership.voters) {
        const std::size_t rank = arrivalRankOf(voter, membership);
        if (!shareZone(voter.instance, learner.instance, zones) || rank >= lowest)
            continue;
        lowest = rank;
        oldest = voter;
    }
    return oldest;
}

bool isSucceeded(const ReplicaId& voter, const Membership& membership, const ZoneTable& zones)
{
    const std::size_t rank = arrivalRankOf(voter, membership);
    return std::any_of(membership.voters.begin(), membership.voters.end(), [&](const ReplicaId& other) {
        return shareZone(voter.instance, other.instance, zones) && arrivalRankOf(other, membership) > rank;
    });
}

void recordArrivals(
    Membership& next, const Membership& before, const std::vector<ReplicaId>& known, const ReplicaId& admitted)
{
    // As long as all voters are of the first start, they share one rank, and the previous release can read the entry.
    if (next.arrivals.empty() && !isLate(admitted))
        return;
    const auto record = [&](InstanceId instance) {
        if (!isRecorded(instance, next))
            next.arrivals.push_back(instance);
    };
    for (const ReplicaId& replica : known) {
        if (replica.instance != admitted.instance && arrivalRankOf(replica, before) != unrecordedRank)
            record(replica.instance);
    }
    record(admitted.instance);
    if (next.arrivals.size() > maxArrivals)
        next.arrivals.erase(next.arrivals.begin(), next.arrivals.end() - maxArrivals);
}

} // namespace zinnia::consensus
