#include "zinnia/upstream/announcement_limits.hpp"

namespace zinnia::upstream {

std::optional<AnnouncementFault> findFault(const Announcement& announcement)
{
    if (announcement.service.size() > maxNameBytes)
        return AnnouncementFault::ServiceTooLong;
    if (announcement.zone.size() > maxNameBytes)
        return AnnouncementFault::ZoneTooLong;
    if (announcement.slots > maxSlots)
        return AnnouncementFault::TooManySlots;
    if (announcement.coldRemaining < Milliseconds { 0 } || announcement.coldRemaining > maxColdRemaining)
        return AnnouncementFault::ColdTooLong;
    if (announcement.version.startedAt > maxStartedAt)
        return AnnouncementFault::StartOutOfRange;
    return std::nullopt;
}

std::optional<AnnouncementFault> findArrivalFault(const Announcement& announcement, Milliseconds unixTime)
{
    if (const auto fault = findFault(announcement))
        return fault;
    if (announcement.service.empty())
        return AnnouncementFault::NoService;
    if (announcement.zone.empty())
        return AnnouncementFault::NoZone;
    if (announcement.slots == 0)
        return AnnouncementFault::NoSlots;
    // Addresses of no host, and those from 224.0.0.0 on, which are of many.
    if (announcement.address.port == 0 || announcement.address.address < 0x01000000
        || announcement.address.address >= 0xE0000000)
        return AnnouncementFault::AddressNotUsable;
    if (Milliseconds { announcement.version.startedAt } > unixTime + maxClockLead)
        return AnnouncementFault::StartInFuture;
    return std::nullopt;
}

} // namespace zinnia::upstream
