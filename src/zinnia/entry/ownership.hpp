#pragma once

#include "zinnia/config/configuration.hpp"
#include "zinnia/flow/placement.hpp"
#include "zinnia/membership/view.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace zinnia::entry {

/** @brief Buckets of one service. */
struct OwnedBuckets {
    ServiceId service;
    std::vector<BucketIndex> buckets;
    /** The other owner of a bucket: the previous one if it was gained, the new one if it was lost. Absent if none. */
    std::map<BucketIndex, InstanceId> otherOwners;
};

/** @brief Deputies of buckets that this entry owns; instance 0 for none. */
struct BucketDeputies {
    ServiceId service;
    std::map<BucketIndex, InstanceId> deputies;
};

/** @brief What has changed since the last call. */
struct OwnershipChange {
    std::vector<OwnedBuckets> gained;
    std::vector<OwnedBuckets> lost;
    /** Owned buckets that were gained, or have another deputy. */
    std::vector<BucketDeputies> deputies;
};

/**
 * @brief Tracks which buckets this entry owns, to tell the request layer which it has gained and lost.
 *
 * The first owner of a bucket after the start of the cluster has gained it, too: the entry cannot know whether
 * there was another owner before.
 */
class OwnershipTracker {
public:
    /** @brief Compares the buckets that this entry owns now with those of the last call. */
    [[nodiscard]] OwnershipChange update(const config::Configuration& configuration, const membership::View& view);

private:
    /** Holders of each bucket in the last view; instance 0 in buckets of other zones. */
    std::map<ServiceId, std::vector<flow::BucketAssignment>> holders;
};

} // namespace zinnia::entry
