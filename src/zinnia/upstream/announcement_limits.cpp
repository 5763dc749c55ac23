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

} // namespace zinnia::upstream
