#pragma once

#include "zinnia/consensus/types.hpp"

#include <map>
#include <optional>
#include <string>

namespace zinnia::consensus {

/** @brief Availability zones of instances, as far as they are known. */
using ZoneTable = std::map<InstanceId, std::string>;

/** @return Number of voters in the zone of an instance; 0 if the zone is not known. */
[[nodiscard]] std::size_t votersInZoneOf(InstanceId instance, const Membership& membership, const ZoneTable& zones);

/**
 * @brief Selects a voter that a learner should replace, so that the loss of a zone costs fewer voters.
 * @param leader Is not selected: its replacement would cost an election.
 * @return A voter of the zone with most voters, if that has at least two more than the zone of the learner.
 */
[[nodiscard]] std::optional<ReplicaId> voterInCrowdedZone(
    const Membership& membership, const ReplicaId& learner, const ReplicaId& leader, const ZoneTable& zones);

} // namespace zinnia::consensus
