#include "zinnia/request/home.hpp"

#include <algorithm>

namespace zinnia::request {

using upstream::HealthSignal;

std::uint32_t RequestHome::limitOf(const Station& station, TimePoint now) const noexcept
{
    if (!this->settings.enforceSlots)
        return static_cast<std::uint32_t>(this->settings.maxAttempts);
    if (now < station.settledAt)
        return 0;
    const std::uint32_t limit = station.limiter.slotLimit(station.info.slots);
    return now < station.cautiousUntil ? std::min(limit, 1U) : limit;
}

void RequestHome::pump(Station& station, TimePoint now)
{
    if (!station.isHome || !this->holdsLease(now) || !takesWork(station) || now < station.pausedUntil)
        return;
    while (!station.queue.empty() && station.inFlight < this->limitOf(station, now)) {
        const AttemptKey key = *station.queue.pop();
        Attempt& attempt = this->attempts.at(key);
        const auto usual = station.detector.median(attempt.priority).value_or(Milliseconds { 0 });
        const bool isLate
            = now >= attempt.deadline || (this->settings.refuseInfeasibleDeadlines && now + usual > attempt.deadline);
        if (isLate)
            this->end(key, attempt, ResultKind::NotRun, RefusalReason::DeadlineExceeded, now);
        else
            this->dispatch(station, key, attempt, now);
    }
}

void RequestHome::dispatch(Station& station, const AttemptKey& key, Attempt& attempt, TimePoint now)
{
    attempt.stage = Stage::InFlight;
    attempt.holdsSlot = true;
    ++station.inFlight;
    attempt.messageId = station.nextMessageId++;
    // Tokens are not sequential, so that an answer to an earlier process does not match by accident.
    attempt.token = hashOf(this->seed, this->self.epoch.value, this->self.instance.value, ++this->nextToken);
    attempt.sentAt = now;
    attempt.result.kind = ResultKind::Running;
    this->tokens[attempt.token] = key;
    this->transmit(station, attempt, now);
}

void RequestHome::transmit(const Station& station, Attempt& attempt, TimePoint now)
{
    CoapMessage message = attempt.message;
    message.type = CoapType::Confirmable;
    message.messageId = attempt.messageId;
    message.token.clear();
    for (unsigned shift = 64; shift > 0; shift -= 8)
        message.token.push_back(static_cast<std::uint8_t>(attempt.token >> (shift - 8)));
    // A retransmission carries what is left now; otherwise the upstream would work past the deadline.
    std::erase_if(message.options, [](const CoapOption& option) { return option.number == coap::deadline; });
    const auto left = std::chrono::duration_cast<Milliseconds>(attempt.deadline - now);
    message.addUint(coap::deadline, static_cast<std::uint64_t>(std::max<std::int64_t>(1, left.count())));
    ++attempt.transmissions;
    // ACK_RANDOM_FACTOR of RFC 7252: up to 1.5 times the time-out, doubled for each transmission.
    const Milliseconds spread { static_cast<std::int64_t>(attempt.token % 512) * this->settings.ackTimeout.count()
        / 1024 };
    attempt.nextTransmission = now + (this->settings.ackTimeout + spread) * (1 << (attempt.transmissions - 1));
    this->actions.emplace_back(SendToUpstream { attempt.upstream, station.info.address, std::move(message) });
}

void RequestHome::end(const AttemptKey& key, Attempt& attempt, ResultKind kind, RefusalReason reason, TimePoint now)
{
    attempt.stage = Stage::Ended;
    attempt.result.kind = kind;
    attempt.result.reason = reason;
    if (kind == ResultKind::NotRun || kind == ResultKind::Unknown)
        attempt.result.retryAfter = this->settings.defaultBackOff;
    attempt.message = {};
    if (!attempt.holdsSlot)
        this->active.erase(key);
    this->ended.emplace_back(now + this->settings.resultRetention, key);
    this->send(key, attempt.result);
}

void RequestHome::send(const AttemptKey& key, const RequestResult& result)
{
    this->actions.emplace_back(SendResult { key.id.owner, result });
}

void RequestHome::releaseSlot(const AttemptKey& key, Attempt& attempt)
{
    if (!attempt.holdsSlot)
        return;
    attempt.holdsSlot = false;
    this->active.erase(key);
    --this->stations.at(attempt.upstream).inFlight;
}

void RequestHome::returnQueue(Station& station, RefusalReason reason, TimePoint now)
{
    for (const AttemptKey& key : station.queue.takeAll())
        this->end(key, this->attempts.at(key), ResultKind::NotRun, reason, now);
}

void RequestHome::deregister(const AttemptKey& key, Attempt& attempt, TimePoint now)
{
    constexpr std::uint64_t deregistration = 1; // RFC 7641, section 2
    Station& station = this->stationOf(attempt.upstream, now);
    std::erase_if(attempt.message.options, [](const CoapOption& option) { return option.number == coap::observe; });
    attempt.message.addUint(coap::observe, deregistration);
    attempt.messageId = station.nextMessageId++;
    attempt.deadline = now + this->settings.slotReleaseDelay;
    this->transmit(station, attempt, now);
    this->observations.erase(key);
    this->tokens.erase(attempt.token);
    attempt.stage = Stage::Ended;
    attempt.message = {};
    this->ended.emplace_back(now + this->settings.resultRetention, key);
}

void RequestHome::turnCold(Station& station, TimePoint now)
{
    station.detector.reset();
    station.limiter.restartRamp(now);
    this->actions.emplace_back(ReportHealthSignal { station.info.id, HealthSignal::TurnedCold });
}

void RequestHome::expireActive(TimePoint now)
{
    const std::set<AttemptKey> held = this->active;
    for (const AttemptKey& key : held) {
        Attempt& attempt = this->attempts.at(key);
        Station& station = this->stationOf(attempt.upstream, now);
        if (attempt.stage == Stage::Queued && now >= attempt.deadline) {
            (void)station.queue.remove(key);
            this->end(key, attempt, ResultKind::NotRun, RefusalReason::DeadlineExceeded, now);
        } else if (attempt.stage == Stage::InFlight && now >= attempt.deadline) {
            if (station.detector.recordTimeout()) {
                station.detector.reset();
                this->actions.emplace_back(ReportHealthSignal { attempt.upstream, HealthSignal::TimedOut });
            }
            this->end(key, attempt, ResultKind::Unknown, RefusalReason::DeadlineExceeded, now);
        } else if (attempt.stage == Stage::InFlight && !attempt.acknowledged && now >= attempt.nextTransmission
            && attempt.transmissions <= this->settings.maxRetransmit && station.isHome && this->holdsLease(now)
            && (attempt.idempotent || this->settings.retransmitNonIdempotent))
            this->transmit(station, attempt, now);
        if (attempt.holdsSlot && now >= attempt.deadline + this->settings.slotReleaseDelay)
            this->releaseSlot(key, attempt);
    }
}

void RequestHome::forgetEnded(TimePoint now)
{
    while (!this->ended.empty() && now >= this->ended.front().first) {
        const auto found = this->attempts.find(this->ended.front().second);
        if (found != this->attempts.end() && found->second.stage == Stage::Ended) {
            this->releaseSlot(found->first, found->second);
            this->tokens.erase(found->second.token);
            this->attempts.erase(found);
        }
        this->ended.pop_front();
    }
    std::erase_if(this->stations, [](const auto& item) {
        const Station& station = item.second;
        return !station.present && !station.isHome && station.inFlight == 0 && station.queue.empty();
    });
}

} // namespace zinnia::request
