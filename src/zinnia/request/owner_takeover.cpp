#include "zinnia/request/owner.hpp"

namespace zinnia::request {

/**
 * After a planned change the previous owner still runs and knows which requests it has received. Recording the request
 * there also prevents it from running a late copy.
 */
bool RequestOwner::queryPreviousOwner(KeyedRequest& item, TimePoint now)
{
    const auto previous = this->previousOwners.find({ item.first.service, item.second.bucket });
    if (previous == this->previousOwners.end())
        return false;
    Progress& progress = *item.second.progress;
    item.second.stage = Stage::QueryingPreviousOwner;
    progress.previousOwner = previous->second;
    progress.nextSend = now + this->settings.recordRetryInterval;
    this->sendRecord(item, previous->second, false, this->maxCopyAge(progress, now));
    return true;
}

void RequestOwner::handlePreviousOwnerAck(KeyedRequest& item, const RecordRequestAck& ack, TimePoint now)
{
    if (ack.reason == RefusalReason::AlreadyRecorded) {
        // The previous owner answers the other copy. Any answer from this entry could contradict that one.
        this->endRequest(item, RequestOutcome::Unknown, ack.reason, now);
        if (!ack.copyInProgress)
            return;
        // If the previous owner fails before that, this entry answers the caller, as a deputy would.
        item.second.id = *ack.copyInProgress;
        item.second.stage = Stage::RecordOpen;
        this->closeOrphanedRecords(now);
    } else if (ack.reason != RefusalReason::None) {
        this->refuse(item, RequestOutcome::Unknown, RefusalReason::OutcomeUnknown, Seconds { 0 }, now);
    } else {
        item.second.progress->mayHaveRun = false;
        this->admitFirstCopy(item, now);
    }
}

/** As the previous owner: reports whether a copy of the request has arrived here, and records the request if not. */
void RequestOwner::answerNewOwner(const RecordReceived& event, TimePoint now)
{
    const RecordRequest& record = event.record;
    // The new owner learned of the change first and will ask again.
    if (this->ownedBuckets.contains({ record.key.service, record.bucket }))
        return;
    RecordRequestAck ack { record.id, RefusalReason::None, {} };
    const auto former = this->formerOwnerships.find({ record.key.service, record.bucket });
    if (const auto known = this->requests.find(record.key); known != this->requests.end()) {
        Request& copy = known->second;
        if (copy.id != record.id) {
            ack.reason = RefusalReason::AlreadyRecorded;
            this->handleRetransmission(*known, now);
            if (copy.stage == Stage::Dispatched || copy.stage == Stage::Recording) {
                ack.copyInProgress = copy.id;
                copy.progress->recordReceivers.insert(event.from);
            } else if (copy.stage == Stage::RecordOpen)
                ack.copyInProgress = copy.id;
        }
    } else if (former == this->formerOwnerships.end() || now - record.maxCopyAge < former->second.since) {
        ack.reason = RefusalReason::OutcomeUnknown;
    } else if (!this->addRecord(record, now))
        ack.reason = RefusalReason::RequestTableFull;
    this->actions.emplace_back(SendToPeer { event.from, ack });
}

bool RequestOwner::addRecord(const RecordRequest& record, TimePoint now)
{
    if (!this->ensureCapacity(now))
        return false;
    KeyedRequest& item = *this->requests.try_emplace(record.key).first;
    item.second.id = record.id;
    item.second.bucket = record.bucket;
    item.second.confirmable = record.confirmable;
    item.second.stage = record.finished ? Stage::RecordClosed : Stage::RecordOpen;
    this->retainUntilExpiry(item, now);
    return true;
}

} // namespace zinnia::request
