#include "zinnia/flow/placement.hpp"

#include <algorithm>
#include <cmath>

namespace zinnia::flow {

namespace {

    // Domain separators, so that the three hashes of (service, bucket) are independent.
    constexpr std::uint64_t zoneHashDomain = 0x7a6f;
    constexpr std::uint64_t ownerHashDomain = 0x6f77;
    constexpr std::uint64_t defaultHashDomain = 0x6465;

} // namespace

ZoneId bucketZoneOf(
    const config::Configuration& configuration, const membership::View& view, ServiceId service, BucketIndex bucket)
{
    ZoneId best = noZone;
    double bestScore = 0.0;
    for (const config::Zone& zone : configuration.zones) {
        const bool hasActiveEntry = std::any_of(view.members.begin(), view.members.end(),
            [&](const membership::Member& member) { return member.zone == zone.id && isEligible(member); });
        if (zone.state != config::ZoneState::InService || !hasActiveEntry)
            continue;
        const double score
            = rendezvousScore(hashOf(zoneHashDomain, service.value, bucket.value, zone.id.value), zone.weight);
        if (score > bestScore) {
            best = zone.id;
            bestScore = score;
        }
    }
    return best;
}

BucketAssignment bucketAssignmentOf(const membership::View& view, ZoneId zone, ServiceId service, BucketIndex bucket)
{
    const std::uint64_t key = hashOf(ownerHashDomain, service.value, bucket.value);
    BucketAssignment assignment;
    std::uint64_t first = 0;
    std::uint64_t second = 0;
    for (const membership::Member& member : view.members) {
        if (member.zone != zone || !isEligible(member))
            continue;
        const std::uint64_t score = hashOf(key, member.id.value);
        if (score > first || assignment.owner.value == 0) {
            assignment.deputy = assignment.owner;
            second = first;
            assignment.owner = member.id;
            first = score;
        } else if (score > second || assignment.deputy.value == 0) {
            assignment.deputy = member.id;
            second = score;
        }
    }
    return assignment;
}

bool acceptsNewFlows(const upstream::UpstreamInfo& upstream) noexcept
{
    using upstream::UpstreamState;
    return upstream.weight > 0.0
        && (upstream.state == UpstreamState::Ready || upstream.state == UpstreamState::Warming
            || upstream.state == UpstreamState::Cold);
}

bool acceptsPackets(const upstream::UpstreamInfo& upstream) noexcept
{
    using upstream::UpstreamState;
    return upstream.state != UpstreamState::Lost && upstream.state != UpstreamState::Quarantined;
}

std::vector<UpstreamId> defaultUpstreams(std::span<const upstream::UpstreamInfo> upstreams, ZoneId zone,
    ServiceId service, std::uint32_t buckets, double bound)
{
    struct Candidate {
        UpstreamId id;
        double weight;
        std::uint32_t remainingBuckets;
    };
    std::vector<Candidate> candidates;
    double totalWeight = 0.0;
    for (const upstream::UpstreamInfo& upstream : upstreams) {
        if (upstream.service != service || upstream.zone != zone || !acceptsNewFlows(upstream))
            continue;
        candidates.push_back({ upstream.id, upstream.weight, 0 });
        totalWeight += upstream.weight;
    }
    for (Candidate& candidate : candidates)
        candidate.remainingBuckets
            = static_cast<std::uint32_t>(std::ceil(bound * buckets * candidate.weight / totalWeight));

    std::vector<UpstreamId> defaults(buckets);
    for (std::uint32_t bucket = 0; bucket < buckets; ++bucket) {
        Candidate* best = nullptr;
        double bestScore = 0.0;
        for (Candidate& candidate : candidates) {
            if (candidate.remainingBuckets == 0)
                continue;
            const double score = rendezvousScore(
                hashOf(defaultHashDomain, service.value, bucket, candidate.id.value), candidate.weight);
            if (score > bestScore || (score == bestScore && best && candidate.id < best->id)) {
                best = &candidate;
                bestScore = score;
            }
        }
        if (best) {
            --best->remainingBuckets;
            defaults[bucket] = best->id;
        }
    }
    return defaults;
}

} // namespace zinnia::flow
