#include "zinnia/routing/opening_queue.hpp"

#include <algorithm>
#include <utility>

namespace zinnia::routing {

bool OpeningQueue::Level::isHeavy(std::uint32_t address) const
{
    const auto found = this->callers.find(address);
    return found != this->callers.end() && found->second * this->callers.size() > this->openings.size();
}

bool OpeningQueue::Level::precedes(const WaitingOpening& left, const WaitingOpening& right) const
{
    const bool leftIsHeavy = this->isHeavy(left.packet.caller.address);
    const bool rightIsHeavy = this->isHeavy(right.packet.caller.address);
    return leftIsHeavy != rightIsHeavy ? rightIsHeavy : left.objectiveEnd < right.objectiveEnd;
}

std::optional<WaitingOpening> OpeningQueue::add(const WaitingOpening& opening)
{
    Level& level = this->levels[opening.priority];
    level.openings.push_back(opening);
    ++level.callers[opening.packet.caller.address];
    ++this->count;
    if (this->count <= this->settings.maxOpenings)
        return std::nullopt;
    return this->takeLast();
}

WaitingOpening* OpeningQueue::find(const FlowId& id)
{
    for (auto& [priority, level] : this->levels) {
        for (WaitingOpening& opening : level.openings) {
            if (opening.id() == id)
                return &opening;
        }
    }
    return nullptr;
}

std::optional<WaitingOpening> OpeningQueue::remove(const FlowId& id)
{
    for (auto& [priority, level] : this->levels) {
        for (std::size_t i = 0; i < level.openings.size(); ++i) {
            if (level.openings[i].id() == id)
                return this->take(level, i);
        }
    }
    return std::nullopt;
}

std::optional<WaitingOpening> OpeningQueue::takeNext(const AnswerTime& answer, TimePoint now)
{
    const auto isInTime = [&](const WaitingOpening& opening) { return !opening.isOverdue(answer, now); };
    Level* level = this->nextLevel([&](const Level& candidate) {
        return std::any_of(candidate.openings.begin(), candidate.openings.end(), isInTime);
    });
    const bool hasInTime = level != nullptr;
    if (!hasInTime)
        level = this->nextLevel([](const Level& candidate) { return !candidate.openings.empty(); });
    if (level == nullptr)
        return std::nullopt;
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < level->openings.size(); ++i) {
        if (hasInTime && !isInTime(level->openings[i]))
            continue;
        if (!best || level->precedes(level->openings[i], level->openings[*best]))
            best = i;
    }
    return this->take(*level, best.value_or(0));
}

std::optional<WaitingOpening> OpeningQueue::takeOverdue(const AnswerTime& answer, TimePoint now)
{
    for (auto& [priority, level] : this->levels) {
        for (std::size_t i = 0; i < level.openings.size(); ++i) {
            if (level.openings[i].isOverdue(answer, now))
                return this->take(level, i);
        }
    }
    return std::nullopt;
}

std::size_t OpeningQueue::countAhead(const WaitingOpening& opening) const
{
    std::size_t higher = 0;
    std::size_t ahead = 0;
    for (const auto& [priority, level] : this->levels) {
        if (priority < opening.priority)
            higher += level.openings.size();
        if (priority != opening.priority)
            continue;
        Level changed = level;
        changed.openings.push_back(opening);
        ++changed.callers[opening.packet.caller.address];
        ahead = static_cast<std::size_t>(std::count_if(level.openings.begin(), level.openings.end(),
            [&](const WaitingOpening& other) { return !changed.precedes(opening, other); }));
    }
    const std::size_t byPriority = higher + ahead;
    const std::size_t interval = this->settings.minShareInterval;
    return interval == 0 ? byPriority : std::min(byPriority, (ahead + 1) * interval);
}

WaitingOpening OpeningQueue::take(Level& level, std::size_t index)
{
    const auto position = level.openings.begin() + static_cast<std::ptrdiff_t>(index);
    WaitingOpening taken = *position;
    level.openings.erase(position);
    const auto caller = level.callers.find(taken.packet.caller.address);
    if (caller != level.callers.end() && --caller->second == 0)
        level.callers.erase(caller);
    --this->count;
    return taken;
}

WaitingOpening OpeningQueue::takeLast()
{
    const auto lowest = std::find_if(
        this->levels.rbegin(), this->levels.rend(), [](const auto& item) { return !item.second.openings.empty(); });
    Level& level = lowest->second;
    std::size_t last = 0;
    for (std::size_t i = 1; i < level.openings.size(); ++i) {
        if (!level.precedes(level.openings[i], level.openings[last]))
            last = i;
    }
    return this->take(level, last);
}

template <class Predicate> OpeningQueue::Level* OpeningQueue::nextLevel(Predicate isEligible)
{
    std::vector<Level*> eligible;
    for (auto& [priority, level] : this->levels) {
        if (isEligible(level))
            eligible.push_back(&level);
    }
    if (eligible.empty())
        return nullptr;
    Level* next = eligible.front();
    for (Level* level : eligible) {
        if (this->settings.minShareInterval > 0 && level->skipped + 1 >= this->settings.minShareInterval) {
            next = level;
            break;
        }
    }
    for (Level* level : eligible)
        ++level->skipped;
    next->skipped = 0;
    return next;
}

} // namespace zinnia::routing
