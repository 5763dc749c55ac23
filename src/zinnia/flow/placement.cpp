#include "zinnia/flow/placement.hpp"

#include <algorithm>
#include <cmath>

namespace zinnia::flow {

namespace {

    // Separate the three uses of the hash of (service, bucket).
    constexpr std::uint64_t zoneDomain = 0x7a6f;
    constexpr std::uint64_t ownerDomain = 0x6f77;
    constexpr std::uint64_t defaultDomain = 0x6465;

} // namespace

ZoneId bucketZoneOf(
    const config::Configuration& configuration, const membership::View& view, ServiceId service, BucketIndex bucket)
{
    ZoneId best = noZone;
    double bestScore = 0.0;
    for (const config::Zone& zone : configuration.zones) {
        const bool live = std::any_of(view.members.begin(), view.members.end(),
            [&](const membership::Member& member) { return member.zone == zone.id && isEligible(member); });
        if (zone.state != config::ZoneState::InService || !live)
            continue;
        const double score
            = rendezvousScore(hashOf(zoneDomain, service.value, bucket.value, zone.id.value), zone.weight);
        if (score > bestScore) {
            best = zone.id;
            bestScore = score;
        }
    }
    return best;
}

BucketAssignment bucketAssignmentOf(const membership::View& view, ZoneId zone, ServiceId service, BucketIndex bucket)
{
    const std::uint64_t key = hashOf(ownerDomain, service.value, bucket.value);
    BucketAssignment holders;
    std::uint64_t first = 0;
    std::uint64_t second = 0;
    for (const membership::Member& member : view.members) {
        if (member.zone != zone || !isEligible(member))
            continue;
        const std::uint64_t score = hashOf(key, member.id.value);
        if (score > first || holders.owner.value == 0) {
            holders.deputy = holders.owner;
            second = first;
            holders.owner = member.id;
            first = score;
        } else if (score > second || holders.deputy.value == 0) {
            holders.deputy = member.id;
            second = score;
        }
    }
    return holders;
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
        std::uint32_t room;
    };
    std::vector<Candidate> candidates;
    double weights = 0.0;
    for (const upstream::UpstreamInfo& upstream : upstreams) {
        if (upstream.service != service || upstream.zone != zone || !acceptsNewFlows(upstream))
            continue;
        candidates.push_back({ upstream.id, upstream.weight, 0 });
        weights += upstream.weight;
    }
    for (Candidate& candidate : candidates)
        candidate.room = static_cast<std::uint32_t>(std::ceil(bound * buckets * candidate.weight / weights));

    std::vector<UpstreamId> defaults(buckets);
    for (std::uint32_t bucket = 0; bucket < buckets; ++bucket) {
        Candidate* best = nullptr;
        double bestScore = 0.0;
        for (Candidate& candidate : candidates) {
            if (candidate.room == 0)
                continue;
            const double score
                = rendezvousScore(hashOf(defaultDomain, service.value, bucket, candidate.id.value), candidate.weight);
            if (score > bestScore || (score == bestScore && best && candidate.id < best->id)) {
                best = &candidate;
                bestScore = score;
            }
        }
        if (best) {
            --best->room;
            defaults[bucket] = best->id;
        }
    }
    return defaults;
}

} // namespace zinnia::flow
