#include "zinnia/load/load_client.hpp"

#include <algorithm>

namespace zinnia::load {

void LoadClient::setControls(const std::vector<InstanceId>& known)
{
    std::erase_if(this->controls,
        [&](const auto& item) { return std::find(known.begin(), known.end(), item.first) == known.end(); });
    for (const auto& id : known)
        this->controls.try_emplace(id);
}

std::vector<InstanceId> LoadClient::selectReceivers(TimePoint now)
{
    std::vector<InstanceId> receivers;
    for (const auto& [id, control] : this->controls) {
        if (receivers.size() < this->settings.collectors && this->isResponsive(control, now))
            receivers.push_back(id);
    }
    // A complete instance with a higher id than the others may not be among them.
    if (const auto preferred = this->findPreferred(now); preferred != this->controls.end()) {
        std::erase(receivers, preferred->first);
        receivers.insert(receivers.begin(), preferred->first);
        receivers.resize(std::min(receivers.size(), this->settings.collectors));
    }
    const Milliseconds interval = receivers.empty() ? this->settings.firstProbeInterval : this->settings.probeInterval;
    for (auto& [id, control] : this->controls) {
        // Instances of other zones are asked once, so that reports do not cross zones.
        if (control.isOwnZone == false || this->isResponsive(control, now))
            continue;
        if (control.probedAt && now - *control.probedAt < interval)
            continue;
        control.probedAt = now;
        receivers.push_back(id);
    }
    return receivers;
}

bool LoadClient::receive(InstanceId id, const LoadReply& reply, TimePoint now)
{
    const auto found = this->controls.find(id);
    if (found == this->controls.end() || reply.number <= found->second.lastReply || reply.number > this->lastNumber)
        return false;
    Control& control = found->second;
    control.isOwnZone = reply.zone == this->settings.zone;
    control.repliedAt = now;
    control.lastReply = reply.number;
    control.isComplete = reply.complete;
    return *control.isOwnZone && this->findPreferred(now)->first == id;
}

std::map<InstanceId, LoadClient::Control>::const_iterator LoadClient::findPreferred(TimePoint now) const
{
    const auto isResponsive = [&](const auto& item) { return this->isResponsive(item.second, now); };
    const auto complete = std::find_if(this->controls.begin(), this->controls.end(),
        [&](const auto& item) { return isResponsive(item) && item.second.isComplete; });
    if (complete != this->controls.end())
        return complete;
    return std::find_if(this->controls.begin(), this->controls.end(), isResponsive);
}

} // namespace zinnia::load
