#include "zinnia/feed/control_roster.hpp"

#include <algorithm>

namespace zinnia::feed {

ControlRoster::ControlRoster(
    const RosterSettings& settings, InstanceId self, const std::vector<InstanceId>& seeds, TimePoint now)
    : settings { settings }
    , self { self }
{
    this->setSeeds(seeds, now);
}

void ControlRoster::setSeeds(const std::vector<InstanceId>& seeds, TimePoint now)
{
    for (auto& [id, member] : this->members)
        member.seed = false;
    this->learn(seeds, now);
    for (const auto& seed : seeds) {
        if (seed != this->self)
            this->members[seed].seed = true;
    }
}

RosterChange ControlRoster::heard(InstanceId instance, Epoch epoch, TimePoint now)
{
    if (instance == this->self)
        return RosterChange::Known;
    const auto [found, isNew] = this->members.try_emplace(instance);
    Member& member = found->second;
    RosterChange change = RosterChange::Known;
    if (isNew || member.heardAt == TimePoint {})
        change = RosterChange::Appeared;
    else if (member.epoch != epoch)
        change = RosterChange::Restarted;
    else if (now - member.heardAt > this->settings.live)
        change = RosterChange::Returned;
    member.epoch = epoch;
    member.heardAt = now;
    return change;
}

bool ControlRoster::learn(const std::vector<InstanceId>& instances, TimePoint now)
{
    bool changed = false;
    for (const auto& instance : instances) {
        if (instance == this->self)
            continue;
        const auto [found, isNew] = this->members.try_emplace(instance);
        if (isNew)
            found->second.learnedAt = now;
        changed = changed || isNew;
    }
    return changed;
}

void ControlRoster::recordHearing(InstanceId instance, const std::vector<InstanceId>& live)
{
    const auto found = this->members.find(instance);
    if (found != this->members.end())
        found->second.hears = { live.begin(), live.end() };
}

bool ControlRoster::doesHear(InstanceId instance, InstanceId other) const
{
    const auto found = this->members.find(instance);
    return found != this->members.end() && found->second.hears.contains(other);
}

bool ControlRoster::forgetOld(TimePoint now)
{
    return std::erase_if(this->members, [&](const auto& item) {
        const Member& member = item.second;
        return !member.seed && now - std::max(member.heardAt, member.learnedAt) > this->settings.memory;
    }) > 0;
}

std::vector<InstanceId> ControlRoster::peers() const
{
    std::vector<InstanceId> result;
    for (const auto& [id, member] : this->members)
        result.push_back(id);
    return result;
}

std::vector<InstanceId> ControlRoster::live(TimePoint now) const
{
    std::vector<InstanceId> result { this->self };
    for (const auto& [id, member] : this->members) {
        if (member.heardAt != TimePoint {} && now - member.heardAt <= this->settings.live)
            result.push_back(id);
    }
    return result;
}

} // namespace zinnia::feed
