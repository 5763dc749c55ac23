#include "standin/emulated_upstream.hpp"

#include "zinnia/wire/archive.hpp"
#include "zinnia/wire/coap_codec.hpp"

#include <algorithm>
#include <string_view>

namespace zinnia::standin {
namespace {

    /** Multiplier of the service time while a cold upstream is overloaded. */
    constexpr int lateFactor = 10;
    /** Age of the values in a lagging report. */
    constexpr Seconds reportLag { 10 };
    constexpr unsigned fullLoad = 100;
    constexpr std::string_view healthPath = "health";

} // namespace

EmulatedUpstream::EmulatedUpstream(UpstreamSpec spec, TimePoint now)
    : settings { std::move(spec) }
    , warmth { this->settings.warmth, now }
    , retransmitter { this->settings.seed + 1 }
    , random { this->settings.seed }
    , stateGeneration { this->settings.incarnation.value }
    , nextMessageId { static_cast<std::uint16_t>(this->random()) }
{
}

std::vector<Outgoing> EmulatedUpstream::handle(const Endpoint& source, BytesView bytes, TimePoint now)
{
    ++this->totals.packetsByService[this->settings.service];
    this->totals.lastPacket = now;
    Sent sent;
    if (!this->answering || this->warmth.state(now) == Warmth::State::Failed)
        return sent;
    if (!this->admitConnection(source, now))
        return sent;
    if (this->settings.mode == config::ServiceMode::Datagram)
        this->handleDatagram(source, bytes, sent);
    else
        this->handleMessage(source, bytes, now, sent);
    return sent;
}

bool EmulatedUpstream::admitConnection(const Endpoint& source, TimePoint now)
{
    const auto known = this->lastSeen.find(source);
    if (known != this->lastSeen.end()) {
        known->second = now;
        return true;
    }
    std::erase_if(
        this->lastSeen, [&](const auto& entry) { return entry.second + this->settings.connectionIdle <= now; });
    if (this->lastSeen.size() >= this->settings.connections) {
        ++this->totals.connectionsRefused;
        return false;
    }
    this->lastSeen.emplace(source, now);
    this->totals.maxConnections
        = std::max(this->totals.maxConnections, static_cast<std::uint32_t>(this->lastSeen.size()));
    if (this->settings.mode == config::ServiceMode::Datagram) {
        this->countNewWorkWhileDraining(now);
        this->warmth.onFlow(now);
    }
    return true;
}

void EmulatedUpstream::handleDatagram(const Endpoint& source, BytesView bytes, Sent& sent)
{
    const auto probe = wire::decode<Probe>(bytes);
    if (!probe.has_value()) {
        ++this->totals.malformed;
        return;
    }
    if (probe.value().service != this->settings.service)
        ++this->totals.misdelivered;
    ++this->totals.echoed;
    sent.push_back({ source, this->answerPayload(probe.value().id) });
}

void EmulatedUpstream::handleMessage(const Endpoint& source, BytesView bytes, TimePoint now, Sent& sent)
{
    const auto decoded = wire::decodeCoap(bytes);
    if (!decoded.has_value()) {
        ++this->totals.malformed;
        return;
    }
    const CoapMessage& message = decoded.value();
    this->totals.acknowledgements += message.type == CoapType::Acknowledgement ? 1 : 0;
    this->totals.resets += message.type == CoapType::Reset ? 1 : 0;
    if (message.type == CoapType::Acknowledgement)
        this->retransmitter.acknowledge(source, message.messageId);
    else if (message.type == CoapType::Reset)
        this->handleReset(source, message.messageId);
    else if (message.isRequest())
        this->handleRequest(source, message, now, sent);
}

/** Handles a reset of a message that this upstream sent, or of a request that the sender cancels. */
void EmulatedUpstream::handleReset(const Endpoint& source, std::uint16_t messageId)
{
    this->retransmitter.acknowledge(source, messageId);
    const bool stream = this->streams.removeByMessage(source, messageId);
    const auto removed = std::erase_if(this->running,
        [&](const Running& work) { return work.source == source && work.request.messageId == messageId; });
    if (stream || removed != 0)
        ++this->totals.cancelled;
}

void EmulatedUpstream::handleRequest(const Endpoint& source, const CoapMessage& request, TimePoint now, Sent& sent)
{
    if (const Bytes* earlier = this->duplicates.seen(source, request.messageId, now)) {
        ++this->totals.duplicates;
        if (!earlier->empty())
            sent.push_back({ source, *earlier });
        return;
    }
    if (request.code == coap::get && request.path() == healthPath) {
        const UpstreamReport report = this->report(now);
        const std::string text = (report.healthy ? "well load=" : "unwell load=") + std::to_string(report.load);
        CoapMessage response;
        response.code = coap::content;
        response.payload.assign(text.begin(), text.end());
        this->answer(source, request, std::move(response), false, now, sent);
        return;
    }
    const EmulatedKind* kind = this->kindOf(request);
    if (!kind || !wire::decode<Probe>(request.payload).has_value()) {
        ++this->totals.malformed;
        CoapMessage response;
        response.code = coap::badRequest;
        this->answer(source, request, std::move(response), false, now, sent);
        return;
    }
    if (request.uintOption(coap::observe) == 1U) {
        this->totals.cancelled += this->streams.remove(source, request.token) ? 1 : 0;
        CoapMessage response;
        response.code = coap::content;
        response.payload = this->answerPayload(wire::decode<Probe>(request.payload).value().id);
        this->answer(source, request, std::move(response), false, now, sent);
        return;
    }
    this->countNewWorkWhileDraining(now);
    const RefusalReason reason = this->refusalOf(request, now);
    if (reason != RefusalReason::None)
        this->refuse(source, request, coap::Outcome::NotRun, reason, now, sent);
    else
        this->run(source, request, *kind, now, sent);
}

RefusalReason EmulatedUpstream::refusalOf(const CoapMessage& request, TimePoint now)
{
    const auto inUse = static_cast<std::uint32_t>(this->running.size());
    this->totals.maxInFlight = std::max(this->totals.maxInFlight, inUse + 1);
    this->warmth.onRequest(inUse, now);
    if (inUse >= this->settings.slots) {
        ++this->totals.refused;
        return RefusalReason::UpstreamShedding;
    }
    if (std::uniform_real_distribution<double> {}(this->random) < this->sheddingShare) {
        ++this->totals.shed;
        return RefusalReason::UpstreamShedding;
    }
    if (request.uintOption(coap::deadline) == 0U) {
        ++this->totals.deadlineExceeded;
        return RefusalReason::DeadlineExceeded;
    }
    return RefusalReason::None;
}

void EmulatedUpstream::refuse(const Endpoint& source, const CoapMessage& request, coap::Outcome outcome,
    RefusalReason reason, TimePoint now, Sent& sent)
{
    CoapMessage response;
    response.code = coap::serviceUnavailable;
    response.addUint(coap::maxAge, 1);
    response.addUint(coap::outcome, static_cast<std::uint64_t>(outcome));
    response.addUint(coap::reason, static_cast<std::uint64_t>(reason));
    this->answer(source, request, std::move(response), false, now, sent);
}

void EmulatedUpstream::run(
    const Endpoint& source, const CoapMessage& request, const EmulatedKind& kind, TimePoint now, Sent& sent)
{
    const Probe probe = wire::decode<Probe>(request.payload).value();
    if (probe.service != this->settings.service)
        ++this->totals.misdelivered;
    ++this->totals.ran;
    ++this->totals.runs[probe.id];
    std::lognormal_distribution<double> factor { 0.0, kind.spread };
    Microseconds duration { static_cast<std::int64_t>(
        static_cast<double>(kind.median.count()) * factor(this->random)) };
    if (this->warmth.state(now) == Warmth::State::Late)
        duration *= lateFactor;
    const auto deadline = request.uintOption(coap::deadline);
    this->running.push_back({ source, request, probe, &kind, now + duration,
        deadline ? now + Milliseconds { static_cast<std::int64_t>(std::min<std::uint64_t>(*deadline, 1U << 30U)) }
                 : TimePoint::max() });
    if (kind.style == AnswerStyle::Separate && request.type == CoapType::Confirmable) {
        Outgoing ack
            = toDatagram(source, CoapMessage { CoapType::Acknowledgement, coap::empty, request.messageId, {}, {}, {} });
        this->duplicates.answered(source, request.messageId, ack.bytes);
        sent.push_back(std::move(ack));
    }
}

void EmulatedUpstream::finish(const Running& work, TimePoint now, Sent& sent)
{
    const bool separate = work.kind->style == AnswerStyle::Separate;
    CoapMessage response;
    if (work.deadline < work.finish) {
        ++this->totals.deadlineExceeded;
        response.code = coap::serviceUnavailable;
        response.addUint(coap::outcome, static_cast<std::uint64_t>(coap::Outcome::Unknown));
        response.addUint(coap::reason, static_cast<std::uint64_t>(RefusalReason::DeadlineExceeded));
    } else {
        response.code = work.request.code == coap::get ? coap::content : coap::changed;
        response.payload = this->answerPayload(work.probe.id);
        if (work.kind->style == AnswerStyle::Observe && work.request.uintOption(coap::observe) == 0U) {
            response.addUint(coap::observe, 1);
            this->streams.add(
                { work.source, work.request.token, work.probe.id, work.kind->period, now + work.kind->period, 1, 0 });
        }
    }
    this->answer(work.source, work.request, std::move(response), separate, now, sent);
}

void EmulatedUpstream::answer(
    const Endpoint& source, const CoapMessage& request, CoapMessage response, bool separate, TimePoint now, Sent& sent)
{
    response.token = request.token;
    if (request.type == CoapType::Confirmable && !separate) {
        response.type = CoapType::Acknowledgement;
        response.messageId = request.messageId;
        Outgoing bytes = toDatagram(source, response);
        this->duplicates.answered(source, request.messageId, bytes.bytes);
        sent.push_back(std::move(bytes));
        return;
    }
    response.messageId = this->nextMessageId++;
    response.type = separate ? CoapType::Confirmable : CoapType::NonConfirmable;
    sent.push_back(
        separate ? this->retransmitter.start(source, std::move(response), now) : toDatagram(source, response));
}

void EmulatedUpstream::notify(Observer& observer, TimePoint now, Sent& sent)
{
    // RFC 7641 asks for a confirmable notification from time to time, to detect observers that are gone.
    constexpr std::uint32_t confirmableInterval = 8;
    CoapMessage message;
    message.code = coap::content;
    message.token = observer.token;
    message.messageId = observer.lastMessageId = this->nextMessageId++;
    message.addUint(coap::observe, observer.sequence);
    message.payload = this->answerPayload(observer.probe);
    ++this->totals.notifications;
    const bool confirmable = observer.sequence % confirmableInterval == 0;
    message.type = confirmable ? CoapType::Confirmable : CoapType::NonConfirmable;
    sent.push_back(confirmable ? this->retransmitter.start(observer.source, std::move(message), now)
                               : toDatagram(observer.source, message));
}

std::vector<Outgoing> EmulatedUpstream::tick(TimePoint now)
{
    Sent sent;
    const bool silent = !this->answering || this->warmth.state(now) == Warmth::State::Failed;
    std::vector<Running> finished;
    std::erase_if(this->running, [&](const Running& work) {
        const bool done = std::min(work.finish, work.deadline) <= now;
        if (done)
            finished.push_back(work);
        return done;
    });
    auto due = this->retransmitter.tick(now);
    for (const auto& lost : due.expired)
        (void)this->streams.remove(lost.peer, lost.token);
    if (silent)
        return sent;
    for (const auto& work : finished)
        this->finish(work, now, sent);
    for (Observer* observer : this->streams.due(now))
        this->notify(*observer, now, sent);
    sent.insert(sent.end(), std::make_move_iterator(due.retransmissions.begin()),
        std::make_move_iterator(due.retransmissions.end()));
    return sent;
}

void EmulatedUpstream::setDraining(bool wanted, TimePoint now)
{
    if (wanted && !this->draining)
        this->totals.drainStarted = now;
    this->draining = wanted;
}

void EmulatedUpstream::restart(TimePoint now)
{
    ++this->settings.incarnation.value;
    ++this->stateGeneration;
    this->running.clear();
    this->lastSeen.clear();
    this->streams.clear();
    this->duplicates.clear();
    this->retransmitter = Retransmitter { this->settings.seed + this->settings.incarnation.value };
    this->warmth.turnCold(now);
    this->answering = true;
    this->draining = false;
}

void EmulatedUpstream::moveTo(const std::string& service, config::ServiceMode mode, TimePoint now)
{
    this->settings.service = service;
    this->settings.mode = mode;
    this->restart(now);
}

UpstreamReport EmulatedUpstream::report(TimePoint now)
{
    const auto load
        = static_cast<unsigned>(this->running.size() * fullLoad / std::max<std::size_t>(this->settings.slots, 1));
    const Warmth::State state = this->warmth.state(now);
    const UpstreamReport honest { load, state == Warmth::State::Cold || state == Warmth::State::Warm };
    this->pastReports.emplace_back(now, honest);
    while (this->pastReports.size() > 1 && this->pastReports[1].first + reportLag <= now)
        this->pastReports.pop_front();
    if (this->settings.report == ReportStyle::Honest)
        return honest;
    return this->settings.report == ReportStyle::Lagging ? this->pastReports.front().second : UpstreamReport {};
}

Bytes EmulatedUpstream::answerPayload(std::uint64_t id) const
{
    return wire::encode(ProbeAnswer { id, this->settings.service, this->settings.name, this->stateGeneration });
}

const EmulatedKind* EmulatedUpstream::kindOf(const CoapMessage& request) const
{
    const std::string path = request.path();
    const auto at = std::find_if(this->settings.kinds.begin(), this->settings.kinds.end(),
        [&](const EmulatedKind& kind) { return kind.path.empty() || kind.path == path; });
    return at == this->settings.kinds.end() ? nullptr : &*at;
}

void EmulatedUpstream::countNewWorkWhileDraining(TimePoint now)
{
    if (!this->draining)
        return;
    ++this->totals.newWorkWhileDraining;
    this->totals.lastNewWorkWhileDraining = now;
}

} // namespace zinnia::standin
