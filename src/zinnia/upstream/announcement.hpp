#pragma once

#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/ids.hpp"
#include "zinnia/core/name_table.hpp"
#include "zinnia/core/strong_id.hpp"
#include "zinnia/core/time.hpp"

#include <compare>
#include <cstdint>
#include <limits>
#include <string>

namespace zinnia::upstream {

/** @brief Identifies an upstream; it accepts only datagrams that carry its own number. */
using UpstreamNumber = StrongId<struct UpstreamNumberTag, std::uint64_t>;

/** @brief The state that an upstream announces; Silent if its announcements have stopped. */
enum class AnnouncedState : std::uint8_t { Ready, Draining, Gone, Silent };

inline constexpr NameTable<AnnouncedState, 4> announcedStateNames { {
    { AnnouncedState::Ready, "ready" },
    { AnnouncedState::Draining, "draining" },
    { AnnouncedState::Gone, "gone" },
    { AnnouncedState::Silent, "silent" },
} };
static_assert(isDense(announcedStateNames));

[[nodiscard]] constexpr std::string_view nameOf(AnnouncedState state) noexcept
{
    return nameIn(announcedStateNames, state);
}

/** @brief Version of an announcement: a later start of the upstream is higher, then a higher sequence number. */
struct AnnouncementVersion {
    /** Start of the upstream process by its own wall clock. Unit: milliseconds since the Unix epoch. */
    std::uint64_t startedAt {};
    /** Increases with each announcement since that start. */
    std::uint64_t sequence {};

    /** Sequence number of the last announcement since a start, as none follows a confirmed departure. */
    static constexpr std::uint64_t departureSequence = std::numeric_limits<std::uint64_t>::max();

    [[nodiscard]] friend constexpr auto operator<=>(const AnnouncementVersion&, const AnnouncementVersion&) = default;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.startedAt, self.sequence);
    }
};

/** @brief One announcement of an upstream. Times are sent as durations, as the clocks of instances differ. */
struct Announcement {
    UpstreamNumber number;
    std::string service;
    Endpoint address;
    std::string zone;
    /** Requests that it runs at the same time. */
    std::uint32_t slots {};
    AnnouncedState state {};
    /** Time until it can take full load, counted from the announcement. */
    Milliseconds coldRemaining {};
    AnnouncementVersion version;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.number, self.service, self.address, self.zone, self.slots, self.state, self.coldRemaining,
            self.version);
    }
    [[nodiscard]] friend bool operator==(const Announcement&, const Announcement&) = default;
};

/**
 * @return True if `next` reports silence of an upstream that has announced to drain since the same start. Such a report
 *         is ignored: a silent upstream may get new flows, a draining one must not.
 */
[[nodiscard]] inline bool keepsDraining(const Announcement& current, const Announcement& next)
{
    return current.state == AnnouncedState::Draining && next.state == AnnouncedState::Silent
        && current.version.startedAt == next.version.startedAt;
}

/**
 * @return True if `next` has the version of `current` and a state that control instances have inferred for it: silent,
 *         because announcements have stopped, or draining, because of a departure that may be of an earlier start.
 */
[[nodiscard]] inline bool infersState(const Announcement& current, const Announcement& next)
{
    if (next.version != current.version)
        return false;
    return (next.state == AnnouncedState::Silent && current.state == AnnouncedState::Ready)
        || (next.state == AnnouncedState::Draining
            && (current.state == AnnouncedState::Ready || current.state == AnnouncedState::Silent));
}

} // namespace zinnia::upstream
