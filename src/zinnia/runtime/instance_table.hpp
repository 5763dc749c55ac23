#pragma once

#include "zinnia/config/configuration.hpp"
#include "zinnia/core/time.hpp"
#include "zinnia/runtime/control_backend.hpp"

#include <map>
#include <vector>

namespace zinnia::runtime {

/** @brief The active configuration versions last reported to a control instance. */
class InstanceTable {
public:
    /** @brief Records the version that an instance reported. */
    void recordVersion(InstanceId instance, ConfigVersion version, TimePoint now);

    /** @return The status of every entry and control instance of the configuration. */
    [[nodiscard]] std::vector<InstanceStatus> statuses(const config::Configuration& configuration, TimePoint now) const;

private:
    /** An instance polls once a second; after three missed polls it counts as unreachable. */
    static constexpr Milliseconds reachabilityTimeout { 3000 };

    struct VersionReport {
        ConfigVersion version;
        TimePoint receivedAt;
    };

    [[nodiscard]] InstanceStatus statusOf(InstanceId id, ZoneId zone, TimePoint now) const;

    std::map<InstanceId, VersionReport> reports;
};

} // namespace zinnia::runtime
