#include "zinnia/feed/gossip_relay.hpp"

namespace zinnia::feed {

std::vector<upstream::AgedAnnouncement> announcementsFor(
    InstanceId peer, const std::vector<upstream::GossipAnnouncement>& pending, const ControlPeerTable& peerTable)
{
    std::vector<upstream::AgedAnnouncement> selected;
    for (const upstream::GossipAnnouncement& item : pending) {
        const bool isOwn = item.receivedFrom == InstanceId {};
        if (isOwn || (item.receivedFrom != peer && !peerTable.reportsLive(peer, item.receivedFrom)))
            selected.push_back(item.announcement);
    }
    return selected;
}

} // namespace zinnia::feed
