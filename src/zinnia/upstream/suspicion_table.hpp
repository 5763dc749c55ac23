#pragma once

#include "zinnia/core/time.hpp"
#include "zinnia/upstream/announcement.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace zinnia::upstream {

/** @brief An upstream that a router could not reach, and how long ago. */
struct AgedSuspicion {
    UpstreamNumber upstream;
    Milliseconds age {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.upstream, self.age);
    }
};

/**
 * @brief The upstreams that some process recently found to be unreachable.
 *
 * A suspicion is a reason for a health check, never a proof: the process that reports it may itself be partitioned. It
 * expires after its lifetime, and a relayed report does not renew it, because its age is sent with it.
 */
class SuspicionTable {
public:
    /** @brief How long a suspicion is sent to others; the processes send each other updates every tenth of it. */
    static constexpr Milliseconds lifetime { 2000 };
    /** @brief Maximum number of suspicions, so that they fit into a datagram with other updates. */
    static constexpr std::size_t capacity = 128;

    /** @return True if the upstream was not suspected before. */
    bool report(const AgedSuspicion& suspicion, TimePoint now);
    /** @brief Removes expired suspicions. @return The remaining suspicions. */
    [[nodiscard]] std::vector<AgedSuspicion> current(TimePoint now);

private:
    std::map<UpstreamNumber, TimePoint> reportTimes;
};

} // namespace zinnia::upstream
