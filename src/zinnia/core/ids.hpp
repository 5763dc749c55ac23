#pragma once

#include "zinnia/core/strong_id.hpp"

#include <cstdint>

namespace zinnia {

/** @brief Identity of one instance (a process of the load balancer); unique in the inventory. */
using InstanceId = StrongId<struct InstanceTag, std::uint32_t>;
/** @brief Start of an instance: increases with each restart of its process. */
using Epoch = StrongId<struct EpochTag, std::uint64_t>;
/** @brief An availability zone. */
using ZoneId = StrongId<struct ZoneTag, std::uint16_t>;
/** @brief A service of the inventory. */
using ServiceId = StrongId<struct ServiceTag, std::uint16_t>;
/** @brief Hash of (service, address, port, incarnation): one registration of one upstream. */
using UpstreamId = StrongId<struct UpstreamTag, std::uint64_t>;
/** @brief Start of an upstream process, as the upstream announces it; increases with each restart. */
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;
/** @brief Version of the configuration; 0 means none. */
using ConfigVersion = StrongId<struct ConfigVersionTag, std::uint64_t>;
/** @brief Identity of one installation; messages of another cluster are refused. */
using ClusterId = StrongId<struct ClusterTag, std::uint64_t>;
/** @brief Index of a bucket within its service. */
using BucketIndex = StrongId<struct BucketTag, std::uint16_t>;
/** @brief Keyed hash of (service, caller address, caller port). */
using FlowKey = StrongId<struct FlowTag, std::uint64_t>;

} // namespace zinnia
