#include "zinnia/runtime/instance_table.hpp"

namespace zinnia::runtime {

void InstanceTable::recordVersion(InstanceId instance, ConfigVersion version, TimePoint now)
{
    this->reports[instance] = { version, now };
}

std::vector<InstanceStatus> InstanceTable::statuses(const config::Configuration& configuration, TimePoint now) const
{
    std::vector<InstanceStatus> all;
    for (const config::Entry& entry : configuration.entries)
        all.push_back(this->statusOf(entry.id, entry.zone, now));
    for (const config::Control& control : configuration.controls)
        all.push_back(this->statusOf(control.id, control.zone, now));
    return all;
}

InstanceStatus InstanceTable::statusOf(InstanceId id, ZoneId zone, TimePoint now) const
{
    InstanceStatus status { id, zone, {}, false, std::nullopt };
    const auto found = this->reports.find(id);
    if (found == this->reports.end())
        return status;
    const auto age = std::chrono::duration_cast<Milliseconds>(now - found->second.receivedAt);
    status.version = found->second.version;
    status.reachable = age <= reachabilityTimeout;
    status.sinceLastReport = age;
    return status;
}

} // namespace zinnia::runtime
