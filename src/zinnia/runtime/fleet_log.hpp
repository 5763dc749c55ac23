#pragma once

#include "zinnia/config/fleet_state.hpp"
#include "zinnia/consensus/types.hpp"
#include "zinnia/core/bytes.hpp"
#include "zinnia/feed/messages.hpp"

namespace zinnia::runtime {

/** @brief The fleet's state machine behind the bytes of the replicated log. Logs each result. */
class FleetLog {
public:
    [[nodiscard]] static Bytes encode(const config::FleetCommand& command);

    /** @brief Applies the next committed record; bytes that are no command change nothing. */
    void apply(consensus::LogIndex index, BytesView record);
    [[nodiscard]] Bytes snapshot() const;
    /** @brief Replaces the state; keeps it if the bytes cannot be decoded, and logs that. */
    void restore(consensus::LogIndex index, BytesView bytes);

    [[nodiscard]] const config::FleetState& state() const noexcept { return this->current; }
    /** @return What routers need of the state. Its revision is the index of the last command. */
    [[nodiscard]] const feed::RoutingState& routing() const;
    /** @return The revision of `routing`, without working it out. */
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
    /** Worked out when it is asked for: a replay of hundreds of records needs only the last one. */
    mutable feed::RoutingState compacted;
};

} // namespace zinnia::runtime
