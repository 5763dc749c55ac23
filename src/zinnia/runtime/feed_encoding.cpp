#include "zinnia/runtime/feed_encoding.hpp"

#include "zinnia/wire/archive.hpp"

#include <iterator>
#include <limits>

namespace zinnia::runtime {

namespace {

    /** Bytes by which the length of a list grows when elements are added. */
    constexpr std::size_t listHeaderBytes = 8;

    /** @return The number of leading announcements whose encodings fit into `room` bytes. */
    std::size_t countFitting(const std::vector<upstream::AgedAnnouncement>& announcements, std::size_t room)
    {
        std::size_t used = 0;
        for (std::size_t i = 0; i < announcements.size(); ++i) {
            used += wire::encode(announcements[i]).size();
            if (used > room)
                return i;
        }
        return announcements.size();
    }

} // namespace

FeedPage encodeFeedReply(feed::FeedReply reply, std::size_t maxBytes, const AnnouncementPage& announcements)
{
    FeedPage page;
    reply.announcements = announcements(std::numeric_limits<std::size_t>::max(), reply.change);
    page.bytes = wire::encode(reply);
    if (page.bytes.size() <= maxBytes)
        return page;
    const auto wanted = std::exchange(reply.announcements, {});
    std::size_t size = wire::encode(reply).size() + listHeaderBytes;
    if (reply.state && size > maxBytes) {
        page.omittedStateBytes = size;
        reply.state.reset();
        size = wire::encode(reply).size() + listHeaderBytes;
    }
    const std::size_t room = maxBytes > size ? maxBytes - size : 0;
    reply.announcements = announcements(countFitting(wanted, room), reply.change);
    page.bytes = wire::encode(reply);
    return page;
}

std::vector<Bytes> encodeGossip(const feed::Gossip& message, std::size_t maxBytes)
{
    std::vector<Bytes> parts { wire::encode(message) };
    if (parts.front().size() <= maxBytes || message.announcements.size() < 2)
        return parts;
    const auto middle = message.announcements.begin() + static_cast<std::ptrdiff_t>(message.announcements.size() / 2);
    feed::Gossip first { message.number, message.epoch, message.controls, {}, message.suspicions };
    first.announcements.assign(message.announcements.begin(), middle);
    feed::Gossip second { 0, message.epoch, message.controls, {}, {} };
    second.announcements.assign(middle, message.announcements.end());
    parts = encodeGossip(first, maxBytes);
    auto rest = encodeGossip(second, maxBytes);
    parts.insert(parts.end(), std::make_move_iterator(rest.begin()), std::make_move_iterator(rest.end()));
    return parts;
}

} // namespace zinnia::runtime
