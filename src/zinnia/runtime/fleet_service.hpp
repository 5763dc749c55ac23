#pragma once

#include "zinnia/config/fleet_state.hpp"
#include "zinnia/core/ids.hpp"
#include "zinnia/upstream/announcement.hpp"

#include <functional>
#include <optional>
#include <string>

namespace zinnia::runtime {

/** @brief How a call ended. */
enum class CallStatus : unsigned char {
    Done,
    /** Another instance takes such calls. */
    NotLeader,
    /** It may or may not take effect. */
    OutcomeUnknown,
    /** It has no effect; another instance may be able to take it. */
    Unavailable,
};

inline constexpr NameTable<CallStatus, 4> callStatusNames { {
    { CallStatus::Done, "done" },
    { CallStatus::NotLeader, "not_leader" },
    { CallStatus::OutcomeUnknown, "outcome_unknown" },
    { CallStatus::Unavailable, "unavailable" },
} };
static_assert(isDense(callStatusNames));

[[nodiscard]] constexpr std::string_view nameOf(CallStatus status) noexcept { return nameIn(callStatusNames, status); }

struct CallResult {
    CallStatus status {};
    /** With `NotLeader`, if it is known. */
    std::optional<InstanceId> leader {};
};

/** @brief The document of the route table in force; absent if none was installed. */
struct ReadResult {
    CallResult call;
    std::optional<std::string> document {};
};

/**
 * @brief What upstreams and operators ask of a control instance, on the loop thread.
 *
 * Callbacks are called once, possibly before the function returns.
 */
class FleetService {
public:
    using CallDone = std::function<void(const CallResult&)>;
    using ReadDone = std::function<void(const ReadResult&)>;

    virtual ~FleetService() = default;

    /** @brief Proposes a command; `Done` means that a majority has it on disk. */
    virtual void change(config::FleetCommand command, CallDone done) = 0;
    /** @brief Reads the route table; the result includes every change acknowledged before the call. */
    virtual void readRoutes(ReadDone done) = 0;
    /** @brief Takes an announcement of an upstream; a drain is done when a second instance knows it. */
    virtual void announce(const upstream::Announcement& announcement, CallDone done) = 0;
    /** @brief An upstream has left for good. */
    virtual void depart(upstream::UpstreamNumber number, CallDone done) = 0;

protected:
    FleetService() = default;
    FleetService(const FleetService&) = default;
    FleetService& operator=(const FleetService&) = default;
};

} // namespace zinnia::runtime
