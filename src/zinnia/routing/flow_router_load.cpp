#include "zinnia/routing/flow_router.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace zinnia::routing {

namespace {

    /** Time without an answer, as a multiple of the mean answer time, after which a request counts as answered. */
    constexpr std::int64_t presumedAnswerFactor = 4;
    /** Bounds of that time. Callers retransmit after 200 ms, so an opening without an answer by then was not accepted.
     */
    constexpr Milliseconds minPresumedAnswerTime { 200 };
    constexpr Milliseconds maxPresumedAnswerTime { 2000 };
    /** Number of routers of a zone up to which flow limits are kept over all of them without load sharing. */
    constexpr std::uint32_t maxRoutersOfZone = 256;

} // namespace

void FlowRouter::merge(const load::LoadReply& reply, TimePoint now)
{
    if (this->settings.load.enabled)
        return this->loadView.merge(reply, now);
    load::LoadReply flows;
    flows.age = reply.age;
    flows.upstreams = reply.upstreams;
    this->loadView.merge(flows, now);
}

bool FlowRouter::hasNotableFlows() const
{
    return std::any_of(
        this->current.services.begin(), this->current.services.end(), [this](const config::ServiceLimits& service) {
            const auto& known = this->upstreams.findByService(service.name);
            return service.maxFlowsPerUpstream > 0
                && std::any_of(known.begin(), known.end(), [&service](const Upstream* upstream) {
                       return upstream->flows > 0
                           && std::uint64_t { upstream->flows } * maxRoutersOfZone >= service.maxFlowsPerUpstream;
                   });
        });
}

void FlowRouter::setRouteFacts(const load::RouteFacts& facts)
{
    if (this->settings.load.enabled)
        this->loadView.setRouteFacts(facts);
}

load::LoadReport FlowRouter::makeLoadReport(TimePoint)
{
    load::LoadReport report;
    report.zone = this->settings.zone;
    report.factsDigest = this->loadView.factsDigest();
    report.slotPercent = this->slotPercent();
    std::map<std::string, load::ServiceCount> services;
    for (const auto& service : this->current.services) {
        services[service.name] = { service.name, 0, this->admission.waiting(service.name),
            this->admission.takeOpenings(service.name), this->admission.takeRefused(service.name) };
    }
    for (auto& [token, upstream] : this->upstreams.all()) {
        if (upstream.inFlight > 0)
            services[upstream.announcement.service].inFlight += upstream.inFlight;
        if (upstream.inFlight > 0 || upstream.flows > 0 || upstream.answers > 0)
            report.upstreams.push_back(
                { token, upstream.inFlight, upstream.flows, upstream.answers, upstream.answerTime });
        upstream.answers = 0;
        upstream.answerTime = {};
    }
    for (auto& [name, count] : services) {
        count.service = name;
        if (count != load::ServiceCount { name })
            report.services.push_back(count);
    }
    std::sort(report.upstreams.begin(), report.upstreams.end(),
        [](const load::UpstreamCount& left, const load::UpstreamCount& right) { return left.token < right.token; });
    return report;
}

std::uint32_t FlowRouter::slotPercent() const
{
    // In flight are the handshake and the time to the acknowledged answer, which includes one more way to the caller
    // and back.
    const std::int64_t handshake = this->meanHandshakeTime.count();
    const std::int64_t answer = this->meanAnswerTime.count();
    if (answer <= handshake)
        return 100;
    return static_cast<std::uint32_t>(100 * (answer - handshake) / (answer + handshake));
}

void FlowRouter::startRequest(Flow& flow, Upstream& upstream, TimePoint now)
{
    if (std::exchange(flow.inFlight, true))
        return;
    flow.inFlightSince = now;
    ++upstream.inFlight;
}

void FlowRouter::finishRequest(Flow& flow, Upstream* upstream)
{
    if (std::exchange(flow.inFlight, false) && upstream != nullptr && upstream->inFlight > 0)
        --upstream->inFlight;
}

void FlowRouter::expireRequests(TimePoint now)
{
    // An answer of one packet in a long flow is acknowledged with the caller's next request only.
    const Microseconds limit = std::clamp<Microseconds>(
        presumedAnswerFactor * this->meanAnswerTime, minPresumedAnswerTime, maxPresumedAnswerTime);
    for (auto& [id, flow] : this->flows) {
        if (!flow.inFlight)
            continue;
        const Microseconds age = now - flow.inFlightSince;
        if (age > (flow.established ? limit : Microseconds { minPresumedAnswerTime }))
            this->finishRequest(flow, this->upstreams.find(flow.token));
    }
}

} // namespace zinnia::routing
