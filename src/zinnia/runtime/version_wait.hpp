#pragma once

#include "zinnia/runtime/operator_client.hpp"

namespace zinnia::runtime {

/** @brief Interval between two polls of the status. */
inline constexpr Milliseconds pollInterval { 100 };

/** @brief Why a wait ended. */
enum class WaitEnd : unsigned char { Active, TimeLimit, Unreachable };

inline constexpr NameTable<WaitEnd, 3> waitEndNames { {
    { WaitEnd::Active, "in_force" },
    { WaitEnd::TimeLimit, "time_limit" },
    { WaitEnd::Unreachable, "unreachable" },
} };
static_assert(isDense(waitEndNames));

/** @brief Result of a wait for a version. */
struct WaitResult {
    WaitEnd end {};
    Milliseconds waited {};
    /** The last instance seen to lag behind the version, which may still lag; 0 for none. */
    InstanceId slowest;
    /** The last status of all instances. */
    std::vector<InstanceStatus> instances;
};

/**
 * @brief Polls until the version is active at every reachable instance.
 *
 * Instances that have not reported to any control instance recently are ignored.
 */
[[nodiscard]] WaitResult waitForVersion(OperatorClient& client, ConfigVersion version, Milliseconds limit);

} // namespace zinnia::runtime
