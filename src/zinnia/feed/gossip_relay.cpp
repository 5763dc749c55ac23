#include "zinnia/feed/gossip_relay.hpp"

namespace zinnia::feed {

std::vector<upstream::AgedAnnouncement> announcementsFor(
    InstanceId peer, const std::vector<upstream::FreshAnnouncement>& fresh, const ControlPeerTable& roster)
{
    std::vector<upstream::AgedAnnouncement> news;
    for (const upstream::FreshAnnouncement& item : fresh) {
        const bool isOwn = item.heardFrom == InstanceId {};
        if (isOwn || (item.heardFrom != peer && !roster.reportsLive(peer, item.heardFrom)))
            news.push_back(item.announcement);
    }
    return news;
}

} // namespace zinnia::feed
