#include "zinnia/entry/ownership.hpp"

#include <utility>

namespace zinnia::entry {

OwnershipChange OwnershipTracker::update(const config::Configuration& configuration, const membership::View& view)
{
    OwnershipChange change;
    for (const config::Service& service : configuration.services) {
        std::vector<flow::BucketAssignment>& knownAssignments = this->assignments[service.id];
        knownAssignments.resize(service.buckets);
        OwnedBuckets gained { service.id, {}, {} };
        OwnedBuckets lost { service.id, {}, {} };
        BucketDeputies deputies { service.id, {} };
        for (std::uint32_t index = 0; index < service.buckets; ++index) {
            const BucketIndex bucket { static_cast<std::uint16_t>(index) };
            const ZoneId zone = flow::bucketZoneOf(configuration, view, service.id, bucket);
            const bool isOwnZone = zone == view.zone;
            const flow::BucketAssignment current
                = isOwnZone ? flow::bucketAssignmentOf(view, zone, service.id, bucket) : flow::BucketAssignment {};
            const flow::BucketAssignment previous = std::exchange(knownAssignments[index], current);
            if (current.owner == view.self && (previous.owner != view.self || previous.deputy != current.deputy))
                deputies.deputies.emplace(bucket, current.deputy);
            if (previous.owner == current.owner || (previous.owner != view.self && current.owner != view.self))
                continue;
            const bool isGain = current.owner == view.self;
            const InstanceId other = isGain ? previous.owner : current.owner;
            OwnedBuckets& changed = isGain ? gained : lost;
            changed.buckets.push_back(bucket);
            if (other != InstanceId {})
                changed.otherOwners.emplace(bucket, other);
        }
        if (!gained.buckets.empty())
            change.gained.push_back(std::move(gained));
        if (!lost.buckets.empty())
            change.lost.push_back(std::move(lost));
        if (!deputies.deputies.empty())
            change.deputies.push_back(std::move(deputies));
    }
    return change;
}

} // namespace zinnia::entry
