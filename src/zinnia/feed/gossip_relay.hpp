#pragma once

#include "zinnia/feed/control_peer_table.hpp"
#include "zinnia/upstream/announcement_table.hpp"

#include <vector>

namespace zinnia::feed {

/**
 * @brief Selects the announcements to send to another control instance.
 *
 * Each instance sends every peer what upstreams announced to it directly. An announcement received from a peer is
 * relayed only to instances that do not receive messages of that peer, as when a network partition separates two zones
 * and a third reaches both. If every instance relayed everything, the messages for one announcement would grow with the
 * square of the number of instances.
 *
 * @param peer The receiver.
 * @param pending Announcements of this instance's table that are due for gossip.
 * @param peerTable The peers of this instance, with what each reports as live.
 * @return The announcements to send, in the order of `pending`.
 */
[[nodiscard]] std::vector<upstream::AgedAnnouncement> announcementsFor(
    InstanceId peer, const std::vector<upstream::GossipAnnouncement>& pending, const ControlPeerTable& peerTable);

} // namespace zinnia::feed
