#pragma once

#include "zinnia/config/configuration.hpp"
#include "zinnia/flow/placement.hpp"
#include "zinnia/membership/view.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace zinnia::entry {

/** @brief Buckets of one service that this entry has gained or lost. */
struct OwnedBuckets {
    ServiceId service;
    std::vector<BucketIndex> buckets;
    /** The other owner of a bucket: the previous one if it was gained, the new one if it was lost. Absent if none. */
    std::map<BucketIndex, InstanceId> otherOwners;
};

/** @brief Deputies of buckets that this entry owns; instance 0 if a bucket has no deputy. */
struct BucketDeputies {
    ServiceId service;
    std::map<BucketIndex, InstanceId> deputies;
};

/** @brief Changes of ownership and deputies since the last call of `OwnershipTracker::update`. */
struct OwnershipChange {
    std::vector<OwnedBuckets> gained;
    std::vector<OwnedBuckets> lost;
    /** Deputies of owned buckets that were gained or whose deputy has changed. */
    std::vector<BucketDeputies> deputies;
};

/**
 * @brief Tracks which buckets this entry owns, and reports those that it has gained and lost to the request layer.
 *
 * The first owner of a bucket after the start of the cluster is reported as a gain as well, because the entry cannot
 * know whether the bucket had another owner before.
 */
class OwnershipTracker {
public:
    /** @return Differences between the buckets that this entry owns now and those of the last call. */
    [[nodiscard]] OwnershipChange update(const config::Configuration& configuration, const membership::View& view);

private:
    /** Owner and deputy of each bucket in the last view; instance 0 in buckets of other zones. */
    std::map<ServiceId, std::vector<flow::BucketAssignment>> assignments;
};

} // namespace zinnia::entry
