#include "zinnia/request/observe_value.hpp"
#include "zinnia/request/owner.hpp"

#include <algorithm>

namespace zinnia::request {

namespace {

    CoapMessage refusalMessage(RequestOutcome outcome, RefusalReason reason, Seconds retryAfter)
    {
        const auto value = outcome == RequestOutcome::NotRun ? coap::Outcome::NotRun : coap::Outcome::Unknown;
        CoapMessage message;
        message.code = coap::serviceUnavailable;
        message.addUint(coap::maxAge, static_cast<std::uint64_t>(retryAfter.count()));
        message.addUint(coap::outcome, static_cast<std::uint64_t>(value));
        message.addUint(coap::reason, static_cast<std::uint64_t>(reason));
        return message;
    }

    CoapMessage emptyAcknowledgement(std::uint16_t messageId)
    {
        CoapMessage message;
        message.type = CoapType::Acknowledgement;
        message.messageId = messageId;
        return message;
    }

    void setObserve(CoapMessage& message, std::optional<std::uint32_t> value)
    {
        std::erase_if(message.options, [](const CoapOption& option) { return option.number == coap::observe; });
        if (value)
            message.addUint(coap::observe, *value);
    }

} // namespace

const config::Service* RequestOwner::serviceOf(ServiceId id) const
{
    for (const auto& service : this->configuration->services) {
        if (service.id == id)
            return &service;
    }
    return nullptr;
}

void RequestOwner::handleRetransmission(KeyedRequest& item, TimePoint now)
{
    const RequestKey& key = item.first;
    Request& request = item.second;
    if (request.answer) {
        if (request.answer->type == CoapType::Confirmable)
            this->actions.emplace_back(SendToCaller { key.service, key.caller, emptyAcknowledgement(key.messageId) });
        this->actions.emplace_back(SendToCaller { key.service, key.caller, *request.answer });
        return;
    }
    switch (request.stage) {
    case Stage::RecordOpen:
        // Its owner is still working on it, and answers it or is declared lost.
        if (request.confirmable)
            this->actions.emplace_back(SendToCaller { key.service, key.caller, emptyAcknowledgement(key.messageId) });
        break;
    case Stage::RecordClosed:
        this->refuse(item, RequestOutcome::Unknown, RefusalReason::OutcomeUnknown, Seconds { 0 }, now);
        break;
    case Stage::Ended: // The cached answer was dropped to free memory, or the deputy had another copy.
        this->respond(item, refusalMessage(RequestOutcome::Unknown, RefusalReason::OutcomeUnknown, Seconds { 0 }), now);
        break;
    case Stage::AwaitingLease:
    case Stage::QueryingPreviousOwner:
    case Stage::Recording:
        break; // No acknowledgement: it would stop the caller's retransmissions while no other entry knows the request.
    case Stage::Dispatched:
    case Stage::Observing:
        if (!request.confirmable)
            break;
        request.emptyAckSent = true;
        this->actions.emplace_back(SendToCaller { key.service, key.caller, emptyAcknowledgement(key.messageId) });
        break;
    }
}

void RequestOwner::respond(KeyedRequest& item, CoapMessage message, TimePoint now)
{
    const RequestKey& key = item.first;
    Request& request = item.second;
    const bool isFirst = !request.answer;
    message.token = key.token;
    if (request.confirmable && !request.emptyAckSent && isFirst) {
        message.type = CoapType::Acknowledgement;
        message.messageId = key.messageId;
        this->actions.emplace_back(SendToCaller { key.service, key.caller, message });
    } else {
        message.type = request.confirmable ? CoapType::Confirmable : CoapType::NonConfirmable;
        message.messageId = this->nextMessageId++;
        if (request.confirmable)
            this->sendConfirmable(key, message, 0, now);
        else
            this->actions.emplace_back(SendToCaller { key.service, key.caller, message });
    }
    request.answer = std::move(message);
}

void RequestOwner::refuse(
    KeyedRequest& item, RequestOutcome outcome, RefusalReason reason, Seconds retryAfter, TimePoint now)
{
    // Without the lease, a copy of an idempotent request may be running at another owner, so "not run" could be false.
    if (outcome == RequestOutcome::NotRun && item.second.idempotent && !this->holdsLease(now))
        outcome = RequestOutcome::Unknown;
    this->respond(item, refusalMessage(outcome, reason, retryAfter), now);
    const Event event = outcome == RequestOutcome::NotRun ? Event::RequestRefused : Event::RequestOutcomeUnknown;
    this->actions.emplace_back(LogOwnerEvent { event, item.first.service, item.first.caller, reason });
    this->endRequest(item, outcome, reason, now);
}

/** Without a record, a later copy could run, so the answer is "unknown" instead of "not run". */
void RequestOwner::refuseUnrecorded(const RequestReceived& event, RefusalReason reason)
{
    CoapMessage message = refusalMessage(RequestOutcome::Unknown, reason, Seconds { 1 });
    const bool isConfirmable = event.message.type == CoapType::Confirmable;
    message.type = isConfirmable ? CoapType::Acknowledgement : CoapType::NonConfirmable;
    message.messageId = isConfirmable ? event.message.messageId : this->nextMessageId++;
    message.token = event.message.token;
    this->actions.emplace_back(SendToCaller { event.service, event.caller, std::move(message) });
    this->actions.emplace_back(LogOwnerEvent { Event::RequestOutcomeUnknown, event.service, event.caller, reason });
}

void RequestOwner::prepareObservation(const RequestKey& key, Progress& progress, TimePoint now)
{
    const auto observe = progress.message.uintOption(coap::observe);
    if (!observe || progress.message.code != coap::get)
        return;
    if (KeyedRequest* earlier = this->observationOf(key.service, key.caller, key.token))
        this->cancel(*earlier, now);
    progress.observe = *observe == 0;
    if (!progress.observe)
        setObserve(progress.message, std::nullopt);
}

RequestOwner::KeyedRequest* RequestOwner::observationOf(ServiceId service, const Endpoint& caller, const Bytes& token)
{
    for (const auto& [number, item] : this->activeRequests) {
        if (item->second.progress->observe && item->first.service == service && item->first.caller == caller
            && item->first.token == token)
            return item;
    }
    return nullptr;
}

void RequestOwner::forwardNotification(KeyedRequest& item, const CoapMessage& message, TimePoint now)
{
    Progress& progress = *item.second.progress;
    const auto value = message.uintOption(coap::observe);
    const auto sequence = static_cast<std::uint32_t>(value.value_or(0) & observeMask);
    if (value && progress.newestNotification && !isNewerObserveValue(sequence, *progress.newestNotification))
        return;
    progress.newestNotification = sequence;
    const bool isFirst = progress.observeSequence == 0;
    progress.observeSequence = nextObserveValue(progress.observeSequence, 1);
    CoapMessage forwarded = message;
    // Each attempt has its own Observe values, so the owner numbers the notifications across all homes.
    setObserve(forwarded, value ? std::optional { progress.observeSequence } : std::nullopt);
    item.second.stage = Stage::Observing;
    if (isFirst) {
        progress.lastConfirmableAt = now;
        this->respond(item, std::move(forwarded), now);
        this->actions.emplace_back(RequestEnded { item.second.id, RequestOutcome::Answered, RefusalReason::None });
        if (value)
            this->sendObservation(item, now);
    } else {
        forwarded.token = item.first.token;
        forwarded.messageId = this->nextMessageId++;
        progress.notificationMessageId = forwarded.messageId;
        const bool isConfirmable = now - progress.lastConfirmableAt >= this->settings.confirmableInterval;
        forwarded.type = isConfirmable ? CoapType::Confirmable : CoapType::NonConfirmable;
        if (isConfirmable) {
            progress.lastConfirmableAt = now;
            this->sendConfirmable(item.first, forwarded, item.second.id.number, now);
        } else
            this->actions.emplace_back(SendToCaller { item.first.service, item.first.caller, forwarded });
    }
    if (!value)
        this->endRequest(item, RequestOutcome::Answered, RefusalReason::None, now);
}

void RequestOwner::sendConfirmable(
    const RequestKey& key, const CoapMessage& message, std::uint64_t observation, TimePoint now)
{
    if (this->unacknowledged.size() >= this->settings.maxUnacknowledged)
        this->unacknowledged.pop_front();
    this->unacknowledged.push_back(
        UnacknowledgedMessage { key.service, key.caller, message, now + this->settings.ackTimeout, 1, observation });
    this->actions.emplace_back(SendToCaller { key.service, key.caller, message });
}

void RequestOwner::retransmitUnacknowledged(TimePoint now)
{
    std::vector<std::uint64_t> unresponsive;
    for (UnacknowledgedMessage& sent : this->unacknowledged) {
        if (now < sent.nextTransmission)
            continue;
        if (sent.transmissions > this->settings.maxRetransmit) {
            if (sent.observation != 0)
                unresponsive.push_back(sent.observation);
            sent.transmissions = 0;
            continue;
        }
        sent.nextTransmission = now + this->settings.ackTimeout * (1 << sent.transmissions);
        ++sent.transmissions;
        this->actions.emplace_back(SendToCaller { sent.service, sent.caller, sent.message });
    }
    std::erase_if(this->unacknowledged, [](const UnacknowledgedMessage& sent) { return sent.transmissions == 0; });
    for (const std::uint64_t number : unresponsive) {
        const auto found = this->activeRequests.find(number);
        if (found != this->activeRequests.end())
            this->cancel(*found->second, now);
    }
}

void RequestOwner::on(const CallerEmptyMessage& event, TimePoint now)
{
    const CoapMessage& message = event.message;
    if (message.code != coap::empty || message.type < CoapType::Acknowledgement)
        return;
    std::erase_if(this->unacknowledged, [&](const UnacknowledgedMessage& sent) {
        return sent.service == event.service && sent.caller == event.caller
            && sent.message.messageId == message.messageId;
    });
    if (message.type != CoapType::Reset)
        return;
    for (const auto& [number, item] : this->activeRequests) {
        const RequestKey& key = item->first;
        const Stage stage = item->second.stage;
        const std::uint16_t cancelled
            = stage == Stage::Observing ? item->second.progress->notificationMessageId : key.messageId;
        if (key.service != event.service || key.caller != event.caller || cancelled != message.messageId)
            continue;
        this->cancel(*item, now);
        return;
    }
}

void RequestOwner::cancel(KeyedRequest& item, TimePoint now)
{
    this->actions.emplace_back(
        LogOwnerEvent { Event::RequestCancelled, item.first.service, item.first.caller, RefusalReason::Cancelled });
    this->sendCancel(item);
    this->endRequest(item, RequestOutcome::Cancelled, RefusalReason::Cancelled, now);
}

} // namespace zinnia::request
