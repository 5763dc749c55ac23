#pragma once

#include "zinnia/feed/control_roster.hpp"
#include "zinnia/upstream/announcement_board.hpp"

#include <vector>

namespace zinnia::feed {

/**
 * @brief Chooses which news another control instance is sent.
 *
 * Each instance tells all others what upstreams announced to it. What it has heard from another one it relays only to
 * those that do not hear that one, as when two zones are cut off from each other and a third reaches both. If all
 * relayed everything, each announcement would travel the square of the number of instances times.
 *
 * @param fresh News of this instance's board.
 * @param peer The receiver.
 */
[[nodiscard]] std::vector<upstream::AgedAnnouncement> newsFor(
    InstanceId peer, const std::vector<upstream::FreshAnnouncement>& fresh, const ControlRoster& roster);

} // namespace zinnia::feed
