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
        this->handleEmptyMessage(event, now);
        return;
    }
    const auto token = tokenOf(message);
    const auto match = token ? this->attemptsByToken.find(*token) : this->attemptsByToken.end();
    Attempt* attempt = nullptr;
    if (match != this->attemptsByToken.end()) {
        Attempt& candidate = this->attempts.at(match->second);
        const auto& address = this->upstreamFor(candidate.upstream, now).info.address;
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
    this->handleResponse(key, *attempt, message, now);
    this->dispatchQueued(this->upstreamFor(attempt->upstream, now), now);
}

void RequestHome::handleResponse(const AttemptKey& key, Attempt& attempt, const CoapMessage& message, TimePoint now)
{
    const bool continues = attempt.observe && message.code < coapCode(3, 0) && message.find(coap::observe);
    if (attempt.stage == Stage::Ended) {
        // A late or duplicate response shows only that the upstream has finished.
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
            this->endAttempt(key, attempt, ResultKind::Answered, RefusalReason::None, now);
        } else
            this->sendResult(key, notification);
        return;
    }
    if (isRefusal(message)) {
        this->handleRefusal(key, attempt, message, now);
        return;
    }
    ManagedUpstream& target = this->upstreamFor(attempt.upstream, now);
    const auto duration = std::chrono::duration_cast<Milliseconds>(now - attempt.sentAt);
    // Karn's rule: the response to a retransmitted request does not show which copy it belongs to.
    if (attempt.transmissions == 1 && target.detector.recordAnswer(attempt.priority, duration))
        this->turnCold(target, now);
    this->actions.emplace_back(ReportHealthSignal { attempt.upstream, HealthSignal::Answered });
    this->releaseSlot(key, attempt);
    attempt.result.answer = message;
    if (!continues) {
        this->endAttempt(key, attempt, ResultKind::Answered, RefusalReason::None, now);
        return;
    }
    attempt.stage = Stage::Observing;
    attempt.result.kind = ResultKind::Answered;
    this->observations.insert(key);
    this->sendResult(key, attempt.result);
}

void RequestHome::handleRefusal(const AttemptKey& key, Attempt& attempt, const CoapMessage& message, TimePoint now)
{
    ManagedUpstream& target = this->upstreamFor(attempt.upstream, now);
    const auto maxAge = message.uintOption(coap::maxAge);
    const Seconds backOff = maxAge ? Seconds { static_cast<std::int64_t>(std::min<std::uint64_t>(
                                *maxAge, static_cast<std::uint64_t>(this->settings.maxBackOff.count()))) }
                                   : this->settings.defaultBackOff;
    target.backOffUntil = std::max(target.backOffUntil, now + backOff);
    target.limiter.recordRefusal(now);
    this->actions.emplace_back(ReportHealthSignal { attempt.upstream, HealthSignal::Refused });
    this->actions.emplace_back(LogHomeEvent { Event::UpstreamShed, attempt.upstream, RefusalReason::UpstreamShedding });
    if (target.detector.recordRefusal())
        this->turnCold(target, now);
    this->releaseSlot(key, attempt);
    this->endAttempt(key, attempt, ResultKind::NotRun, RefusalReason::UpstreamShedding, now);
}

/** Handles empty acknowledgements and resets, which are matched by message ID. */
void RequestHome::handleEmptyMessage(const UpstreamMessage& event, TimePoint now)
{
    if (event.message.code != coap::empty)
        return;
    for (const AttemptKey& key : this->activeAttempts) {
        Attempt& attempt = this->attempts.at(key);
        const ManagedUpstream& target = this->upstreamFor(attempt.upstream, now);
        if (attempt.stage != Stage::InFlight || attempt.messageId != event.message.messageId
            || target.info.address != event.from)
            continue;
        if (event.message.type == CoapType::Acknowledgement) {
            attempt.acknowledged = true;
        } else if (event.message.type == CoapType::Reset) {
            const AttemptKey reset = key;
            this->releaseSlot(reset, attempt);
            this->endAttempt(reset, attempt, ResultKind::Unknown, RefusalReason::UpstreamUnresponsive, now);
        }
        return;
    }
}

} // namespace zinnia::request
