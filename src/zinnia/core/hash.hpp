#pragma once

#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/ids.hpp"

#include <array>
#include <cmath>
#include <cstdint>
#include <string_view>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace zinnia {

/** @return The XXH3 hash of the integers; the same on every instance of the cluster. */
template <class... Ints> [[nodiscard]] std::uint64_t hashOf(std::uint64_t seed, Ints... parts) noexcept
{
    const std::array<std::uint64_t, sizeof...(Ints)> words { static_cast<std::uint64_t>(parts)... };
    return XXH3_64bits_withSeed(words.data(), sizeof(words), seed);
}

/** @return The XXH3 hash of a text. */
[[nodiscard]] inline std::uint64_t hashOfText(std::uint64_t seed, std::string_view text) noexcept
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

/**
 * @brief Score of a candidate in weighted rendezvous hashing; the highest score wins.
 *
 * Uses -weight / ln(u) with u uniform in (0, 1), so that a candidate wins a share of keys
 * proportional to its weight and a change of one weight moves only that candidate's keys.
 *
 * @param hash Hash of key and candidate.
 * @param weight Relative share; 0 or less never wins over a positive weight.
 */
[[nodiscard]] inline double rendezvousScore(std::uint64_t hash, double weight = 1.0) noexcept
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
    const double uniform = (static_cast<double>(hash >> 11U) + 0.5) * scale;
    return weight <= 0.0 ? 0.0 : -weight / std::log(uniform);
}

/** @return The key of a flow: a hash of the service and the caller, seeded with the seed of the cluster. */
[[nodiscard]] inline FlowKey flowKeyOf(std::uint64_t seed, ServiceId service, const Endpoint& caller) noexcept
{
    return FlowKey { hashOf(seed, service.value, caller.address, caller.port) };
}

/** @return The bucket of a flow. @param buckets Number of buckets of the service, at least 1. */
[[nodiscard]] inline BucketIndex bucketOf(FlowKey key, std::uint32_t buckets) noexcept
{
    return BucketIndex { static_cast<std::uint16_t>(key.value % buckets) };
}

/** @return The id of one registration of an upstream. */
[[nodiscard]] inline UpstreamId upstreamIdOf(
    ServiceId service, const Endpoint& address, Incarnation incarnation) noexcept
{
    constexpr std::uint64_t domain = 0x7570; // separates upstream ids from the other uses of the hash
    return UpstreamId { hashOf(domain, service.value, address.address, address.port, incarnation.value) };
}

} // namespace zinnia
