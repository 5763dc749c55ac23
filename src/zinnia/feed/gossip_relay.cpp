#include "zinnia/feed/gossip_relay.hpp"

namespace zinnia::feed {

std::vector<upstream::AgedAnnouncement> newsFor(
    InstanceId peer, const std::vector<upstream::FreshAnnouncement>& fresh, const ControlRoster& roster)
{
    std::vector<upstream::AgedAnnouncement> news;
    for (const upstream::FreshAnnouncement& item : fresh) {
        const bool isOwn = item.heardFrom == InstanceId {};
        if (isOwn || (item.heardFrom != peer && !roster.doesHear(peer, item.heardFrom)))
            news.push_back(item.announcement);
    }
    return news;
}

} // namespace zinnia::feed
