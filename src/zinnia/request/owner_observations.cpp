#include "zinnia/request/observe_value.hpp"
#include "zinnia/request/owner.hpp"

#include <algorithm>

namespace zinnia::request {

/** The record is resent until it is acknowledged, and after that to a deputy every `observationRefreshInterval`. */
void RequestOwner::sendObservation(KeyedRequest& item, TimePoint now)
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
        const auto found = this->deputyObservations.find(record.key);
        if (found != this->deputyObservations.end() && found->second.record.id == record.id)
            this->deputyObservations.erase(found);
        return;
    }
    if (record.handedOver) {
        // The previous owner learned of the change first and will send the record again.
        if (!this->ownedBuckets.contains({ record.key.service, record.bucket }))
            return;
        this->resumeObservation(record, now);
    } else {
        if (this->deputyObservations.size() >= this->settings.maxRequests
            && !this->deputyObservations.contains(record.key))
            return;
        const TimePoint expiresAt = now + this->settings.observationRefreshInterval * 2;
        this->deputyObservations.insert_or_assign(record.key, DeputyObservation { record, expiresAt });
    }
    this->actions.emplace_back(SendToPeer { event.from, ObservationRecordAck { record.id, record.handedOver } });
}

void RequestOwner::on(const ObservationRecordAckReceived& event, TimePoint now)
{
    const auto found = this->activeRequests.find(event.ack.id.number);
    if (found == this->activeRequests.end() || found->second->second.id != event.ack.id)
        return;
    KeyedRequest& item = *found->second;
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
    progress.deputy.reset(); // The deputy may be the new owner, which must not receive the end of the observation.
    this->endRequest(item, RequestOutcome::Answered, RefusalReason::None, now);
}

void RequestOwner::on(const DeputiesChanged& event, TimePoint now)
{
    for (const auto& [bucket, deputy] : event.deputies)
        this->deputies[{ event.service, bucket }] = deputy;
    for (const auto& [number, item] : this->activeRequests) {
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

/** This entry keeps forwarding notifications until the new owner has resumed the observation and acknowledged it. */
void RequestOwner::handOverObservations(const OwnershipLost& event, TimePoint now)
{
    for (const auto& [number, item] : this->activeRequests) {
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

void RequestOwner::resumeOrphanedObservations(TimePoint now)
{
    std::vector<ObservationRecord> orphaned;
    for (const auto& [key, observation] : this->deputyObservations) {
        if (this->isFromLostProcess(observation.record.id)
            && this->ownedBuckets.contains({ key.service, observation.record.bucket }))
            orphaned.push_back(observation.record);
    }
    std::sort(orphaned.begin(), orphaned.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
    for (const ObservationRecord& record : orphaned)
        this->resumeObservation(record, now);
}

/** The Observe values continue, so that the caller takes the next notification as newer than all earlier ones. */
void RequestOwner::resumeObservation(const ObservationRecord& record, TimePoint now)
{
    this->deputyObservations.erase(record.key);
    // The caller may have registered again here, or the record may be a duplicate.
    if (this->observationOf(record.key.service, record.key.caller, record.key.token))
        return;
    if (const auto known = this->requests.find(record.key); known != this->requests.end()) {
        if (known->second.progress)
            return;
        // This entry handed the observation over earlier and now gets it back.
        this->dropCachedAnswer(known->second);
        this->requests.erase(known);
    }
    if (!this->ensureCapacity(now))
        return;
    KeyedRequest& item = this->addOwnedRequest(record.key, record.bucket, record.message, now);
    Request& request = item.second;
    request.idempotent = true;
    request.emptyAckSent = true; // The caller got its first response from the previous owner.
    Progress& progress = *request.progress;
    progress.candidates = record.candidates;
    progress.deputy = this->deputyOf({ record.key.service, record.bucket });
    progress.observe = true;
    progress.observeSequence = nextObserveValue(record.observeSequence, this->settings.takeoverObserveStep);
    progress.lastConfirmableAt = now;
    this->reregisterObservation(item, now);
}

} // namespace zinnia::request
