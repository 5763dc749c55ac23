#include "zinnia/runtime/logger.hpp"
#include "zinnia/runtime/router_process.hpp"

#include <map>
#include <utility>

namespace zinnia::runtime {

namespace {

    constexpr Milliseconds expiryInterval { 1000 };

} // namespace

void RouterProcess::observe(
    BytesView bytes, const routing::FlowPacket& packet, const routing::RoutingDecision& decision)
{
    if (decision.handshakeTime)
        this->handshakes->record(*decision.handshakeTime);
    if (decision.answerTime)
        this->answers->record(*decision.answerTime);
    if (decision.startsRequest)
        log(Event::RequestForwarded, Field { "request", this->format->requestId(bytes) },
            Field { "caller", packet.caller }, Field { "service", packet.service },
            Field { "upstream", decision.upstream->announcement.number }, Field { "flows", decision.upstream->flows },
            Field { "requests", decision.upstream->requests }, Field { "revision", this->router.state().revision });
}

void RouterProcess::logHealthChanges()
{
    for (const auto& change : this->router.takeHealthChanges()) {
        if (change.cause != routing::SuspicionCause::None)
            log(Event::UpstreamSuspected, Field { "upstream", change.upstream }, Field { "cause", change.cause },
                Field { "flows_reset", change.flowsReset },
                Field { "silent_us", change.sinceLastAnswer.value_or(Microseconds { -1 }) });
        else
            log(Event::UpstreamAnswersAgain, Field { "upstream", change.upstream });
    }
}

void RouterProcess::report(const routing::FlowPacket& packet, const routing::RoutingDecision& decision)
{
    Event event = Event::FlowReset;
    if (decision.reason == routing::RoutingReason::CopyMoved)
        event = Event::OpeningMoved;
    else if (decision.action == routing::PacketAction::Forward)
        event = Event::FlowOpened;
    else if (decision.action == routing::PacketAction::Drop)
        event = Event::TokenUnknown;
    else if (packet.syn)
        event = Event::FlowRefused;
    static const routing::Upstream none;
    const routing::Upstream& upstream = decision.upstream != nullptr ? *decision.upstream : none;
    if (event == Event::FlowRefused && decision.admission) {
        const routing::AdmissionFigures& load = *decision.admission;
        log(event, Field { "caller", packet.caller }, Field { "service", packet.service },
            Field { "reason", decision.reason }, Field { "priority", load.priority }, Field { "limit", load.limit },
            Field { "in_flight", load.inFlight }, Field { "waiting", load.waiting },
            Field { "revision", this->router.state().revision });
        return;
    }
    log(event, Field { "caller", packet.caller }, Field { "service", packet.service },
        Field { "reason", decision.reason }, Field { "token", packet.token },
        Field { "upstream", upstream.announcement.number }, Field { "flows", upstream.flows },
        Field { "requests", upstream.requests }, Field { "revision", this->router.state().revision });
}

void RouterProcess::expireAndPublishGauges()
{
    this->loop->schedule(expiryInterval, [this] { this->expireAndPublishGauges(); });
    this->router.expire(this->loop->now());
    this->egressQueue.expire(this->loop->now());
    this->metrics.gauge({ "zinnia_router_waiting_openings" }).set(static_cast<double>(this->router.waitingOpenings()));
    this->metrics.gauge({ "zinnia_router_flows" }).set(static_cast<double>(this->router.flowCount()));
    std::array<double, upstream::announcedStateNames.size()> states {};
    for (const auto& [token, known] : this->router.directory().all())
        ++states[static_cast<std::size_t>(known.announcement.state)];
    for (const auto& row : upstream::announcedStateNames)
        this->metrics.gauge({ "zinnia_router_upstreams", "state", std::string { row.name } })
            .set(states[static_cast<std::size_t>(row.value)]);
    const auto age = std::chrono::duration<double> { this->loop->now() - this->feed.lastConfirmedAt() };
    this->metrics.gauge({ "zinnia_router_news_age_seconds" }).set(age.count());
    for (std::size_t kind = 0; kind < this->countedDrops.size(); ++kind) {
        const std::uint64_t dropped = this->egressQueue.dropped()[kind];
        this->egressDrops[kind]->add(dropped - std::exchange(this->countedDrops[kind], dropped));
    }
    this->publishPlacement();
    this->metrics.gauge({ "zinnia_router_egress_queue_bytes" }).set(static_cast<double>(this->egressQueue.size()));
    this->metrics.gauge({ "zinnia_router_revision" }).set(static_cast<double>(this->router.state().revision));
    this->metrics.gauge({ "zinnia_router_in_touch" }).set(this->hadLeaderContact ? 1 : 0);
    this->expireWaiting(this->loop->now());
    if (this->settings.member.sharesLoad)
        this->metrics.gauge({ "zinnia_router_load_age_seconds" })
            .set(std::chrono::duration<double> { this->router.load().age(this->loop->now()) }.count());
}

void RouterProcess::publishPlacement()
{
    if (!this->settings.member.sharesLoad)
        return;
    const auto publish = [this](const MetricKey& key, std::uint64_t total) {
        Counter& counter = this->metrics.counter(key);
        counter.add(total - counter.value());
    };
    std::map<std::string, std::uint64_t> openings;
    Microseconds saved {};
    for (const auto& [key, count] : this->router.spillCounters()) {
        openings[key.first] += count.openings;
        saved += count.saved;
    }
    for (const auto& [zone, count] : openings)
        publish({ "zinnia_router_spilled_openings_total", "zone", zone }, count);
    publish({ "zinnia_router_avoided_choices_total" }, this->router.avoidedChoices());
    // A gauge, as counters of the registry are integers.
    this->metrics.gauge({ "zinnia_router_spill_saved_seconds_total" })
        .set(std::chrono::duration<double> { saved }.count());
}

} // namespace zinnia::runtime
