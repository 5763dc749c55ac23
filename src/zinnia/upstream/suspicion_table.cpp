#include "zinnia/upstream/suspicion_table.hpp"

#include <algorithm>

namespace zinnia::upstream {

bool SuspicionTable::report(const AgedSuspicion& suspicion, TimePoint now)
{
    if (suspicion.age >= lifetime)
        return false;
    const TimePoint at = now - suspicion.age;
    const auto existing = this->reportTimes.find(suspicion.upstream);
    if (existing != this->reportTimes.end()) {
        existing->second = std::max(existing->second, at);
        return false;
    }
    if (this->reportTimes.size() >= capacity)
        return false;
    this->reportTimes.emplace(suspicion.upstream, at);
    return true;
}

std::vector<AgedSuspicion> SuspicionTable::current(TimePoint now)
{
    std::erase_if(this->reportTimes, [now](const auto& item) { return now - item.second >= lifetime; });
    std::vector<AgedSuspicion> result;
    result.reserve(this->reportTimes.size());
    for (const auto& [upstream, at] : this->reportTimes)
        result.push_back({ upstream, std::chrono::duration_cast<Milliseconds>(now - at) });
    return result;
}

} // namespace zinnia::upstream
