#pragma once

#include "zinnia/core/ids.hpp"
#include "zinnia/membership/view.hpp"

#include <cstdint>

namespace zinnia::membership {

/** @brief Sent by each entry instance to each other one at a fixed interval and at changes of state. */
struct Heartbeat {
    InstanceId instance;
    ZoneId zone;
    Epoch epoch;
    /** Number of the heartbeat from this sender to this receiver, starting at 1. */
    std::uint64_t sequence {};
    /** Epoch of the receiver whose heartbeat is acknowledged; 0 if none was received. */
    Epoch ackedEpoch;
    /** Last sequence number received from the receiver in that epoch. */
    std::uint64_t ackedSequence {};
    ConfigVersion version;
    MemberState state {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.instance, self.zone, self.epoch, self.sequence, self.ackedEpoch, self.ackedSequence, self.version,
            self.state);
    }
    [[nodiscard]] friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

} // namespace zinnia::membership
