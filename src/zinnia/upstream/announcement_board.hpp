#pragma once

#include "zinnia/upstream/announcement.hpp"

#include <unordered_map>
#include <vector>

namespace zinnia::upstream {

/** @brief Times of the board. */
struct BoardSettings {
    /** An upstream that has not announced itself for this long is silent. */
    Milliseconds lease { 4000 };
    /** A departed or silent upstream is remembered this long, so that a late announcement does not bring it back. */
    Milliseconds retention { 60000 };
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

/** @brief An announcement that is news, and who told of it. */
struct FreshAnnouncement {
    AgedAnnouncement announcement;
    /** Instance 0 if the upstream announced itself here, or this instance has concluded something about it. */
    InstanceId heardFrom;
};

/** @brief What an announcement did to the board. */
enum class BoardOutcome : std::uint8_t { Changed, Renewed, Stale };

/**
 * @brief The newest announcement of each upstream, as one control instance knows it.
 *
 * Announcements are merged by their order, so the result does not depend on the path or the order in which they
 * arrive. Each change gets the next number of this board, by which readers ask for what is new.
 */
class AnnouncementBoard {
public:
    explicit AnnouncementBoard(const BoardSettings& settings)
        : settings { settings }
    {
    }

    /**
     * @brief Merges an announcement that is `age` old.
     * @param heardFrom The control instance that told of it, 0 if the upstream announced itself here.
     */
    BoardOutcome observe(
        const Announcement& announcement, Milliseconds age, TimePoint now, InstanceId heardFrom = InstanceId {});

    /** @brief Records the departure of an upstream. @return Stale if it is not known. */
    BoardOutcome depart(UpstreamNumber number, TimePoint now);

    /**
     * @brief Marks upstreams whose lease has ended and forgets old ones.
     * @param trusted False keeps leases: an instance that may be cut off cannot tell silence from the cut.
     * @return The numbers of those that became silent.
     */
    std::vector<UpstreamNumber> expire(bool trusted, TimePoint now);

    /**
     * @return Announcements that became known since the last call, for the other control instances. Changes come in two
     * calls, because the datagram with the first may be lost.
     */
    [[nodiscard]] std::vector<FreshAnnouncement> takeFresh(TimePoint now);
    /** @return All announcements. */
    [[nodiscard]] std::vector<AgedAnnouncement> all(TimePoint now) const;
    /** @return Announcements that changed after the change `since`, oldest first, at most `limit`. */
    [[nodiscard]] std::vector<AgedAnnouncement> changedSince(
        std::uint64_t since, std::size_t limit, std::uint64_t& reached, TimePoint now) const;
    [[nodiscard]] std::uint64_t lastChange() const noexcept { return this->changes; }
    [[nodiscard]] const Announcement* find(UpstreamNumber number) const;
    [[nodiscard]] std::size_t size() const noexcept { return this->entries.size(); }

private:
    struct Entry {
        Announcement announcement;
        /** When it was announced, by this instance's clock. */
        TimePoint announcedAt;
        TimePoint coldUntil;
        std::uint64_t change {};
        InstanceId heardFrom;
        /** Calls of `takeFresh` that still return it. */
        unsigned rounds {};
    };

    [[nodiscard]] static AgedAnnouncement aged(const Entry& entry, TimePoint now);

    BoardSettings settings;
    std::unordered_map<UpstreamNumber, Entry> entries;
    std::uint64_t changes {};
};

} // namespace zinnia::upstream
