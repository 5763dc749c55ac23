#include "zinnia/request/home.hpp"

#include <algorithm>

namespace zinnia::request {

using upstream::HealthSignal;

std::uint32_t RequestHome::slotLimit(const ManagedUpstream& target, TimePoint now) const noexcept
{
    if (!this->settings.enforceSlots)
        return static_cast<std::uint32_t>(this->settings.maxAttempts);
    if (now < target.dispatchBlockedUntil)
        return 0;
    const std::uint32_t limit = target.limiter.slotLimit(target.info.slots);
    return now < target.singleSlotUntil ? std::min(limit, 1U) : limit;
}

void RequestHome::dispatchQueued(ManagedUpstream& target, TimePoint now)
{
    if (!target.isHome || !this->holdsLease(now) || !acceptsRequests(target) || now < target.backOffUntil)
        return;
    while (!target.queue.empty() && target.inFlight < this->slotLimit(target, now)) {
        const AttemptKey key = *target.queue.pop();
        Attempt& attempt = this->attempts.at(key);
        const auto medianDuration = target.detector.median(attempt.priority).value_or(Milliseconds { 0 });
        const bool isLate = now >= attempt.deadline
            || (this->settings.refuseInfeasibleDeadlines && now + medianDuration > attempt.deadline);
        if (isLate)
            this->endAttempt(key, attempt, ResultKind::NotRun, RefusalReason::DeadlineExceeded, now);
        else
            this->dispatch(target, key, attempt, now);
    }
}

void RequestHome::dispatch(ManagedUpstream& target, const AttemptKey& key, Attempt& attempt, TimePoint now)
{
    attempt.stage = Stage::InFlight;
    attempt.holdsSlot = true;
    ++target.inFlight;
    attempt.messageId = target.nextMessageId++;
    // Tokens are hashed, not sequential, so that a response to an earlier process does not match by chance.
    attempt.token = hashOf(this->seed, this->self.epoch.value, this->self.instance.value, ++this->nextToken);
    attempt.sentAt = now;
    attempt.result.kind = ResultKind::Running;
    this->attemptsByToken[attempt.token] = key;
    this->transmit(target, attempt, now);
}

void RequestHome::transmit(const ManagedUpstream& target, Attempt& attempt, TimePoint now)
{
    CoapMessage message = attempt.message;
    message.type = CoapType::Confirmable;
    message.messageId = attempt.messageId;
    message.token.clear();
    for (unsigned shift = 64; shift > 0; shift -= 8)
        message.token.push_back(static_cast<std::uint8_t>(attempt.token >> (shift - 8)));
    // A retransmission carries the time that remains now; otherwise the upstream would work past the deadline.
    std::erase_if(message.options, [](const CoapOption& option) { return option.number == coap::deadline; });
    const auto remaining = std::chrono::duration_cast<Milliseconds>(attempt.deadline - now);
    message.addUint(coap::deadline, static_cast<std::uint64_t>(std::max<std::int64_t>(1, remaining.count())));
    ++attempt.transmissions;
    // ACK_RANDOM_FACTOR of RFC 7252: up to 1.5 times the timeout, doubled for each transmission.
    const Milliseconds spread { static_cast<std::int64_t>(attempt.token % 512) * this->settings.ackTimeout.count()
        / 1024 };
    attempt.nextTransmission = now + (this->settings.ackTimeout + spread) * (1 << (attempt.transmissions - 1));
    this->actions.emplace_back(SendToUpstream { attempt.upstream, target.info.address, std::move(message) });
}

void RequestHome::endAttempt(
    const AttemptKey& key, Attempt& attempt, ResultKind kind, RefusalReason reason, TimePoint now)
{
    attempt.stage = Stage::Ended;
    attempt.result.kind = kind;
    attempt.result.reason = reason;
    if (kind == ResultKind::NotRun || kind == ResultKind::Unknown)
        attempt.result.retryAfter = this->settings.defaultBackOff;
    attempt.message = {};
    if (!attempt.holdsSlot)
        this->activeAttempts.erase(key);
    this->endedAttempts.emplace_back(now + this->settings.resultRetention, key);
    this->sendResult(key, attempt.result);
}

void RequestHome::sendResult(const AttemptKey& key, const RequestResult& result)
{
    this->actions.emplace_back(SendResult { key.id.owner, result });
}

void RequestHome::releaseSlot(const AttemptKey& key, Attempt& attempt)
{
    if (!attempt.holdsSlot)
        return;
    attempt.holdsSlot = false;
    this->activeAttempts.erase(key);
    --this->upstreams.at(attempt.upstream).inFlight;
}

void RequestHome::rejectQueued(ManagedUpstream& target, RefusalReason reason, TimePoint now)
{
    for (const AttemptKey& key : target.queue.takeAll())
        this->endAttempt(key, this->attempts.at(key), ResultKind::NotRun, reason, now);
}

void RequestHome::cancelObservation(const AttemptKey& key, Attempt& attempt, TimePoint now)
{
    constexpr std::uint64_t deregistration = 1; // RFC 7641, section 2
    ManagedUpstream& target = this->upstreamFor(attempt.upstream, now);
    std::erase_if(attempt.message.options, [](const CoapOption& option) { return option.number == coap::observe; });
    attempt.message.addUint(coap::observe, deregistration);
    attempt.messageId = target.nextMessageId++;
    attempt.deadline = now + this->settings.slotReleaseDelay;
    this->transmit(target, attempt, now);
    this->observations.erase(key);
    this->attemptsByToken.erase(attempt.token);
    attempt.stage = Stage::Ended;
    attempt.message = {};
    this->endedAttempts.emplace_back(now + this->settings.resultRetention, key);
}

void RequestHome::turnCold(ManagedUpstream& target, TimePoint now)
{
    target.detector.reset();
    target.limiter.restartRamp(now);
    this->actions.emplace_back(ReportHealthSignal { target.info.id, HealthSignal::TurnedCold });
}

void RequestHome::expireAttempts(TimePoint now)
{
    const std::set<AttemptKey> activeSnapshot = this->activeAttempts;
    for (const AttemptKey& key : activeSnapshot) {
        Attempt& attempt = this->attempts.at(key);
        ManagedUpstream& target = this->upstreamFor(attempt.upstream, now);
        if (attempt.stage == Stage::Queued && now >= attempt.deadline) {
            (void)target.queue.remove(key);
            this->endAttempt(key, attempt, ResultKind::NotRun, RefusalReason::DeadlineExceeded, now);
        } else if (attempt.stage == Stage::InFlight && now >= attempt.deadline) {
            if (target.detector.recordTimeout()) {
                target.detector.reset();
                this->actions.emplace_back(ReportHealthSignal { attempt.upstream, HealthSignal::TimedOut });
            }
            this->endAttempt(key, attempt, ResultKind::Unknown, RefusalReason::DeadlineExceeded, now);
        } else if (attempt.stage == Stage::InFlight && !attempt.acknowledged && now >= attempt.nextTransmission
            && attempt.transmissions <= this->settings.maxRetransmit && target.isHome && this->holdsLease(now)
            && (attempt.idempotent || this->settings.retransmitNonIdempotent))
            this->transmit(target, attempt, now);
        if (attempt.holdsSlot && now >= attempt.deadline + this->settings.slotReleaseDelay)
            this->releaseSlot(key, attempt);
    }
}

void RequestHome::purgeEnded(TimePoint now)
{
    while (!this->endedAttempts.empty() && now >= this->endedAttempts.front().first) {
        const auto found = this->attempts.find(this->endedAttempts.front().second);
        if (found != this->attempts.end() && found->second.stage == Stage::Ended) {
            this->releaseSlot(found->first, found->second);
            this->attemptsByToken.erase(found->second.token);
            this->attempts.erase(found);
        }
        this->endedAttempts.pop_front();
    }
    std::erase_if(this->upstreams, [](const auto& item) {
        const ManagedUpstream& target = item.second;
        return !target.isRegistered && !target.isHome && target.inFlight == 0 && target.queue.empty();
    });
}

} // namespace zinnia::request
