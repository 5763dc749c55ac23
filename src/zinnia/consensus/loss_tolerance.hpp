#pragma once

#include "zinnia/core/time.hpp"

#include <algorithm>
#include <cstddef>

namespace zinnia::consensus {

/**
 * @brief Losses that a dynamic group has to survive at each moment, and what follows from them for its membership.
 *
 * An instance is lost while it is down, paused, slow or cut off, and for `catchUp` after it is back, with or without
 * its disk, or after it has started for the first time. An instance that was removed for good is lost until its
 * successor has run for `catchUp`, and does not count from then on: if the successor ran before the removal, it never
 * counts. So any number of removals and `instances` losses may come at the same moment.
 *
 * Four rules follow.
 * - There are 2n + 1 voters, and more are never admitted: with 2n + 2 the loss of a zone that holds a voter and its
 *   successor ends the majority.
 * - Within `catchUp` of its start the newest instance of a zone holds a seat there, in place of the oldest
 *   (`seniority.hpp`). An instance that may be removed without being counted is then no voter any more, so its removal
 *   changes nothing, and the n losses meet 2n + 1 voters that count. A leader first hands its leadership over.
 * - A voter without contact (`silenceLimit`) loses its seat to a learner that has caught up. It may have been removed,
 *   with a successor in another zone or one that started later. A voter that was only paused keeps its log and follows
 *   it as a learner. As long as no learner is in contact the voters remain: fewer of them bear fewer losses.
 * - An instance that comes back without its disk takes the seat of its earlier identity as soon as it has caught up.
 *
 * Each exchange needs a majority of the voters before and after it until it is committed (`quorum.hpp`), so it is safe
 * at any moment. While it is in progress, the loss of any one voter leaves both majorities.
 *
 * The limit: which instance a new one succeeds is known by its zone alone. Voters that are lost together within
 * `silenceLimit`, or before an election, count together if the successor of one of them is in another zone.
 */
struct LossTolerance {
    /** Instances that may be lost at the same time. */
    std::size_t instances = 1;
    /** Time that an instance that is back, or a new one, is given to catch up. */
    Milliseconds catchUp { 4000 };

    /** @return Number of voters of which `instances` may be lost. */
    [[nodiscard]] constexpr std::size_t voterCount() const noexcept { return 2 * this->instances + 1; }

    /**
     * @param minElectionTimeout Time without contact after which voters may replace their leader; no other voter needs
     *        stronger evidence.
     * @param heartbeatInterval A single lost heartbeat is no evidence.
     * @return Time without contact after which a voter loses its seat. Within `catchUp` there must be time for an
     *         election too, in case that the lost voter led.
     */
    [[nodiscard]] constexpr Milliseconds silenceLimit(
        Milliseconds minElectionTimeout, Milliseconds heartbeatInterval) const noexcept
    {
        return std::max(2 * heartbeatInterval, std::min(minElectionTimeout, this->catchUp / 4));
    }

    /** @return Time without a change or a loss after which voters may be exchanged for a better spread over zones. */
    [[nodiscard]] constexpr Milliseconds calmPeriod() const noexcept { return this->catchUp / 2; }
};

} // namespace zinnia::consensus
