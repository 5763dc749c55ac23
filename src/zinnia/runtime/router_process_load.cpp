#include "zinnia/runtime/logger.hpp"
#include "zinnia/runtime/router_process.hpp"

#include <algorithm>
#include <utility>

namespace zinnia::runtime {

namespace {

    /** Interval of load reports. A shorter one would cost a router more than 9 KB/s with 100 upstreams in its zone. */
    constexpr Milliseconds reportInterval { 125 };
    /** The same without load sharing, where only the numbers of flows are used. */
    constexpr Milliseconds flowReportInterval { 250 };
    /** Openings whose bytes are kept at most: about 1 MB without data, 6 MB if each fills a datagram of 1,500 B. */
    constexpr std::size_t maxWaitingOpenings = 4096;
    /** Openings whose bytes are kept until their answer is overdue, and for how long: callers send copies then. */
    constexpr std::size_t maxSentOpenings = 4096;
    constexpr Milliseconds maxSentOpeningAge { 200 };
    /**
     * Time after its last arrival at which the bytes of an opening are removed if it was never released. Openings wait
     * 1.2 s at most, and callers give up after 1.4 s.
     */
    constexpr Milliseconds maxOpeningWait { 1400 };

} // namespace

void RouterProcess::reportLoad()
{
    const bool sharesLoad = this->settings.member.sharesLoad;
    this->loop->schedule(sharesLoad ? reportInterval : flowReportInterval, [this] { this->reportLoad(); });
    if (!sharesLoad && !this->router.hasNotableFlows())
        return;
    const TimePoint now = this->loop->now();
    this->checkLoadAge(now);
    this->load.setControls(this->feed.knownControlIds());
    const auto receivers = this->load.selectReceivers(now);
    if (receivers.empty())
        return;
    load::LoadReport report = this->router.makeLoadReport(now);
    report.number = this->load.nextNumber(now);
    this->loadReports->add();
    for (const InstanceId control : receivers) {
        report.wantsUpstreams = control == receivers.front();
        const std::size_t size = this->link->send(control, wire::MessageKind::LoadReport, report);
        this->linkPacer.recordSent(size, now);
    }
}

void RouterProcess::receiveLoadReply(const wire::OpenedMessage& message)
{
    auto reply = wire::decode<load::LoadReply>(message.body);
    if (!reply) {
        log(Event::MessageRefused, Field { "reason", RefusalReason::Malformed });
        return;
    }
    const TimePoint now = this->loop->now();
    if (load::RouteFacts& facts = reply.value().facts; facts.digest != 0 && facts.routes.empty()) {
        facts = {};
        const std::uint64_t version = std::max<std::uint64_t>(this->router.state().version.value, 1);
        this->requestState(feed::StateSubject::RouteFacts, message.sender, version);
    }
    if (this->load.receive(message.sender, reply.value(), now)) {
        this->router.merge(reply.value(), now);
        if (std::exchange(this->collector, message.sender) != message.sender && this->settings.member.sharesLoad)
            log(Event::CollectorChanged, Field { "control", message.sender });
        this->checkLoadAge(now);
    }
    this->handleReleased();
    this->sender.flush();
}

void RouterProcess::keepWaiting(BytesView bytes, const routing::FlowPacket& packet, TimePoint now)
{
    const routing::FlowId flow { packet.caller, packet.service };
    // The caller of an opening that is not kept retransmits it, or opens another flow.
    if (this->waitingOpenings.size() < maxWaitingOpenings || this->waitingOpenings.contains(flow))
        this->waitingOpenings.insert_or_assign(flow, HeldPacket { Bytes { bytes.begin(), bytes.end() }, packet, now });
}

void RouterProcess::expireWaiting(TimePoint now)
{
    std::erase_if(this->waitingOpenings, [now](const auto& item) { return now - item.second.since > maxOpeningWait; });
}

void RouterProcess::keepSent(BytesView bytes, const routing::FlowPacket& packet, TimePoint now)
{
    const routing::FlowId flow { packet.caller, packet.service };
    // Only the first transmission is repeated; one that is not kept is repeated by its caller.
    if (this->sentOpenings.size() < maxSentOpenings)
        this->sentOpenings.try_emplace(flow, HeldPacket { Bytes { bytes.begin(), bytes.end() }, packet, now });
}

void RouterProcess::repeatOpenings(TimePoint now)
{
    for (const routing::RepeatedOpening& opening : this->router.takeRepeatedOpenings()) {
        const auto sent = this->sentOpenings.find({ opening.caller, opening.service });
        if (sent == this->sentOpenings.end())
            continue;
        this->repeatedOpenings->add();
        this->perform(sent->second.bytes, sent->second.packet,
            { routing::PacketAction::Forward, routing::RoutingReason::None, opening.upstream });
    }
    std::erase_if(this->sentOpenings, [now](const auto& item) { return now - item.second.since > maxSentOpeningAge; });
}

void RouterProcess::handleReleased()
{
    // Released openings do not wait for the outgoing link: they are short, and `perform` counts them against its rate.
    for (const routing::ReleasedOpening& released : this->router.takeReleased(this->loop->now())) {
        auto waiting = this->waitingOpenings.extract({ released.packet.caller, released.packet.service });
        if (waiting.empty() || released.decision.action == routing::PacketAction::Drop)
            continue;
        const HeldPacket& kept = waiting.mapped();
        this->openingWaits->record(released.waited);
        this->actionCounters[static_cast<std::size_t>(released.decision.action)]->add();
        this->reasonCounters[static_cast<std::size_t>(released.decision.reason)]->add();
        this->perform(kept.bytes, kept.packet, released.decision);
        this->report(kept.packet, released.decision);
    }
}

void RouterProcess::checkLoadAge(TimePoint now)
{
    if (!this->settings.member.sharesLoad)
        return;
    const bool isFresh = this->router.load().isFresh(now);
    if (isFresh != std::exchange(this->hadFreshLoad, isFresh))
        log(isFresh ? Event::LoadFresh : Event::LoadStale, Field { "control", this->collector },
            Field { "age_ms", this->router.load().age(now).count() });
}

} // namespace zinnia::runtime
