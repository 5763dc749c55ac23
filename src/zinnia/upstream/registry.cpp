#include "zinnia/upstream/registry.hpp"

#include "zinnia/core/hash.hpp"

#include <algorithm>

namespace zinnia::upstream {

namespace {

    UpstreamRecord recordOf(const Registration& registration)
    {
        UpstreamRecord record;
        record.service = registration.service;
        record.name = registration.name;
        record.address = registration.address;
        record.incarnation = registration.incarnation;
        record.lease = registration.lease;
        record.leaseRemaining = registration.lease;
        record.sequence = registration.sequence;
        record.slots = registration.slots;
        record.connections = registration.connections;
        record.load = registration.load;
        record.draining = registration.draining;
        return record;
    }

} // namespace

UpstreamRegistry::UpstreamRegistry(const RegistrySettings& settings, InstanceId self, ZoneId zone)
    : settings { settings }
    , self { self }
    , zone { zone }
    , configuration { std::make_shared<const config::Configuration>() }
{
}

RegistryActions UpstreamRegistry::handle(const RegistryEvent& event, TimePoint now)
{
    this->actions.clear();
    this->changes = {};
    std::visit([&](const auto& alternative) { this->on(alternative, now); }, event);
    this->sendQueuedUpdates(now);
    if (!this->changes.changed.empty() || !this->changes.removed.empty())
        this->actions.emplace_back(std::move(this->changes));
    return std::move(this->actions);
}

std::vector<UpstreamInfo> UpstreamRegistry::upstreams() const
{
    std::vector<UpstreamInfo> all;
    all.reserve(this->entries.size());
    for (const auto& [id, entry] : this->entries)
        all.push_back(entry.published);
    return all;
}

std::uint64_t UpstreamRegistry::refusals(RefusalReason reason) const noexcept
{
    const auto found = this->refusalCounts.find(reason);
    return found == this->refusalCounts.end() ? 0 : found->second;
}

void UpstreamRegistry::on(const ConfigurationAdopted& event, TimePoint now)
{
    this->configuration = event.configuration;
    for (auto& [id, entry] : this->entries) {
        entry.drainedByOperator = this->isDrainedByOperator(entry.record);
        if (!this->hasService(entry.record.service) && !entry.replaced)
            this->markReplaced(id, now);
        this->publish(entry, now);
    }
}

void UpstreamRegistry::on(const RegistrationReceived& event, TimePoint now)
{
    const auto parsed = parseDirectoryRequest(event.message, event.source, *this->configuration, this->zone);
    RefusalReason reason = RefusalReason::None;
    CoapMessage answer;
    if (!parsed) {
        reason = parsed.error();
    } else if (parsed.value().kind == DirectoryRequest::Kind::Register) {
        const UpstreamRecord record = recordOf(parsed.value().registration);
        reason = this->apply(record, true, now);
        answer = createdAnswer(event.message, upstreamIdOf(record.service, record.address, record.incarnation));
    } else {
        const bool isRemoval = parsed.value().kind == DirectoryRequest::Kind::Remove;
        reason = this->applyRenewal(parsed.value(), now);
        answer = directoryAnswer(event.message, isRemoval ? coap::deleted : coap::changed);
    }
    if (reason != RefusalReason::None) {
        ++this->refusalCounts[reason];
        answer = directoryRefusal(event.message, reason);
        this->actions.emplace_back(LogUpstream { Event::RegistrationRefused, {}, event.source, reason });
    }
    this->actions.emplace_back(AnswerRegistration { event.source, std::move(answer) });
}

RefusalReason UpstreamRegistry::applyRenewal(const DirectoryRequest& request, TimePoint now)
{
    const auto found = this->entries.find(request.id);
    if (found == this->entries.end())
        return RefusalReason::UnknownRegistration;
    Entry& entry = found->second;
    const bool isRemoval = request.kind == DirectoryRequest::Kind::Remove;
    if (isRemoval && entry.record.removed)
        return RefusalReason::None;
    UpstreamRecord record = entry.record;
    if (request.lease)
        record.lease = *request.lease;
    record.leaseRemaining = record.lease;
    record.load = request.load.value_or(record.load);
    record.draining = record.draining || request.draining;
    record.removed = isRemoval;
    return this->apply(record, true, now);
}

void UpstreamRegistry::on(const UpdateReceived& event, TimePoint now)
{
    if (event.update.zone != this->zone) {
        ++this->refusalCounts[RefusalReason::WrongZone];
        return;
    }
    for (const auto& record : event.update.records) {
        if (record.lease.count() <= 0 || record.leaseRemaining > maxLease || record.slots == 0
            || record.quarantineRemaining > this->settings.quarantine)
            ++this->refusalCounts[RefusalReason::Malformed];
        else if (this->hasService(record.service))
            (void)this->apply(record, false, now);
    }
}

void UpstreamRegistry::on(const PeerStarted& event, TimePoint now)
{
    std::vector<UpstreamRecord> records;
    records.reserve(this->entries.size());
    for (const auto& [id, entry] : this->entries) {
        if (!entry.replaced)
            records.push_back(recordForPeers(entry, now));
    }
    this->sendAll(records, event.peer);
}

void UpstreamRegistry::on(const HomesAssigned& event, TimePoint now)
{
    this->homes = { event.upstreams.begin(), event.upstreams.end() };
    for (auto& [id, entry] : this->entries) {
        if (!this->homes.contains(id))
            entry.limiter.reset();
        else if (!entry.limiter)
            entry.limiter.emplace(this->settings.coldStart, now, entry.record.rampStep);
    }
}

void UpstreamRegistry::on(const HealthSignalReceived& event, TimePoint now)
{
    const auto found = this->entries.find(event.upstream);
    if (found == this->entries.end() || !this->homes.contains(event.upstream))
        return;
    Entry& entry = found->second;
    if (!entry.limiter)
        entry.limiter.emplace(this->settings.coldStart, now, entry.record.rampStep);
    switch (event.signal) {
    case HealthSignal::TurnedCold:
        entry.limiter->restartRamp(now);
        this->setHealth(entry, entry.limiter->step(), entry.record.unresponsive, now);
        break;
    case HealthSignal::Refused:
        entry.limiter->recordRefusal(now);
        break;
    case HealthSignal::TimedOut:
        this->setHealth(entry, 0, true, now);
        break;
    case HealthSignal::Answered:
        if (entry.record.unresponsive) {
            entry.limiter->restartRamp(now);
            this->setHealth(entry, 0, false, now);
        }
        break;
    }
}

void UpstreamRegistry::on(const RegistryTick&, TimePoint now)
{
    std::vector<UpstreamId> removedIds;
    for (auto& [id, entry] : this->entries) {
        const bool ended = entry.record.removed || entry.replaced || entry.expired;
        if (ended && now >= entry.removeAt) {
            removedIds.push_back(id);
            continue;
        }
        if (!ended && now >= entry.leaseEnd) {
            entry.expired = true;
            entry.removeAt = now + this->settings.retention;
            this->log(Event::LeaseExpired, entry);
            this->publish(entry, now);
        }
        if (!ended && entry.limiter)
            this->advanceRamp(entry, now);
        if (entry.published.state == UpstreamState::Quarantined && now >= entry.quarantineEnd)
            this->publish(entry, now);
        if (entry.resendCount < this->settings.resendDelays.size()
            && now - entry.changedAt >= this->settings.resendDelays[entry.resendCount]) {
            ++entry.resendCount;
            this->queueUpdate(entry);
        }
    }
    for (const UpstreamId id : removedIds) {
        const auto found = this->entries.find(id);
        const auto registration = this->addresses.find(found->second.record.address);
        if (registration != this->addresses.end() && registration->second.upstream == id)
            this->addresses.erase(registration);
        this->changes.removed.push_back(id);
        this->entries.erase(found);
    }
}

} // namespace zinnia::upstream
