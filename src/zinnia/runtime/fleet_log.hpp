#pragma once

#include "zinnia/config/fleet_state.hpp"
#include "zinnia/consensus/types.hpp"
#include "zinnia/core/bytes.hpp"
#include "zinnia/feed/messages.hpp"

namespace zinnia::runtime {

/** @brief Decodes replicated log entries and applies them to the fleet's state machine. Logs each result. */
class FleetLog {
public:
    [[nodiscard]] static Bytes encode(const config::FleetCommand& command);

    /** @brief Applies the next committed log entry; bytes that do not decode to a command change nothing. */
    void apply(consensus::LogIndex index, BytesView record);
    [[nodiscard]] Bytes snapshot() const;
    /** @brief Replaces the state with a snapshot. Keeps the current state and logs if it cannot be decoded. */
    void restore(consensus::LogIndex index, BytesView bytes);

    [[nodiscard]] const config::FleetState& state() const noexcept { return this->current; }
    /** @return The part of the state that routers need. Its revision is the index of the last command. */
    [[nodiscard]] const feed::RoutingState& routing() const;
    /** @return The revision of `routing`, without computing the routing state. */
    [[nodiscard]] consensus::LogIndex revision() const noexcept { return this->lastChange; }

private:
    struct Snapshot {
        config::FleetState state;
        consensus::LogIndex revision {};

        template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
        {
            visit(self.state, self.revision);
        }
    };

    config::FleetState current;
    consensus::LogIndex lastChange {};
    /** Computed on demand: a replay of hundreds of log entries needs only the last state. */
    mutable feed::RoutingState compacted;
};

} // namespace zinnia::runtime
