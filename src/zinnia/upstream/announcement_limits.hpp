#pragma once

#include "zinnia/core/name_table.hpp"
#include "zinnia/upstream/announcement.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace zinnia::upstream {

/** @brief Maximum length of the name of a service or zone that is stored and sent to routers. Unit: bytes. */
inline constexpr std::size_t maxNameBytes = 255;
/** @brief Maximum number of requests that an upstream announces to run at the same time. */
inline constexpr std::uint32_t maxSlots = 65535;
/** @brief Maximum time until an upstream takes full load. */
inline constexpr Milliseconds maxColdRemaining { 24LL * 3600 * 1000 };
/** @brief Latest start of an upstream: the end of the year 9999. Unit: milliseconds since the Unix epoch. */
inline constexpr std::uint64_t maxStartedAt = 253'402'300'799'999;

/** @brief How far the clock of an upstream may be ahead of that of a control instance. */
inline constexpr Milliseconds maxClockLead { 10LL * 60 * 1000 };

/** @brief Why an announcement is not stored, although it could be read. */
enum class AnnouncementFault : std::uint8_t {
    ServiceTooLong,
    ZoneTooLong,
    TooManySlots,
    ColdTooLong,
    StartOutOfRange,
    NoService,
    NoZone,
    NoSlots,
    AddressNotUsable,
    StartInFuture,
};

inline constexpr NameTable<AnnouncementFault, 10> announcementFaultNames { {
    { AnnouncementFault::ServiceTooLong, "service_too_long" },
    { AnnouncementFault::ZoneTooLong, "zone_too_long" },
    { AnnouncementFault::TooManySlots, "too_many_slots" },
    { AnnouncementFault::ColdTooLong, "cold_too_long" },
    { AnnouncementFault::StartOutOfRange, "start_out_of_range" },
    { AnnouncementFault::NoService, "no_service" },
    { AnnouncementFault::NoZone, "no_zone" },
    { AnnouncementFault::NoSlots, "no_slots" },
    { AnnouncementFault::AddressNotUsable, "address_not_usable" },
    { AnnouncementFault::StartInFuture, "start_in_future" },
} };
static_assert(isDense(announcementFaultNames));

[[nodiscard]] constexpr std::string_view nameOf(AnnouncementFault fault) noexcept
{
    return nameIn(announcementFaultNames, fault);
}

/**
 * @brief Checks the bounds of an announcement, which anyone who reaches a control instance can send.
 *
 * With these bounds one announcement takes less than a hundredth of a datagram, so that an odd one cannot keep the
 * others from being sent.
 *
 * @return The first bound that it exceeds, or nothing.
 */
[[nodiscard]] std::optional<AnnouncementFault> findFault(const Announcement& announcement);

/**
 * @brief Checks what only the first receiver of an announcement can check, or what earlier releases have stored.
 * @param unixTime Time of day of the receiver. A start far in the future would outrank all later starts.
 * @return What makes it name no upstream that could be used, or nothing.
 */
[[nodiscard]] std::optional<AnnouncementFault> findArrivalFault(
    const Announcement& announcement, Milliseconds unixTime);

} // namespace zinnia::upstream
