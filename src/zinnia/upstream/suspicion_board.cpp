#include "zinnia/upstream/suspicion_board.hpp"

#include <algorithm>

namespace zinnia::upstream {

bool SuspicionBoard::report(const AgedSuspicion& suspicion, TimePoint now)
{
    if (suspicion.age >= lifetime)
        return false;
    const TimePoint at = now - suspicion.age;
    const auto known = this->reported.find(suspicion.upstream);
    if (known != this->reported.end()) {
        known->second = std::max(known->second, at);
        return false;
    }
    if (this->reported.size() >= limit)
        return false;
    this->reported.emplace(suspicion.upstream, at);
    return true;
}

std::vector<AgedSuspicion> SuspicionBoard::current(TimePoint now)
{
    std::erase_if(this->reported, [now](const auto& item) { return now - item.second >= lifetime; });
    std::vector<AgedSuspicion> result;
    result.reserve(this->reported.size());
    for (const auto& [upstream, at] : this->reported)
        result.push_back({ upstream, std::chrono::duration_cast<Milliseconds>(now - at) });
    return result;
}

} // namespace zinnia::upstream
