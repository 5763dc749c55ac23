#include "zinnia/load/summary_store.hpp"

#include "zinnia/load/message_order.hpp"

#include <algorithm>

namespace zinnia::load {

bool SummaryStore::merge(InstanceId control, const ZoneSummary& summary, TimePoint now)
{
    const auto [found, isNew] = this->summaries.try_emplace(control, Entry { summary, now });
    if (isNew)
        return true;
    Entry& entry = found->second;
    if (!replaces(summary.number, entry.summary.number, now - entry.receivedAt, lifetime))
        return false;
    entry = { summary, now };
    return true;
}

void SummaryStore::expire(TimePoint now)
{
    std::erase_if(this->summaries, [now](const auto& item) { return now - item.second.receivedAt > lifetime; });
}

std::vector<const ZoneSummary*> SummaryStore::current() const
{
    std::vector<const ZoneSummary*> result;
    for (const auto& [control, entry] : this->summaries) {
        const std::string& zone = entry.summary.zone;
        if (std::none_of(result.begin(), result.end(), [&](const ZoneSummary* other) { return other->zone == zone; }))
            result.push_back(&entry.summary);
    }
    return result;
}

const ServiceSummary* findService(const ZoneSummary& summary, const std::string& service)
{
    const auto found = std::find_if(summary.services.begin(), summary.services.end(),
        [&](const ServiceSummary& item) { return item.service == service; });
    return found == summary.services.end() ? nullptr : &*found;
}

} // namespace zinnia::load
