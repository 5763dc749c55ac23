#include "zinnia/runtime/version_wait.hpp"

#include <algorithm>

namespace zinnia::runtime {

WaitResult waitForVersion(OperatorClient& client, ConfigVersion version, Milliseconds limit)
{
    const TimePoint start = client.transportInUse().now();
    WaitResult result;
    while (true) {
        const auto statuses = client.statuses();
        result.waited = std::chrono::duration_cast<Milliseconds>(client.transportInUse().now() - start);
        if (!statuses.empty())
            result.instances = mergedInstances(statuses);
        const auto lagging = std::ranges::find_if(result.instances,
            [version](const InstanceStatus& instance) { return instance.reachable && instance.version < version; });
        if (lagging != result.instances.end())
            result.slowest = lagging->id;
        if (!statuses.empty() && lagging == result.instances.end()) {
            result.end = WaitEnd::Active;
            return result;
        }
        if (result.waited >= limit) {
            result.end = statuses.empty() ? WaitEnd::Unreachable : WaitEnd::TimeLimit;
            return result;
        }
        client.transportInUse().pause(pollInterval);
    }
}

} // namespace zinnia::runtime
