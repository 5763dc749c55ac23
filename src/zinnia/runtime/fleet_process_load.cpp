#include "zinnia/load/route_facts.hpp"
#include "zinnia/runtime/fleet_process.hpp"
#include "zinnia/runtime/logger.hpp"
#include "zinnia/upstream/announcement_limits.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace zinnia::runtime {

namespace {

    /** Interval of summaries to the control instances of other zones. */
    constexpr Milliseconds summaryInterval { 200 };
    /** Interval at which the other control instances are told the zone of this one if load is not shared. */
    constexpr Milliseconds zoneInterval { 1000 };
    /** Interval at which the usable upstreams are computed without an announcement, for cold starts that end. */
    constexpr Milliseconds upstreamInterval { 500 };
    /** Interval at which the figures of services are written to the metrics. */
    constexpr Milliseconds gaugeInterval { 500 };
    /** Size of the facts in a reply; the rest is left for the load of services and upstreams. Unit: bytes. */
    constexpr std::size_t maxFactsBytes = maxMessageBytes - (16U << 10U);
    /** Time without a report after which the metrics show no router. */
    constexpr Milliseconds reportTimeout { 1000 };

} // namespace

void FleetProcess::receive(InstanceId sender, const load::LoadReport& message, const Endpoint& source)
{
    const TimePoint now = this->loop->now();
    // A router of another zone gets an empty reply, from which it learns the zone of this instance.
    if (this->loadTable.merge(sender, message, now)) {
        load::LoadReply reply = this->loadTable.replyTo(sender, now);
        // The router requests facts without routes in parts.
        if (this->factsBytes > maxFactsBytes)
            reply.facts.routes.clear();
        if (!this->settings.member.sharesLoad)
            reply.services.clear();
        this->link->reply(source, wire::MessageKind::LoadReply, reply);
        this->lastLoadReportAt = now;
        if (this->settings.member.sharesLoad) {
            this->publish(this->loadWatch.observe(reply, now));
            this->publishLoad(reply, now);
        }
    } else if (message.zone != this->settings.member.zone) {
        load::LoadReply reply;
        reply.number = message.number;
        reply.zone = this->settings.member.zone;
        this->link->reply(source, wire::MessageKind::LoadReply, reply);
    }
}

void FleetProcess::receive(InstanceId sender, const load::ZoneSummary& message, const Endpoint&)
{
    if (message.zone.size() <= upstream::maxNameBytes && this->peerTable.recordZone(sender, message.zone))
        this->setPeers();
    if (this->settings.member.sharesLoad)
        (void)this->loadTable.merge(sender, message, this->loop->now());
}

void FleetProcess::refreshLoadTable(TimePoint now)
{
    const bool hasReports = now - this->lastLoadReportAt <= reportTimeout;
    if (!hasReports && !this->settings.member.sharesLoad)
        return;
    if (!hasReports)
        this->metrics.gauge({ "zinnia_control_load_routers" }).set(0);
    // The saved snapshot has no document. While the log is replayed the previous facts stay.
    // Without load sharing, reports serve the flow limits only.
    const auto version = this->log.state().routes().version;
    if (this->settings.member.sharesLoad && version > this->loadedVersion) {
        this->loadedVersion = version;
        if (const auto table = this->readDocument ? this->readDocument(this->log.state().document()) : std::nullopt) {
            const load::RouteFacts facts = load::makeRouteFacts(*table);
            this->factsBytes = this->archiveOf(feed::StateSubject::RouteFacts).sizeOf(version.value, [&facts] {
                return wire::encode(facts);
            });
            this->loadTable.setRoutes(facts, load::shortestObjectives(*table));
        }
    }
    if (const auto revision = this->routing().revision; revision != std::exchange(this->loadedRevision, revision))
        this->loadedChange = 0;
    if (this->loadedChange == this->announcementTable.lastChange() && now < this->nextLoadRefreshAt)
        return;
    this->loadedChange = this->announcementTable.lastChange();
    this->nextLoadRefreshAt = now + upstreamInterval;
    this->loadTable.setUpstreams(this->usableUpstreams(now));
}

std::vector<load::UsableUpstream> FleetProcess::usableUpstreams(TimePoint now)
{
    const std::string& zone = this->settings.member.zone;
    const auto& withdrawn = this->routing().withdrawnZones;
    if (std::find(withdrawn.begin(), withdrawn.end(), zone) != withdrawn.end())
        return {};
    // Routers find a crashed upstream long before its lease ends. Their suspicions are kept for 2 s and repeated with
    // each failed health check.
    std::set<upstream::UpstreamNumber> suspected;
    for (const auto& suspicion : this->suspicions.current(now))
        suspected.insert(suspicion.upstream);
    std::vector<load::UsableUpstream> usable;
    for (const auto& [announcement, age] : this->announcementTable.all(now)) {
        if (announcement.zone == zone && announcement.state == upstream::AnnouncedState::Ready
            && announcement.coldRemaining <= age && !suspected.contains(announcement.number))
            usable.push_back({ upstream::tokenOf(announcement.number), announcement.service, announcement.slots });
    }
    return usable;
}

void FleetProcess::clearLoadTable()
{
    this->loadTable = load::ZoneLoadTable { this->settings.member.zone };
    this->loadedVersion = {};
    this->loadedChange = 0;
    this->nextLoadRefreshAt = {};
}

void FleetProcess::publish(const std::vector<load::LoadChange>& changes)
{
    for (const load::LoadChange& change : changes) {
        if (change.zone.empty())
            runtime::log(change.event, Field { "service", change.service }, Field { "limit", change.slots },
                Field { "in_flight", change.inFlight }, Field { "waiting", change.waiting });
        else
            runtime::log(change.event, Field { "service", change.service }, Field { "zone", change.zone },
                Field { "slots", change.slots });
    }
}

void FleetProcess::publishLoad(const load::LoadReply& reply, TimePoint now)
{
    if (now < this->nextLoadGaugesAt)
        return;
    this->nextLoadGaugesAt = now + gaugeInterval;
    std::uint32_t routers = 0;
    for (const load::ServiceLoad& service : reply.services) {
        routers = std::max(routers, service.routers);
        const auto set = [&](const char* name, std::uint32_t value) {
            this->metrics.gauge({ name, "service", service.service }).set(value);
        };
        set("zinnia_control_service_capacity", service.capacity);
        set("zinnia_control_service_limit", service.limit);
        set("zinnia_control_service_in_flight", service.inFlight);
        set("zinnia_control_service_waiting", service.waiting);
    }
    this->metrics.gauge({ "zinnia_control_load_routers" }).set(routers);
}

void FleetProcess::sendZoneSummary()
{
    const bool sharesLoad = this->settings.member.sharesLoad;
    this->loop->schedule(sharesLoad ? summaryInterval : zoneInterval, [this] { this->sendZoneSummary(); });
    // Without load, it tells only the zone. The previous release ignores it.
    if (!sharesLoad) {
        const load::ZoneSummary zoneOnly { 0, this->settings.member.zone, {} };
        for (const auto& peer : this->peerTable.peers())
            this->link->send(peer, wire::MessageKind::ZoneSummary, zoneOnly);
        return;
    }
    const auto summary = this->loadTable.makeSummary(this->loop->now());
    this->publish(this->loadWatch.observe(summary.value_or(load::ZoneSummary {})));
    if (!summary)
        return;
    for (const auto& peer : this->peerTable.peers())
        this->link->send(peer, wire::MessageKind::ZoneSummary, *summary);
}

} // namespace zinnia::runtime
