#include "zinnia/request/observe_value.hpp"
#include "zinnia/request/owner.hpp"

#include <algorithm>

namespace zinnia::request {

/** Repeated until the receiver has acknowledged it; a deputy hears of it again now and then. */
void RequestOwner::sendObservation(Item& item, TimePoint now)
{
    Request& request = item.second;
    Progress& progress = *request.progress;
    progress.nextObservationRecord = now + this->settings.recordRetryInterval;
    const std::optional<InstanceId> receiver = progress.newOwner ? progress.newOwner : progress.deputy;
    if (!receiver)
        return;
    ObservationRecord record { request.id, item.first, request.bucket, progress.message, progress.candidates,
        progress.observeSequence, progress.newOwner.has_value(), false };
    const auto current = std::find(record.candidates.begin(), record.candidates.end(), progress.upstream);
    std::rotate(record.candidates.begin(), current, record.candidates.end());
    this->actions.emplace_back(SendToPeer { *receiver, std::move(record) });
}

void RequestOwner::on(const ObservationRecordReceived& event, TimePoint now)
{
    const ObservationRecord& record = event.record;
    if (record.ended) {
        const auto kept = this->keptObservations.find(record.key);
        if (kept != this->keptObservations.end() && kept->second.record.id == record.id)
            this->keptObservations.erase(kept);
        return;
    }
    if (record.handedOver) {
        // The previous owner has seen the change first and sends it again.
        if (!this->owned.contains({ record.key.service, record.bucket }))
            return;
        this->resume(record, now);
    } else {
        if (this->keptObservations.size() >= this->settings.maxRequests && !this->keptObservations.contains(record.key))
            return;
        const TimePoint expires = now + this->settings.observationRefreshInterval * 2;
        this->keptObservations.insert_or_assign(record.key, KeptObservation { record, expires });
    }
    this->actions.emplace_back(SendToPeer { event.from, ObservationRecordAck { record.id, record.handedOver } });
}

void RequestOwner::on(const ObservationRecordAckReceived& event, TimePoint now)
{
    const auto found = this->active.find(event.ack.id.number);
    if (found == this->active.end() || found->second->second.id != event.ack.id)
        return;
    Item& item = *found->second;
    Progress& progress = *item.second.progress;
    if (!event.ack.handedOver) {
        if (progress.deputy == event.from)
            progress.nextObservationRecord = now + this->settings.observationRefreshInterval;
        return;
    }
    if (progress.newOwner != event.from)
        return;
    this->actions.emplace_back(
        LogOwnerEvent { Event::ObservationMoved, item.first.service, item.first.caller, RefusalReason::None });
    this->sendCancel(item);
    progress.deputy.reset(); // It may be the new owner.
    this->end(item, RequestOutcome::Answered, RefusalReason::None, now);
}

void RequestOwner::on(const DeputiesChanged& event, TimePoint now)
{
    for (const auto& [bucket, deputy] : event.deputies)
        this->deputies[{ event.service, bucket }] = deputy;
    for (const auto& [number, item] : this->active) {
        Progress& progress = *item->second.progress;
        if (!progress.observe || item->first.service != event.service || !event.deputies.contains(item->second.bucket))
            continue;
        progress.deputy = this->deputyOf({ event.service, item->second.bucket });
        progress.nextObservationRecord = now;
    }
}

std::optional<InstanceId> RequestOwner::deputyOf(const OwnedBucket& bucket) const
{
    const auto found = this->deputies.find(bucket);
    return found == this->deputies.end() || found->second == InstanceId {} ? std::nullopt
                                                                           : std::optional { found->second };
}

/** Notifications still pass through here until the new owner has registered at the upstream itself. */
void RequestOwner::handOver(const OwnershipLost& event, TimePoint now)
{
    for (const auto& [number, item] : this->active) {
        const auto owner = event.newOwners.find(item->second.bucket);
        if (item->second.progress->observeSequence == 0 || item->first.service != event.service
            || owner == event.newOwners.end())
            continue;
        item->second.progress->newOwner = owner->second;
        this->sendObservation(*item, now);
    }
}

bool RequestOwner::isFromLostProcess(const RequestId& id) const
{
    const auto lost = this->lostPeers.find(id.owner);
    return lost != this->lostPeers.end() && id.epoch <= lost->second;
}

void RequestOwner::resumeAbandoned(TimePoint now)
{
    std::vector<ObservationRecord> abandoned;
    for (const auto& [key, kept] : this->keptObservations) {
        if (this->isFromLostProcess(kept.record.id) && this->owned.contains({ key.service, kept.record.bucket }))
            abandoned.push_back(kept.record);
    }
    std::sort(abandoned.begin(), abandoned.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
    for (const ObservationRecord& record : abandoned)
        this->resume(record, now);
}

/** The caller's count goes on, so that it takes the next notification as newer than all before. */
void RequestOwner::resume(const ObservationRecord& record, TimePoint now)
{
    this->keptObservations.erase(record.key);
    // The caller may have registered again here, or the record may have come twice.
    if (this->observationOf(record.key.service, record.key.caller, record.key.token))
        return;
    if (const auto known = this->requests.find(record.key); known != this->requests.end()) {
        if (known->second.progress)
            return;
        // This entry has handed the observation over before, and gets it back.
        this->dropAnswer(known->second);
        this->requests.erase(known);
    }
    if (!this->makeRoom(now))
        return;
    Item& item = this->addOwn(record.key, record.bucket, record.message, now);
    Request& request = item.second;
    request.idempotent = true;
    request.emptyAcknowledged = true; // The caller has had its first answer from the earlier owner.
    Progress& progress = *request.progress;
    progress.candidates = record.candidates;
    progress.deputy = this->deputyOf({ record.key.service, record.bucket });
    progress.observe = true;
    progress.observeSequence = nextObserveValue(record.observeSequence, this->settings.takeoverObserveStep);
    progress.confirmedAt = now;
    this->registerAgain(item, now);
}

} // namespace zinnia::request
