#pragma once

#include "zinnia/core/time.hpp"
#include "zinnia/routing/admission_settings.hpp"
#include "zinnia/routing/flow_id.hpp"
#include "zinnia/routing/flow_packet.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace zinnia::routing {

/** @brief Time that an answer is expected to take, and how much of an objective is kept for it. */
struct AnswerTime {
    /** Expected time; 0 if not known. */
    Microseconds expected {};
    /** Multiple of the expected time that is kept. */
    std::int64_t factor = 1;
    /** Bound of what is kept, unless the expected time is longer. Unit: percent of the objective. */
    std::int64_t maxReserve = 100;

    /** @return The time kept for the answer of an opening with that objective. */
    [[nodiscard]] Microseconds reserve(Microseconds objective) const noexcept
    {
        return std::max(this->expected, std::min(this->factor * this->expected, objective * this->maxReserve / 100));
    }
};

/** @brief An opening that waits in the router. */
struct WaitingOpening {
    FlowPacket packet;
    /** 0 is most important. */
    std::uint32_t priority {};
    TimePoint arrivedAt;
    /** End of the latency objective. */
    TimePoint objectiveEnd;
    /** Time at which the opening is refused at the latest. */
    TimePoint waitEnd;

    [[nodiscard]] FlowId id() const noexcept { return { this->packet.caller, this->packet.service }; }
    /** @return Time for which the opening can still wait; not positive if its answer would probably be late. */
    [[nodiscard]] Microseconds timeLeft(const AnswerTime& answer, TimePoint now) const noexcept
    {
        return std::min(this->objectiveEnd - answer.reserve(this->objectiveEnd - this->arrivedAt), this->waitEnd) - now;
    }
    [[nodiscard]] bool isOverdue(const AnswerTime& answer, TimePoint now) const noexcept
    {
        return now >= this->waitEnd || this->timeLeft(answer, now) < Microseconds { 0 };
    }
};

/**
 * @brief The waiting openings of one service.
 *
 * The order is that of the priorities, with a minimum share for each lower one. Within a priority, openings of caller
 * addresses with more than their share of the waiting openings come last, then the end of the objective decides. The
 * share is the number of openings divided by the number of addresses. All operations are linear in the number of
 * waiting openings, which is small.
 */
class OpeningQueue {
public:
    explicit OpeningQueue(const OpeningQueueSettings& settings)
        : settings { settings }
    {
    }

    /**
     * @brief Adds an opening whose flow does not wait yet.
     * @return The last opening if the queue was full, which may be the added one.
     */
    [[nodiscard]] std::optional<WaitingOpening> add(const WaitingOpening& opening);
    /** @return The waiting opening of a flow, or null; valid until the next change of the queue. */
    [[nodiscard]] WaitingOpening* find(const FlowId& id);
    /** @brief Removes the opening of a flow, if it waits. */
    std::optional<WaitingOpening> remove(const FlowId& id);
    /**
     * @brief Removes the next opening in order. Overdue ones come after all others.
     * @return Empty if nothing waits.
     */
    [[nodiscard]] std::optional<WaitingOpening> takeNext(const AnswerTime& answer, TimePoint now);
    /** @brief Removes an overdue opening. @return Empty if there is none. */
    [[nodiscard]] std::optional<WaitingOpening> takeOverdue(const AnswerTime& answer, TimePoint now);
    /** @return Releases expected before that of an opening that is not in the queue, if it were added. */
    [[nodiscard]] std::size_t countAhead(const WaitingOpening& opening) const;
    [[nodiscard]] std::size_t size() const noexcept { return this->count; }
    [[nodiscard]] bool isEmpty() const noexcept { return this->count == 0; }
    [[nodiscard]] bool isFull() const noexcept { return this->count >= this->settings.maxOpenings; }

private:
    /** @brief The openings of one priority. */
    struct Level {
        std::vector<WaitingOpening> openings;
        /** Number of openings by caller address. */
        std::unordered_map<std::uint32_t, std::uint32_t> callers;
        /** Releases of other priorities since the last one of this priority, while openings of it waited. */
        std::uint32_t skipped {};

        /** @return True if the address has more than its share of the openings. */
        [[nodiscard]] bool isHeavy(std::uint32_t address) const;
        [[nodiscard]] bool precedes(const WaitingOpening& left, const WaitingOpening& right) const;
    };

    [[nodiscard]] WaitingOpening take(Level& level, std::size_t index);
    [[nodiscard]] WaitingOpening takeLast();
    /** @return The level whose turn it is, among those for which `isEligible` holds; null if there is none. */
    template <class Predicate> [[nodiscard]] Level* nextLevel(Predicate isEligible);

    OpeningQueueSettings settings;
    std::map<std::uint32_t, Level> levels;
    std::size_t count {};
};

} // namespace zinnia::routing
