#include "zinnia/feed/gossip_relay.hpp"

namespace zinnia::feed {

std::vector<upstream::AgedAnnouncement> announcementsFor(
    InstanceId peer, const std::vector<upstream::FreshAnnouncement>& fresh, const ControlPeerTable& peerTable)
{
    std::vector<upstream::AgedAnnouncement> selected;
    for (const upstream::FreshAnnouncement& item : fresh) {
        const bool isOwn = item.heardFrom == InstanceId {};
        if (isOwn || (item.heardFrom != peer && !peerTable.reportsLive(peer, item.heardFrom)))
            selected.push_back(item.announcement);
    }
    return selected;
}

} // namespace zinnia::feed
