#pragma once

#include "zinnia/consensus/types.hpp"
#include "zinnia/consensus/voter_placement.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace zinnia::consensus {

/** Incarnations below this limit were drawn at the first start of the group. */
inline constexpr std::uint64_t firstLateIncarnation = 1ULL << 32U;

/** Number of instances whose order of arrival a membership keeps. */
inline constexpr std::size_t maxArrivals = 64;

/** @return True if the identity was drawn after the first start of the group. */
[[nodiscard]] constexpr bool isLate(const ReplicaId& replica) noexcept
{
    return replica.incarnation >= firstLateIncarnation;
}

/**
 * @brief Rank of an instance in the order in which instances have joined the group; a higher one has joined later.
 *
 * Instances of the first start share the rank 0. A disk that was lost changes nothing: the rank belongs to the
 * instance.
 * @return The rank; the highest possible one for a learner that has joined and is not recorded yet.
 */
[[nodiscard]] std::size_t arrivalRankOf(const ReplicaId& replica, const Membership& membership);

/**
 * @brief Selects the voter that a learner succeeds: the one of its zone that joined first, if the learner joined later.
 * @return Nothing if there is none, or if the zone of the learner is not known.
 */
[[nodiscard]] std::optional<ReplicaId> predecessorOf(
    const ReplicaId& learner, const Membership& membership, const ZoneTable& zones);

/** @return True if another voter of the same zone has joined later. */
[[nodiscard]] bool isSucceeded(const ReplicaId& voter, const Membership& membership, const ZoneTable& zones);

/**
 * @brief Records the order of arrival in a membership, so that each later leader knows it.
 * @param before The membership that `next` replaces.
 * @param known Instances that the leader knows, in any order. Learners that have joined since the last record are left
 *        out: they are newer than `admitted` until they are admitted themselves.
 * @param admitted The learner that becomes a voter, which makes it the newest one unless it is recorded already.
 */
void recordArrivals(
    Membership& next, const Membership& before, const std::vector<ReplicaId>& known, const ReplicaId& admitted);

} // namespace zinnia::consensus
