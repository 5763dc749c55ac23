#pragma once

#include "zinnia/consensus/replica.hpp"

#include <algorithm>
#include <functional>
#include <vector>

namespace zinnia::consensus {

/** @return The highest value that a majority of the voters has reached; a default value if there is no voter. */
template <class T>
T Replica::quorumValue(const Membership& membership, const std::function<T(const ReplicaId&)>& valueOf) const
{
    if (membership.voters.empty())
        return T {};
    std::vector<T> values;
    for (const auto& voter : membership.voters)
        values.push_back(valueOf(voter));
    std::sort(values.begin(), values.end(), std::greater<> {});
    return values[membership.voters.size() / 2];
}

/**
 * @return The highest value reached by a majority of the latest membership and, until that membership is known to be
 *         committed, by a majority of the previous one as well.
 *
 * Replacing one identity by another removes and adds a voter in a single step, so majorities of the old and the new
 * membership need not overlap. Requiring both prevents two disjoint quorums.
 */
template <class T> T Replica::quorumValue(const std::function<T(const ReplicaId&)>& valueOf) const
{
    const T value = this->quorumValue<T>(this->log.latestMembership().membership, valueOf);
    if (this->isCommitted(this->log.latestMembership()))
        return value;
    const auto& before = this->log.previousMembership();
    // The first membership of a log has no predecessor.
    return before.membership.voters.empty() ? value : std::min(value, this->quorumValue<T>(before.membership, valueOf));
}

} // namespace zinnia::consensus
