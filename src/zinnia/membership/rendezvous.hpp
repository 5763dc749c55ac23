#pragma once

#include "zinnia/core/hash.hpp"
#include "zinnia/membership/view.hpp"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace zinnia::membership {

/** @return True if the member may own buckets and be the home of upstreams. */
[[nodiscard]] inline bool isEligible(const Member& member) noexcept { return member.state == MemberState::Active; }

/**
 * @brief The active members of a zone in rendezvous order of (key, instance).
 *
 * The same view gives the same order on every instance, and a member that joins or leaves changes
 * only its own position. The first member is the owner of a bucket (it places the bucket's flows) and the second is its
 * deputy (it keeps a copy and takes over); the home of an upstream (it sends requests to it) is the first for its id.
 *
 * @param view Live entries.
 * @param zone Zone whose members are ranked.
 * @param key Hash of what is to be placed, such as (service, bucket) or an upstream id.
 */
[[nodiscard]] inline std::vector<InstanceId> rankMembers(const View& view, ZoneId zone, std::uint64_t key)
{
    struct Scored {
        std::uint64_t score;
        InstanceId id;
    };
    std::vector<Scored> scored;
    for (const Member& member : view.members) {
        if (member.zone == zone && isEligible(member))
            scored.push_back({ hashOf(key, member.id.value), member.id });
    }
    std::sort(scored.begin(), scored.end(), [](const Scored& left, const Scored& right) {
        return left.score != right.score ? left.score > right.score : left.id < right.id;
    });
    std::vector<InstanceId> order;
    order.reserve(scored.size());
    for (const Scored& entry : scored)
        order.push_back(entry.id);
    return order;
}

/** @return The home of an upstream: first in rendezvous order of its zone; id 0 if the zone has no active entry. */
[[nodiscard]] inline InstanceId homeOf(const View& view, ZoneId zone, UpstreamId upstream)
{
    constexpr std::uint64_t domain = 0x686f; // separates the order of homes from that of buckets
    const auto order = rankMembers(view, zone, hashOf(domain, upstream.value));
    return order.empty() ? InstanceId {} : order.front();
}

/** @return The member with that id, or nullptr. */
[[nodiscard]] inline const Member* findMember(const View& view, InstanceId id) noexcept
{
    for (const Member& member : view.members) {
        if (member.id == id)
            return &member;
    }
    return nullptr;
}

} // namespace zinnia::membership
