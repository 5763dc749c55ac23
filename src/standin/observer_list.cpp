#include "standin/observer_list.hpp"

#include <algorithm>

namespace zinnia::standin {

void ObserverList::add(Observer observer)
{
    const auto key = std::pair { observer.source, observer.token };
    this->observers.insert_or_assign(key, std::move(observer));
}

bool ObserverList::remove(const Endpoint& source, const Bytes& token)
{
    return this->observers.erase({ source, token }) != 0;
}

bool ObserverList::removeByMessage(const Endpoint& source, std::uint16_t messageId)
{
    return std::erase_if(this->observers, [&](const auto& entry) {
        return entry.second.source == source && entry.second.lastMessageId == messageId;
    }) != 0;
}

std::vector<Observer*> ObserverList::due(TimePoint now)
{
    std::vector<Observer*> result;
    for (auto& [key, observer] : this->observers) {
        if (observer.next > now)
            continue;
        // After a process pause the stream continues from now on instead of sending all missed notifications.
        observer.next = std::max(observer.next + observer.period, now);
        ++observer.sequence;
        result.push_back(&observer);
    }
    return result;
}

} // namespace zinnia::standin
