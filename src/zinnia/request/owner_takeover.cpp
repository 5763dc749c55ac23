#include "zinnia/request/owner.hpp"

namespace zinnia::request {

/**
 * After a planned change the previous owner still runs and knows what it has taken. Its record also stops a copy that
 * reaches it late.
 */
bool RequestOwner::askPreviousOwner(Item& item, TimePoint now)
{
    const auto previous = this->previousOwners.find({ item.first.service, item.second.bucket });
    if (previous == this->previousOwners.end())
        return false;
    Progress& progress = *item.second.progress;
    item.second.stage = Stage::Asking;
    progress.previousOwner = previous->second;
    progress.nextSend = now + this->settings.recordRetryInterval;
    this->sendRecord(item, previous->second, false, this->maxCopyAge(progress, now));
    return true;
}

void RequestOwner::answeredByPreviousOwner(Item& item, const RecordRequestAck& ack, TimePoint now)
{
    if (ack.reason == RefusalReason::AlreadyRecorded) {
        // The previous owner answers the other copy. Whatever this entry said could contradict it.
        this->end(item, RequestOutcome::Unknown, ack.reason, now);
        if (!ack.copyInProgress)
            return;
        // If the previous owner dies before that, the caller is told by this entry, as by a deputy.
        item.second.id = *ack.copyInProgress;
        item.second.stage = Stage::RecordOpen;
        this->closeAbandonedRecords(now);
    } else if (ack.reason != RefusalReason::None) {
        this->refuse(item, RequestOutcome::Unknown, RefusalReason::OutcomeUnknown, Seconds { 0 }, now);
    } else {
        item.second.progress->mayHaveRun = false;
        this->beginFresh(item, now);
    }
}

/** As the previous owner: tells the new one whether a copy of the request has been here, and records the request. */
void RequestOwner::answerSuccessor(const RecordReceived& event, TimePoint now)
{
    const RecordRequest& record = event.record;
    // The new owner has seen the change first and asks again.
    if (this->owned.contains({ record.key.service, record.bucket }))
        return;
    RecordRequestAck ack { record.id, RefusalReason::None, {} };
    const auto former = this->formerlyOwned.find({ record.key.service, record.bucket });
    if (const auto known = this->requests.find(record.key); known != this->requests.end()) {
        Request& copy = known->second;
        if (copy.id != record.id) {
            ack.reason = RefusalReason::AlreadyRecorded;
            this->repeat(*known, now);
            if (copy.stage == Stage::Dispatched || copy.stage == Stage::Recording) {
                ack.copyInProgress = copy.id;
                copy.progress->recordHolders.insert(event.from);
            } else if (copy.stage == Stage::RecordOpen)
                ack.copyInProgress = copy.id;
        }
    } else if (former == this->formerlyOwned.end() || now - record.maxCopyAge < former->second.since) {
        ack.reason = RefusalReason::OutcomeUnknown;
    } else if (!this->addRecord(record, now))
        ack.reason = RefusalReason::RequestTableFull;
    this->actions.emplace_back(SendToPeer { event.from, ack });
}

bool RequestOwner::addRecord(const RecordRequest& record, TimePoint now)
{
    if (!this->makeRoom(now))
        return false;
    Item& item = *this->requests.try_emplace(record.key).first;
    item.second.id = record.id;
    item.second.bucket = record.bucket;
    item.second.confirmable = record.confirmable;
    item.second.stage = record.finished ? Stage::RecordClosed : Stage::RecordOpen;
    this->keep(item, now);
    return true;
}

} // namespace zinnia::request
