#include "zinnia/core/hash.hpp"
#include "zinnia/upstream/registry.hpp"

#include <algorithm>

namespace zinnia::upstream {

namespace {

    Milliseconds timeRemaining(TimePoint end, TimePoint now)
    {
        return std::max(Milliseconds { 0 }, std::chrono::duration_cast<Milliseconds>(end - now));
    }

    // The low bits hold the id of the home. If two entries act as the home and change the health at the same time,
    // their versions differ, and every entry keeps the same one of them.
    std::uint64_t nextVersion(std::uint64_t version, InstanceId home)
    {
        constexpr unsigned homeBits = 16;
        return (((version >> homeBits) + 1) << homeBits) | (home.value & 0xFFFFU);
    }

} // namespace

UpstreamRegistry::Entry* UpstreamRegistry::findOrCreate(
    UpstreamId id, const UpstreamRecord& record, TimePoint now, RefusalReason& reason)
{
    const auto found = this->entries.find(id);
    const auto registration = this->addresses.find(record.address);
    const bool isRegisteredUnderId = registration != this->addresses.end() && registration->second.upstream == id;
    if (found != this->entries.end() && (isRegisteredUnderId || !this->settings.checkIncarnations))
        return &found->second;
    if (this->settings.checkIncarnations && registration != this->addresses.end()
        && record.incarnation <= registration->second.incarnation) {
        reason = RefusalReason::StaleIncarnation;
        return nullptr;
    }
    if (found == this->entries.end() && this->entries.size() >= this->settings.maxRegistrations) {
        reason = RefusalReason::RegistrationTableFull;
        return nullptr;
    }
    Entry& entry = this->entries[id];
    entry.record = record;
    entry.record.healthVersion = 0;
    entry.leaseEnd = now;
    entry.drainedByOperator = this->isDrainedByOperator(record);
    if (registration != this->addresses.end()) {
        const auto earlier = this->entries.find(registration->second.upstream);
        if (earlier != this->entries.end() && earlier->second.record.service != record.service) {
            entry.quarantineEnd = now + this->settings.quarantine;
            this->log(Event::AddressQuarantined, entry);
        }
        this->markReplaced(registration->second.upstream, now);
    }
    this->addresses[record.address] = AddressRegistration { id, record.incarnation };
    if (this->homes.contains(id))
        entry.limiter.emplace(this->settings.coldStart, now, record.rampStep);
    this->log(Event::RegistrationAccepted, entry);
    return &entry;
}

RefusalReason UpstreamRegistry::apply(const UpstreamRecord& record, bool isDirect, TimePoint now)
{
    const UpstreamId id = upstreamIdOf(record.service, record.address, record.incarnation);
    RefusalReason reason = RefusalReason::None;
    const bool isNew = !this->entries.contains(id);
    Entry* entry = this->findOrCreate(id, record, now, reason);
    if (!entry)
        return reason;
    UpstreamRecord& stored = entry->record;
    if (stored.removed && !isNew)
        return isDirect ? RefusalReason::StaleIncarnation : RefusalReason::None;
    bool changed = isNew;
    if (record.removed) {
        stored.removed = true;
        entry->removeAt = now + this->settings.retention;
        this->log(Event::RegistrationRemoved, *entry);
        changed = true;
    }
    // Only a later sequence number ends a drain: without sequence numbers a late message cannot be distinguished from
    // the end of the drain, so the drain is final.
    if (stored.draining && !record.draining && record.sequence > stored.sequence) {
        stored.draining = false;
        changed = true;
    }
    const bool isNewestOrUnnumbered = record.sequence == 0 || record.sequence >= stored.sequence;
    if (record.draining && isNewestOrUnnumbered && (!stored.draining || isNew)) {
        stored.draining = true;
        this->log(Event::UpstreamDraining, *entry);
        changed = true;
    }
    if (record.sequence >= stored.sequence) {
        changed = changed || record.slots != stored.slots || record.connections != stored.connections;
        stored.sequence = record.sequence;
        stored.slots = record.slots;
        stored.connections = record.connections;
        stored.load = record.load;
        stored.lease = record.lease;
        entry->leaseEnd = std::max(entry->leaseEnd, now + record.leaseRemaining);
    }
    entry->quarantineEnd = std::max(entry->quarantineEnd, now + record.quarantineRemaining);
    if (entry->expired && entry->leaseEnd > now && !stored.removed) {
        entry->expired = false;
        changed = true;
        if (isDirect)
            this->setHealth(*entry, 0, false, now);
    }
    if (!isDirect) {
        // The peer has sent this lease to every entry of the zone.
        entry->sharedLeaseEnd = std::max(entry->sharedLeaseEnd, now + record.leaseRemaining);
        if (record.healthVersion > stored.healthVersion) {
            stored.healthVersion = record.healthVersion;
            stored.rampStep = record.rampStep;
            stored.unresponsive = record.unresponsive;
            if (entry->limiter)
                entry->limiter.emplace(this->settings.coldStart, now, stored.rampStep);
        }
        this->publish(*entry, now);
        return RefusalReason::None;
    }
    this->processRenewal(*entry, now);
    if (changed)
        this->markChanged(*entry, now);
    this->publish(*entry, now);
    return RefusalReason::None;
}

/**
 * A renewal from the upstream itself: an unresponsive upstream starts again at the first step of the cold start, and
 * the peers get the new lease end once it is a third of the lease later than the one they have.
 */
void UpstreamRegistry::processRenewal(Entry& entry, TimePoint now)
{
    if (entry.record.unresponsive)
        this->setHealth(entry, 0, false, now);
    // Compares with the lease end that the peers have, not with the time of the last update: that update may have
    // contained an older lease end.
    if (entry.leaseEnd - entry.sharedLeaseEnd >= entry.record.lease / 3)
        this->queueUpdate(entry);
}

void UpstreamRegistry::markReplaced(UpstreamId id, TimePoint now)
{
    const auto found = this->entries.find(id);
    if (found == this->entries.end() || found->second.replaced)
        return;
    Entry& entry = found->second;
    entry.replaced = true;
    entry.limiter.reset();
    entry.removeAt = now + this->settings.retention;
    this->publish(entry, now);
}

void UpstreamRegistry::advanceRamp(Entry& entry, TimePoint now)
{
    if (entry.published.state == UpstreamState::Quarantined || entry.record.unresponsive) {
        entry.limiter->restartRamp(now);
        return;
    }
    if (!entry.limiter->advance(now))
        return;
    this->setHealth(entry, entry.limiter->step(), false, now);
    if (entry.limiter->isReady())
        this->log(Event::UpstreamReady, entry);
}

void UpstreamRegistry::setHealth(Entry& entry, std::uint32_t step, bool unresponsive, TimePoint now)
{
    UpstreamRecord& record = entry.record;
    if (record.rampStep == step && record.unresponsive == unresponsive)
        return;
    if (step < record.rampStep)
        this->log(Event::UpstreamTurnedCold, entry);
    if (unresponsive && !record.unresponsive)
        this->log(Event::UpstreamUnresponsive, entry);
    record.rampStep = step;
    record.unresponsive = unresponsive;
    record.healthVersion = nextVersion(record.healthVersion, this->self);
    this->markChanged(entry, now);
    this->publish(entry, now);
}

void UpstreamRegistry::markChanged(Entry& entry, TimePoint now)
{
    entry.changedAt = now;
    entry.resendCount = 0;
    this->queueUpdate(entry);
}

void UpstreamRegistry::queueUpdate(Entry& entry)
{
    entry.sharedLeaseEnd = entry.leaseEnd;
    const UpstreamRecord& record = entry.record;
    this->queuedUpdates.push_back(upstreamIdOf(record.service, record.address, record.incarnation));
}

void UpstreamRegistry::sendQueuedUpdates(TimePoint now)
{
    std::sort(this->queuedUpdates.begin(), this->queuedUpdates.end());
    this->queuedUpdates.erase(
        std::unique(this->queuedUpdates.begin(), this->queuedUpdates.end()), this->queuedUpdates.end());
    std::vector<UpstreamRecord> records;
    records.reserve(this->queuedUpdates.size());
    for (const UpstreamId id : this->queuedUpdates) {
        const auto found = this->entries.find(id);
        if (found != this->entries.end())
            records.push_back(recordForPeers(found->second, now));
    }
    this->queuedUpdates.clear();
    this->sendAll(records, std::nullopt);
}

void UpstreamRegistry::sendAll(const std::vector<UpstreamRecord>& records, std::optional<InstanceId> peer)
{
    for (std::size_t first = 0; first < records.size(); first += this->settings.recordsPerUpdate) {
        const std::size_t last = std::min(records.size(), first + this->settings.recordsPerUpdate);
        UpstreamUpdate update { this->zone, {} };
        update.records.assign(
            records.begin() + static_cast<std::ptrdiff_t>(first), records.begin() + static_cast<std::ptrdiff_t>(last));
        this->actions.emplace_back(SendUpdate { peer, std::move(update) });
    }
}

void UpstreamRegistry::publish(Entry& entry, TimePoint now)
{
    UpstreamInfo info = this->infoOf(entry, now);
    if (info == entry.published)
        return;
    entry.published = std::move(info);
    this->changes.changed.push_back(entry.published);
}

void UpstreamRegistry::log(Event event, const Entry& entry, RefusalReason reason)
{
    const UpstreamRecord& record = entry.record;
    this->actions.emplace_back(LogUpstream {
        event, upstreamIdOf(record.service, record.address, record.incarnation), record.address, reason });
}

bool UpstreamRegistry::isDrainedByOperator(const UpstreamRecord& record) const
{
    const auto& drained = this->configuration->drained;
    return std::any_of(drained.begin(), drained.end(), [&](const config::DrainedUpstream& upstream) {
        return upstream.service == record.service && upstream.name == record.name;
    });
}

bool UpstreamRegistry::hasService(ServiceId service) const
{
    const auto& services = this->configuration->services;
    return std::any_of(
        services.begin(), services.end(), [&](const config::Service& candidate) { return candidate.id == service; });
}

UpstreamRecord UpstreamRegistry::recordForPeers(const Entry& entry, TimePoint now)
{
    UpstreamRecord record = entry.record;
    record.leaseRemaining = timeRemaining(entry.leaseEnd, now);
    record.quarantineRemaining = timeRemaining(entry.quarantineEnd, now);
    return record;
}

UpstreamInfo UpstreamRegistry::infoOf(const Entry& entry, TimePoint now) const
{
    const UpstreamRecord& record = entry.record;
    UpstreamInfo info;
    info.id = upstreamIdOf(record.service, record.address, record.incarnation);
    info.service = record.service;
    info.zone = this->zone;
    info.name = record.name;
    info.address = record.address;
    info.incarnation = record.incarnation;
    info.slots = record.slots;
    info.connections = record.connections;
    info.weight = 0;
    if (record.removed || entry.replaced || entry.expired || record.unresponsive)
        info.state = UpstreamState::Lost;
    else if (now < entry.quarantineEnd)
        info.state = UpstreamState::Quarantined;
    else if (record.draining || entry.drainedByOperator)
        info.state = UpstreamState::Draining;
    else {
        info.state = stateAt(this->settings.coldStart, record.rampStep);
        info.weight = weightAt(this->settings.coldStart, record.rampStep);
    }
    return info;
}

} // namespace zinnia::upstream
