#pragma once

#include "zinnia/config/fleet_state.hpp"
#include "zinnia/core/ids.hpp"
#include "zinnia/upstream/announcement.hpp"

#include <functional>
#include <optional>
#include <string>

namespace zinnia::runtime {

/** @brief Result of a call. */
enum class CallStatus : unsigned char {
    Done,
    /** Only the leader handles such calls, and this instance is not the leader. */
    NotLeader,
    /** The call may or may not take effect. */
    OutcomeUnknown,
    /** The call has no effect; another instance may be able to handle it. */
    Unavailable,
    /** The call has no effect: a value in it is out of bounds. */
    Invalid,
    /** The call has no effect: its content exceeds what can be stored, or sent to routers. */
    TooLarge,
};

inline constexpr NameTable<CallStatus, 6> callStatusNames { {
    { CallStatus::Done, "done" },
    { CallStatus::NotLeader, "not_leader" },
    { CallStatus::OutcomeUnknown, "outcome_unknown" },
    { CallStatus::Unavailable, "unavailable" },
    { CallStatus::Invalid, "invalid" },
    { CallStatus::TooLarge, "too_large" },
} };
static_assert(isDense(callStatusNames));

[[nodiscard]] constexpr std::string_view nameOf(CallStatus status) noexcept { return nameIn(callStatusNames, status); }

struct CallResult {
    CallStatus status {};
    /** The leader, if it is known; only with `NotLeader`. */
    std::optional<InstanceId> leader {};
    /** What is out of bounds; only with `Invalid` and `TooLarge`. */
    std::string detail {};
};

/** @brief The document of the active route table; absent if none has been installed. */
struct ReadResult {
    CallResult call;
    std::optional<std::string> document {};
};

/**
 * @brief Calls of upstreams and operators to a control instance, on the loop thread.
 *
 * Callbacks are called once, possibly before the function returns.
 */
class FleetService {
public:
    using CallDone = std::function<void(const CallResult&)>;
    using ReadDone = std::function<void(const ReadResult&)>;

    virtual ~FleetService() = default;

    /** @brief Proposes a command; `Done` means that a majority has stored it on disk. */
    virtual void change(config::FleetCommand command, CallDone done) = 0;
    /** @brief Reads the route table; the result includes every change acknowledged before the call. */
    virtual void readRoutes(ReadDone done) = 0;
    /** @brief Handles an announcement of an upstream; a drain is done once a second instance has confirmed it. */
    virtual void announce(const upstream::Announcement& announcement, CallDone done) = 0;
    /** @brief Handles the permanent departure of an upstream. */
    virtual void depart(upstream::UpstreamNumber number, CallDone done) = 0;

protected:
    FleetService() = default;
    FleetService(const FleetService&) = default;
    FleetService& operator=(const FleetService&) = default;
};

} // namespace zinnia::runtime
