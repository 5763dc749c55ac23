#pragma once

#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/ids.hpp"
#include "zinnia/core/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace zinnia::upstream {

/**
 * @brief The state of one registration, as one entry sends it to the others.
 *
 * Instances share no clock, so times are sent as the remaining duration. Each field is merged on its own: leases and
 * quarantines by the later end; removal stays set within an incarnation, and so does draining unless a registration
 * with a later sequence number ends it. The announced values are merged by the sequence number, the health (the
 * step of the cold-start ramp and whether the upstream answers) by its version. The result of merging is therefore
 * independent of the order in which records arrive.
 */
struct UpstreamRecord {
    ServiceId service;
    std::string name;
    Endpoint address;
    Incarnation incarnation;
    Milliseconds lease {};
    Milliseconds leaseRemaining {};
    Milliseconds quarantineRemaining {};
    std::uint64_t sequence {};
    std::uint32_t slots {};
    std::uint32_t connections {};
    std::uint32_t load {};
    bool draining {};
    bool removed {};
    /** Version of the health: increases with each change by a home. */
    std::uint64_t healthVersion {};
    /** Step of the cold-start ramp. */
    std::uint32_t rampStep {};
    /** True if requests of its home timed out. */
    bool unresponsive {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.service, self.name, self.address, self.incarnation, self.lease, self.leaseRemaining,
            self.quarantineRemaining, self.sequence, self.slots, self.connections, self.load, self.draining,
            self.removed, self.healthVersion, self.rampStep, self.unresponsive);
    }
    [[nodiscard]] friend bool operator==(const UpstreamRecord&, const UpstreamRecord&) = default;
};

/** @brief Registrations of one zone, sent from one entry to another. */
struct UpstreamUpdate {
    ZoneId zone;
    std::vector<UpstreamRecord> records;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.zone, self.records);
    }
    [[nodiscard]] friend bool operator==(const UpstreamUpdate&, const UpstreamUpdate&) = default;
};

} // namespace zinnia::upstream
