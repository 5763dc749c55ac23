#include "zinnia/load/zone_load_table.hpp"

#include "zinnia/load/service_limit.hpp"
#include "zinnia/load/slowness.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <numeric>

namespace zinnia::load {

namespace {

    /** Interval of the reports of a router, for the rate of new flows. */
    constexpr Milliseconds reportInterval { 125 };
    /** Interval at which slowness is computed: it depends on answers of several seconds. */
    constexpr Milliseconds slownessInterval { 100 };

    template <class Upstreams> auto findToken(Upstreams& upstreams, RoutingToken token)
    {
        const auto found = std::lower_bound(upstreams.begin(), upstreams.end(), token,
            [](const auto& upstream, RoutingToken value) { return upstream.token < value; });
        return found != upstreams.end() && found->token == token ? found : upstreams.end();
    }

    /** @return Demand of a router, bounded so that products of slots and weights fit into 64 bits. */
    std::uint64_t weightOf(const LoadReport& report, const std::string& service)
    {
        const ServiceCount* count = findService(report, service);
        constexpr std::uint64_t maxWeight = std::numeric_limits<std::uint32_t>::max();
        return count == nullptr ? 0 : std::min(std::uint64_t { count->inFlight } + count->waiting, maxWeight);
    }

    std::uint32_t roundUp(double value) { return static_cast<std::uint32_t>(std::ceil(value)); }

} // namespace

void ZoneLoadTable::setUpstreams(const std::vector<UsableUpstream>& usable)
{
    std::map<RoutingToken, const UsableUpstream*> byToken;
    std::unordered_map<RoutingToken, std::string> serviceOf;
    for (const auto& upstream : usable) {
        byToken.emplace(upstream.token, &upstream);
        serviceOf.emplace(upstream.token, upstream.service);
    }
    for (auto& [name, service] : this->services) {
        service.capacity = 0;
        service.upstreams.clear();
    }
    std::vector<Upstream> next;
    next.reserve(byToken.size());
    for (const auto& [token, upstream] : byToken) {
        const auto known = findToken(this->upstreams, token);
        Service& service = this->services[upstream->service];
        service.capacity += upstream->slots;
        service.upstreams.push_back(next.size());
        next.push_back(known != this->upstreams.end() ? *known : Upstream { token, {} });
    }
    this->upstreams = std::move(next);
    this->reports.setUsable(std::move(serviceOf));
    this->slownessAt.reset();
    std::erase_if(this->services, [this](const auto& item) {
        return item.second.upstreams.empty() && !this->reports.services().contains(item.first);
    });
}

void ZoneLoadTable::setRoutes(const RouteFacts& routes, const std::map<std::string, Milliseconds>& shortest)
{
    this->facts = routes;
    this->objectives = shortest;
}

bool ZoneLoadTable::merge(InstanceId router, const LoadReport& report, TimePoint now)
{
    if (report.zone != this->zone)
        return false;
    this->expire(now);
    if (!this->reports.merge(router, report, now))
        return false;
    if (!this->firstReportAt)
        this->firstReportAt = now;
    this->recordAnswers(report, now);
    for (const auto& count : report.services)
        this->services[count.service].openings.add(count.openings, reportInterval, now);
    this->updateServices(now);
    return true;
}

bool ZoneLoadTable::merge(InstanceId control, const ZoneSummary& summary, TimePoint now)
{
    return summary.zone != this->zone && this->summaries.merge(control, summary, now);
}

LoadReply ZoneLoadTable::replyTo(InstanceId router, TimePoint now)
{
    this->expire(now);
    this->updateServices(now);
    LoadReply reply;
    reply.zone = this->zone;
    reply.complete = this->isComplete(now);
    ReportStore::Entry* entry = this->reports.find(router);
    if (entry == nullptr)
        return reply;
    reply.number = entry->report.number;
    reply.age = this->reports.ageOfOthers(router, now);
    // With a part of the routers, several of them would get the same position.
    const auto& entries = this->reports.entries();
    if (reply.complete)
        reply.position = static_cast<std::uint32_t>(1 + std::distance(entries.begin(), entries.find(router)));
    for (const auto& [name, service] : this->services)
        reply.services.push_back(this->serviceLoadFor(router, name, service, now));
    if (entry->report.wantsUpstreams) {
        this->updateSlowness(now);
        this->addUpstreams(reply, *entry);
    }
    if (this->facts.digest != entry->report.factsDigest)
        reply.facts = this->facts;
    return reply;
}

std::optional<ZoneSummary> ZoneLoadTable::makeSummary(TimePoint now)
{
    this->expire(now);
    this->updateServices(now);
    if (!this->isComplete(now))
        return std::nullopt;
    ZoneSummary summary;
    summary.number = ++this->lastSummary;
    summary.zone = this->zone;
    for (auto& [name, service] : this->services) {
        const ZoneDemand own { this->zone, service.demand.value(), static_cast<double>(service.capacity) };
        ServiceSummary item;
        item.service = name;
        item.capacity = static_cast<std::uint32_t>(service.capacity);
        item.demand = static_cast<std::uint32_t>(std::lround(own.demand));
        item.serviceTime = this->serviceTime(service, now);
        item.grants = service.grants.update(service.need, own, this->demandOfOthers(name), now);
        summary.services.push_back(std::move(item));
    }
    return summary;
}

bool ZoneLoadTable::isComplete(TimePoint now) const
{
    return this->firstReportAt && now - *this->firstReportAt >= completeAfter && this->reports.isMostlyRegular();
}

void ZoneLoadTable::expire(TimePoint now)
{
    this->summaries.expire(now);
    this->reports.expire(now);
    if (this->reports.entries().empty())
        this->firstReportAt.reset();
}

void ZoneLoadTable::recordAnswers(const LoadReport& report, TimePoint now)
{
    for (const auto& count : report.upstreams) {
        const auto found = findToken(this->upstreams, count.token);
        const std::string* service = this->reports.serviceOf(count.token);
        if (count.answers == 0 || found == this->upstreams.end() || service == nullptr)
            continue;
        found->answers.add(count.answers, count.answerTime, now);
        this->services[*service].answers.add(count.answers, count.answerTime, now);
    }
}

void ZoneLoadTable::updateServices(TimePoint now)
{
    // Requests are counted from their opening to the acknowledged answer, so also on their ways to and from the caller.
    // Without this share, a zone with free slots would count as full and offer none to others.
    const double slotShare = this->reports.slotShare();
    for (auto& [name, service] : this->services) {
        const ServiceTotals totals = this->reports.service(name);
        service.demand.set(slotShare * static_cast<double>(totals.inFlight) + static_cast<double>(totals.waiting), now);
        service.inFlight.set(static_cast<double>(totals.ownZoneInFlight), now);
        service.need.update(service.demand.value(), static_cast<double>(service.capacity));
    }
}

void ZoneLoadTable::updateSlowness(TimePoint now)
{
    if (this->slownessAt && now - *this->slownessAt < slownessInterval)
        return;
    this->slownessAt = now;
    for (const auto& [name, service] : this->services) {
        std::vector<double> means;
        means.reserve(service.upstreams.size());
        for (const std::size_t position : service.upstreams) {
            UpstreamAnswers& answers = this->upstreams[position].answers;
            means.push_back(answers.updateKnown(now) ? answers.mean(now) : 0);
        }
        const auto slowness = slownessOf(means);
        for (std::size_t i = 0; i < slowness.size(); ++i)
            this->upstreams[service.upstreams[i]].slowness = slowness[i];
    }
}

Microseconds ZoneLoadTable::serviceTime(const Service& service, TimePoint now) const
{
    return serviceTimeOf(service.answers.mean(now), service.capacity,
        static_cast<std::uint64_t>(std::llround(service.inFlight.value())));
}

ServiceLoad ZoneLoadTable::serviceLoadFor(
    InstanceId router, const std::string& name, const Service& service, TimePoint now) const
{
    const ServiceTotals totals = this->reports.service(name);
    const auto objective = this->objectives.find(name);
    ServiceLoad load;
    load.service = name;
    load.capacity = static_cast<std::uint32_t>(service.capacity);
    load.inFlight = static_cast<std::uint32_t>(totals.ownZoneInFlight);
    load.waiting = static_cast<std::uint32_t>(totals.waiting);
    load.routers = static_cast<std::uint32_t>(this->reports.entries().size());
    load.serviceTime = this->serviceTime(service, now);
    load.openingsPerSecond = static_cast<std::uint32_t>(std::lround(service.openings.perSecond(now)));
    load.limit = limitOf(service.capacity, load.serviceTime,
        objective == this->objectives.end() ? Milliseconds { 0 } : objective->second);

    std::vector<std::uint64_t> weights;
    weights.reserve(load.routers);
    std::size_t self = 0;
    for (const auto& [id, entry] : this->reports.entries()) {
        if (id == router)
            self = weights.size();
        weights.push_back(weightOf(entry.report, name));
    }
    load.allowance = divideSlots(load.limit, weights, 1)[self];

    const auto remotes = this->remoteZones(name, service, now);
    std::vector<std::uint32_t> slots(remotes.size());
    std::transform(remotes.begin(), remotes.end(), slots.begin(), [](const RemoteZone& item) { return item.slots; });
    const auto ownSlots = remoteSlotsOf(slots, weights, self);
    for (std::size_t i = 0; i < remotes.size(); ++i) {
        if (ownSlots[i] > 0)
            load.remotes.push_back({ remotes[i].zone, ownSlots[i], remotes[i].serviceTime });
    }
    return load;
}

std::vector<ZoneLoadTable::RemoteZone> ZoneLoadTable::remoteZones(
    const std::string& name, const Service& service, TimePoint now) const
{
    std::vector<RemoteZone> remotes;
    if (!service.need.isInNeed())
        return remotes;
    std::vector<std::uint64_t> granted;
    for (const ZoneSummary* summary : this->summaries.current()) {
        const ServiceSummary* item = findService(*summary, name);
        if (item == nullptr || service.grants.mayBeUsedBy(summary->zone, now))
            continue;
        for (const auto& grant : item->grants) {
            if (grant.zone != this->zone || grant.slots == 0)
                continue;
            remotes.push_back({ summary->zone, 0, item->serviceTime });
            granted.push_back(grant.slots);
        }
    }
    const auto total = std::accumulate(granted.begin(), granted.end(), std::uint64_t { 0 });
    const auto wanted = static_cast<std::uint32_t>(std::min<std::uint64_t>(roundUp(service.need.slots()), total));
    const auto shares = divideSlots(wanted, granted, 0);
    for (std::size_t i = 0; i < remotes.size(); ++i)
        remotes[i].slots = shares[i];
    return remotes;
}

std::vector<ZoneDemand> ZoneLoadTable::demandOfOthers(const std::string& name) const
{
    std::vector<ZoneDemand> others;
    for (const ZoneSummary* summary : this->summaries.current()) {
        if (const ServiceSummary* item = findService(*summary, name); item != nullptr)
            others.push_back({ summary->zone, static_cast<double>(item->demand), static_cast<double>(item->capacity) });
    }
    return others;
}

void ZoneLoadTable::addUpstreams(LoadReply& reply, ReportStore::Entry& entry) const
{
    const std::size_t count = std::min(this->upstreams.size(), maxReplyUpstreams);
    reply.upstreams.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        const Upstream& upstream = this->upstreams[(entry.nextUpstream + i) % this->upstreams.size()];
        const UpstreamTotals totals = this->reports.upstream(upstream.token);
        const UpstreamCount* own = findUpstream(entry.report, upstream.token);
        const std::uint64_t inFlight = totals.inFlight - (own == nullptr ? 0 : own->inFlight);
        const std::uint64_t flows = totals.flows - (own == nullptr ? 0 : own->flows);
        reply.upstreams.push_back({ upstream.token, static_cast<std::uint32_t>(inFlight),
            static_cast<std::uint32_t>(flows), upstream.slowness });
    }
    if (count > 0)
        entry.nextUpstream = (entry.nextUpstream + count) % this->upstreams.size();
}

} // namespace zinnia::load
