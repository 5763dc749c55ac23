#include "zinnia/request/home.hpp"

#include <algorithm>

namespace zinnia::request {

using upstream::HealthSignal;

namespace {

    bool isRefusal(const CoapMessage& message)
    {
        const auto notRun = static_cast<std::uint64_t>(coap::Outcome::NotRun);
        return message.code == coap::tooManyRequests
            || (message.code == coap::serviceUnavailable && message.uintOption(coap::outcome) == notRun);
    }

    std::optional<std::uint64_t> tokenOf(const CoapMessage& message)
    {
        if (message.token.size() != 8)
            return std::nullopt;
        std::uint64_t token = 0;
        for (const std::uint8_t byte : message.token)
            token = (token << 8U) | byte;
        return token;
    }

    CoapMessage emptyMessage(CoapType type, std::uint16_t messageId)
    {
        CoapMessage message;
        message.type = type;
        message.messageId = messageId;
        return message;
    }

} // namespace

void RequestHome::on(const UpstreamMessage& event, TimePoint now)
{
    const CoapMessage& message = event.message;
    if (!message.isResponse()) {
        this->control(event, now);
        return;
    }
    const auto token = tokenOf(message);
    const auto match = token ? this->tokens.find(*token) : this->tokens.end();
    Attempt* attempt = nullptr;
    if (match != this->tokens.end()) {
        Attempt& candidate = this->attempts.at(match->second);
        const auto& address = this->stationOf(candidate.upstream, now).info.address;
        const bool isPiggybacked = message.type == CoapType::Acknowledgement;
        if (address == event.from && (!isPiggybacked || message.messageId == candidate.messageId))
            attempt = &candidate;
    }
    if (message.type == CoapType::Confirmable) {
        const CoapType type = attempt ? CoapType::Acknowledgement : CoapType::Reset;
        const UpstreamId upstream = attempt ? attempt->upstream : UpstreamId {};
        this->actions.emplace_back(SendToUpstream { upstream, event.from, emptyMessage(type, message.messageId) });
    }
    if (!attempt) {
        this->actions.emplace_back(LogHomeEvent { Event::UpstreamAnswerDropped, {}, RefusalReason::None });
        return;
    }
    const AttemptKey key = match->second;
    this->answered(key, *attempt, message, now);
    this->pump(this->stationOf(attempt->upstream, now), now);
}

void RequestHome::answered(const AttemptKey& key, Attempt& attempt, const CoapMessage& message, TimePoint now)
{
    const bool continues = attempt.observe && message.code < coapCode(3, 0) && message.find(coap::observe);
    if (attempt.stage == Stage::Ended) {
        // Late or duplicated: it only proves that the upstream has finished.
        this->releaseSlot(key, attempt);
        this->actions.emplace_back(
            LogHomeEvent { Event::UpstreamAnswerDropped, attempt.upstream, RefusalReason::None });
        return;
    }
    if (attempt.stage == Stage::Observing) {
        attempt.result.answer = message;
        RequestResult notification = attempt.result;
        notification.kind = continues ? ResultKind::Notification : ResultKind::Answered;
        if (!continues) {
            this->observations.erase(key);
            this->end(key, attempt, ResultKind::Answered, RefusalReason::None, now);
        } else
            this->send(key, notification);
        return;
    }
    if (isRefusal(message)) {
        this->refusedByUpstream(key, attempt, message, now);
        return;
    }
    Station& station = this->stationOf(attempt.upstream, now);
    const auto duration = std::chrono::duration_cast<Milliseconds>(now - attempt.sentAt);
    // A retransmitted request does not tell which copy was answered.
    if (attempt.transmissions == 1 && station.detector.recordAnswer(attempt.priority, duration))
        this->turnCold(station, now);
    this->actions.emplace_back(ReportHealthSignal { attempt.upstream, HealthSignal::Answered });
    this->releaseSlot(key, attempt);
    attempt.result.answer = message;
    if (!continues) {
        this->end(key, attempt, ResultKind::Answered, RefusalReason::None, now);
        return;
    }
    attempt.stage = Stage::Observing;
    attempt.result.kind = ResultKind::Answered;
    this->observations.insert(key);
    this->send(key, attempt.result);
}

void RequestHome::refusedByUpstream(const AttemptKey& key, Attempt& attempt, const CoapMessage& message, TimePoint now)
{
    Station& station = this->stationOf(attempt.upstream, now);
    const auto asked = message.uintOption(coap::maxAge);
    const Seconds backOff = asked ? Seconds { static_cast<std::int64_t>(std::min<std::uint64_t>(
                                *asked, static_cast<std::uint64_t>(this->settings.maxBackOff.count()))) }
                                  : this->settings.defaultBackOff;
    station.pausedUntil = std::max(station.pausedUntil, now + backOff);
    station.limiter.recordRefusal(now);
    this->actions.emplace_back(ReportHealthSignal { attempt.upstream, HealthSignal::Refused });
    this->actions.emplace_back(LogHomeEvent { Event::UpstreamShed, attempt.upstream, RefusalReason::UpstreamShedding });
    if (station.detector.recordRefusal())
        this->turnCold(station, now);
    this->releaseSlot(key, attempt);
    this->end(key, attempt, ResultKind::NotRun, RefusalReason::UpstreamShedding, now);
}

/** Handles empty messages: acknowledgements and resets, which are matched by message id. */
void RequestHome::control(const UpstreamMessage& event, TimePoint now)
{
    if (event.message.code != coap::empty)
        return;
    for (const AttemptKey& key : this->active) {
        Attempt& attempt = this->attempts.at(key);
        const Station& station = this->stationOf(attempt.upstream, now);
        if (attempt.stage != Stage::InFlight || attempt.messageId != event.message.messageId
            || station.info.address != event.from)
            continue;
        if (event.message.type == CoapType::Acknowledgement) {
            attempt.acknowledged = true;
        } else if (event.message.type == CoapType::Reset) {
            const AttemptKey reset = key;
            this->releaseSlot(reset, attempt);
            this->end(reset, attempt, ResultKind::Unknown, RefusalReason::UpstreamUnresponsive, now);
        }
        return;
    }
}

} // namespace zinnia::request
