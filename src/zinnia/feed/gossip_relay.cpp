#include "zinnia/feed/gossip_relay.hpp"

namespace zinnia::feed {

std::vector<upstream::AgedAnnouncement> announcementsFor(
    InstanceId peer, const std::vector<upstream::GossipAnnouncement>& fresh, const ControlPeerTable& roster)
{
    std::vector<upstream::AgedAnnouncement> news;
    for (const upstream::GossipAnnouncement& item : fresh) {
        const bool isOwn = item.receivedFrom == InstanceId {};
        if (isOwn || (item.receivedFrom != peer && !roster.reportsLive(peer, item.receivedFrom)))
            news.push_back(item.announcement);
    }
    return news;
}

} // namespace zinnia::feed
