#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace zinnia {

enum class LogLevel : unsigned char { Debug, Info, Warning, Error };

/**
 * @brief A numbered log event. Numbers are never reused.
 *
 * Ranges: 1000 process and settings, 1100 membership, 1200 flow, 1300 request, 1400 upstream,
 * 1500 configuration, 1600 consensus, 1700 wire, 1800 operator interface, 1900 stand-ins.
 */
enum class Event : std::uint16_t {
    ProcessStarted = 1000,
    ProcessStopping = 1001,
    ProcessStopped = 1002,
    SettingsRejected = 1003,
    RequestRefused = 1300,
    RequestRetried = 1301,
    RequestOutcomeUnknown = 1302,
    RequestCancelled = 1303,
    OwnershipTaken = 1304,
    RequestRecordRefused = 1305,
    AnswerDropped = 1306,
    ObservationMoved = 1307,
    QueueShed = 1320,
    UpstreamShed = 1321,
    UpstreamAnswerDropped = 1322,
    HomeGained = 1323,
    HomeLost = 1324,
    RegistrationAccepted = 1400,
    RegistrationRefused = 1401,
    RegistrationRemoved = 1402,
    LeaseExpired = 1403,
    UpstreamDraining = 1404,
    UpstreamTurnedCold = 1405,
    UpstreamReady = 1406,
    AddressQuarantined = 1407,
    UpstreamUnresponsive = 1408,
    MessageRefused = 1700,
};

/** @brief One row of the event catalogue: docs/events.md lists the same rows. */
struct EventRow {
    Event event;
    LogLevel level;
    std::string_view name;
    std::string_view text;
};

inline constexpr std::array eventCatalogue {
    EventRow { Event::ProcessStarted, LogLevel::Info, "ProcessStarted", "the process has started" },
    EventRow { Event::ProcessStopping, LogLevel::Info, "ProcessStopping", "the process is draining before it stops" },
    EventRow { Event::ProcessStopped, LogLevel::Info, "ProcessStopped", "the process has stopped" },
    EventRow { Event::SettingsRejected, LogLevel::Error, "SettingsRejected", "the settings are not valid" },
    EventRow { Event::RequestRefused, LogLevel::Info, "RequestRefused", "a request was refused as not run" },
    EventRow { Event::RequestRetried, LogLevel::Info, "RequestRetried", "a request was sent again" },
    EventRow { Event::RequestOutcomeUnknown, LogLevel::Warning, "RequestOutcomeUnknown",
        "the outcome of a request is not known" },
    EventRow {
        Event::RequestCancelled, LogLevel::Info, "RequestCancelled", "a caller cancelled a request or an observation" },
    EventRow { Event::OwnershipTaken, LogLevel::Info, "OwnershipTaken", "this entry became the owner of buckets" },
    EventRow { Event::RequestRecordRefused, LogLevel::Warning, "RequestRecordRefused",
        "a request was not recorded because another copy of it is known" },
    EventRow { Event::AnswerDropped, LogLevel::Info, "AnswerDropped", "a result did not match a request in progress" },
    EventRow { Event::ObservationMoved, LogLevel::Info, "ObservationMoved",
        "an observation was registered again with another home" },
    EventRow { Event::QueueShed, LogLevel::Info, "QueueShed", "a full queue refused its least important request" },
    EventRow { Event::UpstreamShed, LogLevel::Info, "UpstreamShed", "an upstream refused a request as not run" },
    EventRow { Event::UpstreamAnswerDropped, LogLevel::Info, "UpstreamAnswerDropped",
        "an answer of an upstream did not match a request in flight" },
    EventRow { Event::HomeGained, LogLevel::Info, "HomeGained", "this entry became the home of an upstream" },
    EventRow { Event::HomeLost, LogLevel::Info, "HomeLost", "this entry is no longer the home of an upstream" },
    EventRow { Event::RegistrationAccepted, LogLevel::Info, "RegistrationAccepted", "an upstream has registered" },
    EventRow { Event::RegistrationRefused, LogLevel::Warning, "RegistrationRefused", "a registration was refused" },
    EventRow {
        Event::RegistrationRemoved, LogLevel::Info, "RegistrationRemoved", "an upstream has removed its registration" },
    EventRow { Event::LeaseExpired, LogLevel::Warning, "LeaseExpired", "the lease of a registration has expired" },
    EventRow { Event::UpstreamDraining, LogLevel::Info, "UpstreamDraining", "an upstream is draining" },
    EventRow { Event::UpstreamTurnedCold, LogLevel::Warning, "UpstreamTurnedCold", "an upstream turned cold" },
    EventRow { Event::UpstreamReady, LogLevel::Info, "UpstreamReady", "an upstream is ready" },
    EventRow { Event::AddressQuarantined, LogLevel::Warning, "AddressQuarantined",
        "an address appeared under another service and is quarantined" },
    EventRow { Event::UpstreamUnresponsive, LogLevel::Warning, "UpstreamUnresponsive",
        "an upstream did not answer several requests in a row" },
    EventRow { Event::MessageRefused, LogLevel::Warning, "MessageRefused", "a message was refused" },
};

} // namespace zinnia
