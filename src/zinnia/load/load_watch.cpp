#include "zinnia/load/load_watch.hpp"

namespace zinnia::load {

namespace {

    /** Time below the limit after which a service has room again. */
    constexpr Milliseconds clearDelay { 1000 };
    /** Summaries without a grant, 200 ms apart, after which it has ended. */
    constexpr std::uint32_t summariesWithoutGrant = 5;

} // namespace

std::vector<LoadChange> LoadWatch::observe(const LoadReply& reply, TimePoint now)
{
    std::vector<LoadChange> changes;
    for (const ServiceLoad& service : reply.services) {
        const auto add = [&](Event event) {
            changes.push_back({ event, service.service, {}, service.inFlight, service.waiting, service.limit });
        };
        // Without a limit, no upstream of the zone is usable, which other events report.
        const bool isFull = service.limit > 0 && service.inFlight >= service.limit;
        const auto known = this->full.find(service.service);
        if (isFull) {
            if (known == this->full.end())
                add(Event::ServiceLimitReached);
            this->full.insert_or_assign(service.service, now);
        } else if (known != this->full.end() && now - known->second >= clearDelay) {
            this->full.erase(known);
            add(Event::ServiceLimitCleared);
        }
    }
    return changes;
}

std::vector<LoadChange> LoadWatch::observe(const ZoneSummary& summary)
{
    std::vector<LoadChange> changes;
    for (auto& [key, missing] : this->grants)
        ++missing;
    for (const ServiceSummary& service : summary.services) {
        for (const ZoneGrant& grant : service.grants) {
            if (grant.slots == 0)
                continue;
            const auto [entry, isNew] = this->grants.try_emplace({ service.service, grant.zone }, 0);
            entry->second = 0;
            if (isNew)
                changes.push_back({ Event::SpillOverStarted, service.service, grant.zone, 0, 0, grant.slots });
        }
    }
    std::erase_if(this->grants, [&](const auto& item) {
        if (item.second < summariesWithoutGrant)
            return false;
        changes.push_back({ Event::SpillOverEnded, item.first.first, item.first.second });
        return true;
    });
    return changes;
}

} // namespace zinnia::load
