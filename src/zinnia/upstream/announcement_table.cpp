#include "zinnia/upstream/announcement_table.hpp"

#include <algorithm>
#include <utility>

namespace zinnia::upstream {

namespace {

    /** Smaller differences between two ends of a cold start result from the transit time of an announcement. */
    constexpr Milliseconds coldTolerance { 300 };
    constexpr unsigned sendsPerChange = 2;

    Milliseconds millisecondsBetween(TimePoint from, TimePoint to)
    {
        return std::chrono::duration_cast<Milliseconds>(std::max(to - from, Microseconds { 0 }));
    }

    bool hasEnded(const Announcement& announcement)
    {
        return announcement.state == AnnouncedState::Gone || announcement.state == AnnouncedState::Silent;
    }

    bool hasSameContent(const Announcement& left, const Announcement& right)
    {
        return left.service == right.service && left.address == right.address && left.zone == right.zone
            && left.slots == right.slots && left.state == right.state
            && left.version.startedAt == right.version.startedAt;
    }

} // namespace

MergeResult AnnouncementTable::merge(
    const Announcement& announcement, Milliseconds age, TimePoint now, InstanceId receivedFrom)
{
    const bool isFull = this->entries.size() >= this->settings.capacity && !this->entries.contains(announcement.number);
    if (isFull && !this->removeOldestEnded())
        return MergeResult::TableFull;
    const auto [found, isNew] = this->entries.try_emplace(announcement.number);
    Entry& entry = found->second;
    if (!isNew && keepsDraining(entry.announcement, announcement))
        return MergeResult::Stale;
    if (!isNew && announcement.version <= entry.announcement.version && !infersState(entry.announcement, announcement))
        return MergeResult::Stale;
    if (!isNew && announcement.version.startedAt != entry.announcement.version.startedAt) {
        entry.restartedAt = now;
        entry.leavingSince.reset();
    }
    const TimePoint announcedAt = now - age;
    // One that was made before the departure, and took longer to arrive, says nothing about it.
    if (entry.leavingSince && announcedAt > *entry.leavingSince)
        entry.leavingSince.reset();
    const TimePoint coldUntil = announcedAt + announcement.coldRemaining;
    const bool coldChanged = coldUntil > entry.coldUntil + coldTolerance && coldUntil > now;
    const bool changed = isNew || coldChanged || !hasSameContent(entry.announcement, announcement);
    entry.announcement = announcement;
    entry.announcedAt = announcedAt;
    entry.receivedFrom = receivedFrom;
    entry.sendsRemaining = std::max(entry.sendsRemaining, changed ? sendsPerChange : 1U);
    if (changed) {
        entry.coldUntil = coldUntil;
        entry.changeNumber = ++this->changeCount;
    }
    return changed ? MergeResult::Changed : MergeResult::Renewed;
}

MergeResult AnnouncementTable::recordDeparture(UpstreamNumber number, TimePoint now)
{
    const auto found = this->entries.find(number);
    if (found == this->entries.end() || found->second.announcement.state == AnnouncedState::Gone)
        return MergeResult::Stale;
    Entry& entry = found->second;
    if (this->identifiesStart(entry, now)) {
        this->markGone(entry, now);
        return MergeResult::Changed;
    }
    entry.leavingSince = now;
    if (entry.announcement.state == AnnouncedState::Draining)
        return MergeResult::Renewed;
    this->inferState(entry, AnnouncedState::Draining);
    return MergeResult::Changed;
}

bool AnnouncementTable::identifiesStart(const Entry& entry, TimePoint now) const
{
    const bool mayBeOfEarlierStart = entry.restartedAt && now - *entry.restartedAt <= this->settings.retention;
    return entry.announcement.state == AnnouncedState::Draining && !mayBeOfEarlierStart;
}

void AnnouncementTable::markGone(Entry& entry, TimePoint now)
{
    Announcement departure = entry.announcement;
    departure.state = AnnouncedState::Gone;
    departure.version.sequence = AnnouncementVersion::departureSequence;
    (void)this->merge(departure, Milliseconds { 0 }, now);
}

void AnnouncementTable::inferState(Entry& entry, AnnouncedState state)
{
    entry.announcement.state = state;
    entry.receivedFrom = InstanceId {};
    entry.sendsRemaining = sendsPerChange;
    entry.changeNumber = ++this->changeCount;
}

bool AnnouncementTable::removeOldestEnded()
{
    auto oldest = this->entries.end();
    for (auto entry = this->entries.begin(); entry != this->entries.end(); ++entry) {
        if (hasEnded(entry->second.announcement)
            && (oldest == this->entries.end() || entry->second.announcedAt < oldest->second.announcedAt))
            oldest = entry;
    }
    if (oldest == this->entries.end())
        return false;
    this->entries.erase(oldest);
    return true;
}

std::vector<UpstreamNumber> AnnouncementTable::expire(bool canDetectSilence, TimePoint now)
{
    std::vector<UpstreamNumber> silent;
    for (auto& [number, entry] : this->entries) {
        if (!canDetectSilence)
            break;
        const bool hasLeft = entry.leavingSince && now - *entry.leavingSince >= this->settings.lease;
        const bool hasDrained = entry.announcement.state == AnnouncedState::Draining
            && now - entry.announcedAt > this->settings.retention;
        if (entry.announcement.state != AnnouncedState::Gone && (hasLeft || hasDrained)) {
            this->markGone(entry, now);
            continue;
        }
        // A draining upstream may stop its announcements; as a silent one it would get new flows if no other is left.
        if (entry.announcement.state != AnnouncedState::Ready || now - entry.announcedAt < this->settings.lease)
            continue;
        this->inferState(entry, AnnouncedState::Silent);
        silent.push_back(number);
    }
    std::erase_if(this->entries, [&](const auto& item) {
        return hasEnded(item.second.announcement) && now - item.second.announcedAt > this->settings.retention;
    });
    return silent;
}

AgedAnnouncement AnnouncementTable::withAge(const Entry& entry, TimePoint now)
{
    AgedAnnouncement result { entry.announcement, millisecondsBetween(entry.announcedAt, now) };
    // Counted from the announcement, as the reader subtracts the age.
    result.announcement.coldRemaining = millisecondsBetween(entry.announcedAt, entry.coldUntil);
    return result;
}

std::vector<GossipAnnouncement> AnnouncementTable::takePendingGossip(TimePoint now)
{
    std::vector<GossipAnnouncement> result;
    for (auto& [number, entry] : this->entries) {
        if (entry.sendsRemaining == 0)
            continue;
        --entry.sendsRemaining;
        result.push_back({ withAge(entry, now), entry.receivedFrom });
    }
    return result;
}

std::vector<AgedAnnouncement> AnnouncementTable::all(TimePoint now) const
{
    std::vector<AgedAnnouncement> result;
    result.reserve(this->entries.size());
    for (const auto& [number, entry] : this->entries)
        result.push_back(withAge(entry, now));
    return result;
}

std::vector<AgedAnnouncement> AnnouncementTable::changedSince(
    std::uint64_t since, std::size_t limit, std::uint64_t& completeUpTo, TimePoint now) const
{
    std::vector<const Entry*> changed;
    for (const auto& [number, entry] : this->entries) {
        if (entry.changeNumber > since)
            changed.push_back(&entry);
    }
    std::sort(changed.begin(), changed.end(),
        [](const Entry* a, const Entry* b) { return a->changeNumber < b->changeNumber; });
    if (changed.size() <= limit)
        completeUpTo = this->changeCount;
    else
        completeUpTo = limit == 0 ? since : changed[limit - 1]->changeNumber;
    if (changed.size() > limit)
        changed.resize(limit);
    std::vector<AgedAnnouncement> result;
    result.reserve(changed.size());
    for (const Entry* entry : changed)
        result.push_back(withAge(*entry, now));
    return result;
}

const Announcement* AnnouncementTable::find(UpstreamNumber number) const
{
    const auto found = this->entries.find(number);
    return found == this->entries.end() ? nullptr : &found->second.announcement;
}

} // namespace zinnia::upstream
