#pragma once

#include "zinnia/core/bytes.hpp"
#include "zinnia/feed/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace zinnia::runtime {

/** @brief An encoded `FeedReply` of at most the requested size. */
struct FeedPage {
    Bytes bytes;
    /** Size of a reply with the routing state, if that was left out because it fits into no message. Unit: bytes. */
    std::size_t omittedStateBytes {};
};

/**
 * @brief Returns at most `limit` of the next announcements for a router.
 * @param completeUpTo Receives the number of the last change that the result includes.
 */
using AnnouncementPage
    = std::function<std::vector<upstream::AgedAnnouncement>(std::size_t limit, std::uint64_t& completeUpTo)>;

/**
 * @brief Encodes a reply with as many announcements as fit; the router requests the rest.
 *
 * A routing state that fits into no message is left out, so that it keeps neither announcements nor the other fields
 * from being sent.
 *
 * @param reply The reply without announcements.
 */
[[nodiscard]] FeedPage encodeFeedReply(
    feed::FeedReply reply, std::size_t maxBytes, const AnnouncementPage& announcements);

/** @return Gossip as one message, or as several that have `announcements` in parts if one exceeds `maxBytes`. */
[[nodiscard]] std::vector<Bytes> encodeGossip(const feed::Gossip& message, std::size_t maxBytes);

} // namespace zinnia::runtime
