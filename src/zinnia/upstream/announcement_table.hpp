#pragma once

#include "zinnia/upstream/announcement.hpp"

#include <optional>
#include <unordered_map>
#include <vector>

namespace zinnia::upstream {

/** @brief Timeouts of the announcements in the table. */
struct AnnouncementTableSettings {
    /** An upstream that has not announced itself for this long is silent. */
    Milliseconds lease { 4000 };
    /** An upstream that is gone or silent is kept this long, so that a late announcement does not bring it back. */
    Milliseconds retention { 60000 };
    /** Maximum number of upstreams: twice those of the largest deployment that the product is meant for. */
    std::size_t capacity = 65536;
};

/** @brief An announcement and how long ago it was made. */
struct AgedAnnouncement {
    Announcement announcement;
    Milliseconds age {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.announcement, self.age);
    }
};

/** @brief An announcement to send to the other control instances as gossip, and where it was received from. */
struct GossipAnnouncement {
    AgedAnnouncement announcement;
    /** Instance 0 if the upstream announced itself here, or if this instance marked it as silent or gone. */
    InstanceId receivedFrom;
};

/**
 * @brief Effect of an announcement on the table; Renewed if only its version and time changed, TableFull if a new
 * upstream was not recorded because of `AnnouncementTableSettings::capacity`.
 */
enum class MergeResult : std::uint8_t { Changed, Renewed, Stale, TableFull };

/**
 * @brief The newest announcement of each upstream that one control instance has received.
 *
 * Announcements are merged by version, so the result does not depend on their order or on the instances that
 * forwarded them. Each change gets the next change number of this table, so that readers can request later changes.
 */
class AnnouncementTable {
public:
    explicit AnnouncementTable(const AnnouncementTableSettings& settings)
        : settings { settings }
    {
    }

    /**
     * @brief Merges an announcement that is `age` old. In a full table a new upstream replaces the one that has been
     * gone or silent for longest.
     * @param receivedFrom The control instance that sent it, 0 if the upstream announced itself here.
     */
    MergeResult merge(
        const Announcement& announcement, Milliseconds age, TimePoint now, InstanceId receivedFrom = InstanceId {});

    /**
     * @brief Records that an upstream has left.
     *
     * A departure names the upstream and not its start, and may arrive after the upstream has started again. It counts
     * at once for a start that has announced to drain, if no earlier start was known within the retention time.
     * Otherwise the upstream is draining, so that it gets no new flows, and gone once its lease ends without a further
     * announcement; an announcement shows that another start has left.
     *
     * @return Stale if the upstream is unknown or already gone, Renewed if its state has not changed.
     */
    MergeResult recordDeparture(UpstreamNumber number, TimePoint now);

    /**
     * @brief Marks upstreams whose lease has ended as silent, or as gone after a departure that was not confirmed, and
     * removes gone and silent ones after the retention.
     * @param canDetectSilence If false, no lease ends: an instance that may be partitioned cannot distinguish a silent
     * upstream from the partition.
     * @return The upstreams that became silent.
     */
    std::vector<UpstreamNumber> expire(bool canDetectSilence, TimePoint now);

    /**
     * @return Announcements received since the last call, for the other control instances. A change is returned by two
     * calls, because the datagram with the first copy may be lost.
     */
    [[nodiscard]] std::vector<GossipAnnouncement> takePendingGossip(TimePoint now);
    /** @return All announcements. */
    [[nodiscard]] std::vector<AgedAnnouncement> all(TimePoint now) const;
    /**
     * @param since Change number after which changes are wanted.
     * @param limit Maximum number of announcements to return; may be 0.
     * @param completeUpTo Receives the change number up to which the result holds every change; `since` of the next
     * call.
     * @return Announcements that changed later, the oldest change first.
     */
    [[nodiscard]] std::vector<AgedAnnouncement> changedSince(
        std::uint64_t since, std::size_t limit, std::uint64_t& completeUpTo, TimePoint now) const;
    /** @return The change number of the latest change; 0 before the first. */
    [[nodiscard]] std::uint64_t lastChange() const noexcept { return this->changeCount; }
    [[nodiscard]] const Announcement* find(UpstreamNumber number) const;
    [[nodiscard]] std::size_t size() const noexcept { return this->entries.size(); }

private:
    struct Entry {
        Announcement announcement;
        /** When it was announced, by the clock of this instance. */
        TimePoint announcedAt;
        /** End of the cold start, by the clock of this instance. */
        TimePoint coldUntil;
        /** When this start replaced an earlier one in this table; empty if none was known. */
        std::optional<TimePoint> restartedAt;
        /** Time of a departure that may be of an earlier start; empty once an announcement has followed. */
        std::optional<TimePoint> leavingSince;
        std::uint64_t changeNumber {};
        InstanceId receivedFrom;
        /** Number of calls of `takePendingGossip` that will still return it. */
        unsigned sendsRemaining {};
    };

    [[nodiscard]] static AgedAnnouncement withAge(const Entry& entry, TimePoint now);
    /** @return True if a departure can only be of the present start of the upstream. */
    [[nodiscard]] bool identifiesStart(const Entry& entry, TimePoint now) const;
    /** @brief Removes the upstream that has been gone or silent for longest. @return False if there is none. */
    bool removeOldestEnded();
    void markGone(Entry& entry, TimePoint now);
    /** @brief Sets a state that this instance has inferred. */
    void inferState(Entry& entry, AnnouncedState state);

    AnnouncementTableSettings settings;
    std::unordered_map<UpstreamNumber, Entry> entries;
    std::uint64_t changeCount {};
};

} // namespace zinnia::upstream
