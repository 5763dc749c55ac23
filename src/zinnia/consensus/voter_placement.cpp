#include "zinnia/consensus/voter_placement.hpp"

#include "zinnia/consensus/seniority.hpp"

namespace zinnia::consensus {

std::size_t votersInZoneOf(InstanceId instance, const Membership& membership, const ZoneTable& zones)
{
    const auto zone = zones.find(instance);
    if (zone == zones.end())
        return 0;
    return static_cast<std::size_t>(
        std::count_if(membership.voters.begin(), membership.voters.end(), [&](const ReplicaId& voter) {
            const auto other = zones.find(voter.instance);
            return other != zones.end() && other->second == zone->second;
        }));
}

std::optional<ReplicaId> voterInCrowdedZone(
    const Membership& membership, const ReplicaId& learner, const ReplicaId& leader, const ZoneTable& zones)
{
    if (!zones.contains(learner.instance))
        return std::nullopt;
    std::size_t most = votersInZoneOf(learner.instance, membership, zones) + 1;
    std::optional<ReplicaId> selected;
    for (const ReplicaId& voter : membership.voters) {
        const std::size_t count = votersInZoneOf(voter.instance, membership, zones);
        if (voter == leader || count < most)
            continue;
        // Of the voters of a zone, the one that has joined first may have a successor.
        if (count == most && (!selected || arrivalRankOf(voter, membership) >= arrivalRankOf(*selected, membership)))
            continue;
        most = count;
        selected = voter;
    }
    return selected;
}

} // namespace zinnia::consensus
