#include "zinnia/load/report_store.hpp"

#include "zinnia/load/message_order.hpp"

#include <algorithm>

namespace zinnia::load {

namespace {

    const auto byToken = [](const UpstreamCount& a, const UpstreamCount& b) { return a.token < b.token; };

} // namespace

void ReportStore::setUsable(std::unordered_map<RoutingToken, std::string> services)
{
    this->usable = std::move(services);
    for (auto& [name, totals] : this->serviceTotals)
        totals.ownZoneInFlight = 0;
    for (const auto& [token, totals] : this->upstreamTotals)
        this->applyOwnZone(token, totals.inFlight, Change::Add);
}

bool ReportStore::merge(InstanceId router, const LoadReport& report, TimePoint now)
{
    const auto found = this->reports.find(router);
    if (found == this->reports.end()) {
        this->reports.emplace(router, Entry { report, now });
    } else {
        Entry& entry = found->second;
        if (!replaces(report.number, entry.report.number, now - entry.receivedAt, lifetime))
            return false;
        this->apply(entry.report, Change::Remove);
        entry.report = report;
        entry.receivedAt = now;
        entry.isRegular = true;
    }
    LoadReport& stored = this->reports.at(router).report;
    std::sort(stored.upstreams.begin(), stored.upstreams.end(), byToken);
    this->apply(stored, Change::Add);
    return true;
}

void ReportStore::expire(TimePoint now)
{
    std::erase_if(this->reports, [&](const auto& item) {
        if (now - item.second.receivedAt <= lifetime)
            return false;
        this->apply(item.second.report, Change::Remove);
        return true;
    });
    if (this->reports.empty())
        this->serviceTotals.clear();
}

bool ReportStore::isMostlyRegular() const
{
    const auto regular = static_cast<std::size_t>(std::count_if(
        this->reports.begin(), this->reports.end(), [](const auto& item) { return item.second.isRegular; }));
    return 2 * regular > this->reports.size();
}

ReportStore::Entry* ReportStore::find(InstanceId router)
{
    const auto found = this->reports.find(router);
    return found == this->reports.end() ? nullptr : &found->second;
}

ServiceTotals ReportStore::service(const std::string& name) const
{
    const auto found = this->serviceTotals.find(name);
    return found == this->serviceTotals.end() ? ServiceTotals {} : found->second;
}

UpstreamTotals ReportStore::upstream(RoutingToken token) const
{
    const auto found = this->upstreamTotals.find(token);
    return found == this->upstreamTotals.end() ? UpstreamTotals {} : found->second;
}

const std::string* ReportStore::serviceOf(RoutingToken token) const
{
    const auto found = this->usable.find(token);
    return found == this->usable.end() ? nullptr : &found->second;
}

double ReportStore::slotShare() const
{
    if (this->reports.empty())
        return 1;
    std::uint64_t sum = 0;
    for (const auto& [id, entry] : this->reports)
        sum += std::min<std::uint32_t>(entry.report.slotPercent, 100);
    return static_cast<double>(sum) / (100.0 * static_cast<double>(this->reports.size()));
}

Milliseconds ReportStore::ageOfOthers(InstanceId router, TimePoint now) const
{
    Microseconds sum { 0 };
    std::int64_t others = 0;
    for (const auto& [id, entry] : this->reports) {
        if (id == router)
            continue;
        sum += now - entry.receivedAt;
        ++others;
    }
    return others == 0 ? Milliseconds { 0 } : std::chrono::duration_cast<Milliseconds>(sum / others);
}

void ReportStore::apply(const LoadReport& report, Change change)
{
    const bool isAdded = change == Change::Add;
    for (const auto& service : report.services) {
        ServiceTotals& totals = this->serviceTotals[service.service];
        totals.inFlight = isAdded ? totals.inFlight + service.inFlight : totals.inFlight - service.inFlight;
        totals.waiting = isAdded ? totals.waiting + service.waiting : totals.waiting - service.waiting;
    }
    for (const auto& upstream : report.upstreams) {
        UpstreamTotals& totals = this->upstreamTotals[upstream.token];
        totals.inFlight = isAdded ? totals.inFlight + upstream.inFlight : totals.inFlight - upstream.inFlight;
        totals.flows = isAdded ? totals.flows + upstream.flows : totals.flows - upstream.flows;
        if (totals.inFlight == 0 && totals.flows == 0)
            this->upstreamTotals.erase(upstream.token);
        this->applyOwnZone(upstream.token, upstream.inFlight, change);
    }
}

void ReportStore::applyOwnZone(RoutingToken token, std::uint64_t inFlight, Change change)
{
    const std::string* name = this->serviceOf(token);
    if (name == nullptr)
        return;
    ServiceTotals& totals = this->serviceTotals[*name];
    totals.ownZoneInFlight
        = change == Change::Add ? totals.ownZoneInFlight + inFlight : totals.ownZoneInFlight - inFlight;
}

const ServiceCount* findService(const LoadReport& report, const std::string& service)
{
    const auto found = std::find_if(report.services.begin(), report.services.end(),
        [&](const ServiceCount& count) { return count.service == service; });
    return found == report.services.end() ? nullptr : &*found;
}

const UpstreamCount* findUpstream(const LoadReport& report, RoutingToken token)
{
    const auto found = std::lower_bound(
        report.upstreams.begin(), report.upstreams.end(), UpstreamCount { token, 0, 0, 0, {} }, byToken);
    return found == report.upstreams.end() || found->token != token ? nullptr : &*found;
}

} // namespace zinnia::load
