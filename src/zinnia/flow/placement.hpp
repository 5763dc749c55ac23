#pragma once

#include "zinnia/config/configuration.hpp"
#include "zinnia/core/hash.hpp"
#include "zinnia/membership/rendezvous.hpp"
#include "zinnia/upstream/upstream_info.hpp"

#include <span>
#include <vector>

namespace zinnia::flow {

/**
 * @brief Owner and deputy of a bucket within one zone; id 0 stands for none.
 *
 * The owner places and forwards the flows of the bucket. The deputy keeps replicated records of the
 * off-default flows and takes the bucket over when the owner dies.
 */
struct BucketAssignment {
    InstanceId owner;
    InstanceId deputy;

    [[nodiscard]] friend bool operator==(const BucketAssignment&, const BucketAssignment&) = default;
};

/** @brief Zone of a bucket that no zone can serve. */
inline constexpr ZoneId noZone {};

/**
 * @brief Chooses the zone of a bucket by weighted rendezvous hashing over the zones in service with an active entry.
 * @return The zone, or `noZone`. Zone ids start at 1.
 */
[[nodiscard]] ZoneId bucketZoneOf(
    const config::Configuration& configuration, const membership::View& view, ServiceId service, BucketIndex bucket);

/** @return Owner and deputy of the bucket among the active entries of the zone. */
[[nodiscard]] BucketAssignment bucketAssignmentOf(
    const membership::View& view, ZoneId zone, ServiceId service, BucketIndex bucket);

/** @return True if the upstream accepts new flows: it is ready, warming or cold, and has a positive weight. */
[[nodiscard]] bool acceptsNewFlows(const upstream::UpstreamInfo& upstream) noexcept;

/** @return True if packets of existing flows may be sent to the upstream: it is neither lost nor quarantined. */
[[nodiscard]] bool acceptsPackets(const upstream::UpstreamInfo& upstream) noexcept;

/**
 * @brief Default upstream of each bucket of a service within one zone.
 *
 * Weighted rendezvous hashing with bounded loads: each upstream is the default of at most `bound` times its
 * weighted share of the buckets, and a bucket whose first choice is full takes the next one. The result
 * depends only on the set of upstreams, so instances that know the same set agree.
 *
 * @return One upstream id for each bucket; id 0 where no upstream takes new flows.
 */
[[nodiscard]] std::vector<UpstreamId> defaultUpstreams(std::span<const upstream::UpstreamInfo> upstreams, ZoneId zone,
    ServiceId service, std::uint32_t buckets, double bound = 1.02);

} // namespace zinnia::flow
