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
 * @brief The upstreams that some process has lately found to be unreachable.
 *
 * A suspicion is a reason to look, never a proof: the finder may be cut off itself. It fades on its own, and hearsay
 * does not renew it, because its age travels with it.
 */
class SuspicionBoard {
public:
    /** @brief How long a suspicion is passed on; the interval of news from process to process is a tenth of it. */
    static constexpr Milliseconds lifetime { 2000 };
    /** @brief Suspicions kept at most, so that they fit into a datagram with other news. */
    static constexpr std::size_t limit = 128;

    /** @return Whether it was news. */
    bool report(const AgedSuspicion& suspicion, TimePoint now);
    /** @return The suspicions that have not faded. */
    [[nodiscard]] std::vector<AgedSuspicion> current(TimePoint now);

private:
    std::map<UpstreamNumber, TimePoint> reported;
};

} // namespace zinnia::upstream
