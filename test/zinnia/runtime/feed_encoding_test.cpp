#include "zinnia/runtime/feed_encoding.hpp"
#include "zinnia/wire/archive.hpp"

#include <gtest/gtest.h>

namespace zinnia::runtime {
namespace {

    constexpr std::size_t maxBytes = 4000;

    std::vector<upstream::AgedAnnouncement> announcementsOf(std::size_t count)
    {
        std::vector<upstream::AgedAnnouncement> result(count);
        for (std::size_t i = 0; i < count; ++i) {
            result[i].announcement.number = upstream::UpstreamNumber { i + 1 };
            result[i].announcement.service = std::string(200, 's');
        }
        return result;
    }

    /** @brief Pages of a table whose changes have the numbers 1, 2, 3. */
    AnnouncementPage pageOf(std::size_t count)
    {
        return [count](std::size_t limit, std::uint64_t& completeUpTo) {
            completeUpTo = std::min(limit, count);
            return announcementsOf(completeUpTo);
        };
    }

    feed::FeedReply decoded(const Bytes& bytes) { return wire::decode<feed::FeedReply>(bytes).value(); }

    feed::FeedReply replyWithRoutes(std::size_t routes)
    {
        feed::FeedReply reply;
        reply.revision = 9;
        reply.state = feed::RoutingState { 9, ConfigVersion { 3 }, {}, {}, { "zone-a" }, {} };
        reply.state->routes.resize(routes, feed::CompactRoute { { 0xC6120001, 443 }, { 0 }, { 1 } });
        return reply;
    }

    // Guards against a reply that exceeds a datagram and is dropped, again and again, with all that it holds.
    TEST(FeedEncoding, SendsAsManyAnnouncementsAsFit)
    {
        const FeedPage page = encodeFeedReply(replyWithRoutes(10), maxBytes, pageOf(50));
        EXPECT_LE(page.bytes.size(), maxBytes);
        const feed::FeedReply reply = decoded(page.bytes);
        EXPECT_TRUE(reply.state.has_value());
        EXPECT_GT(reply.announcements.size(), 5U);
        EXPECT_EQ(reply.change, reply.announcements.size());
        EXPECT_EQ(page.omittedStateBytes, 0U);
    }

    // Guards against a routing state that leaves no room and is dropped: it has to come first, the rest later.
    TEST(FeedEncoding, SendsARoutingStateThatLeavesNoRoomAlone)
    {
        feed::FeedReply full = replyWithRoutes(0);
        while (wire::encode(full).size() + 60 < maxBytes)
            full.state->routes.emplace_back(feed::CompactRoute { { 0xC6120001, 443 }, { 0 }, { 1 } });
        const FeedPage page = encodeFeedReply(full, maxBytes, pageOf(50));
        EXPECT_LE(page.bytes.size(), maxBytes);
        const feed::FeedReply reply = decoded(page.bytes);
        EXPECT_TRUE(reply.state.has_value());
        EXPECT_TRUE(reply.announcements.empty());
        EXPECT_EQ(reply.change, 0U);
    }

    // Guards against a routing state that fits into no message and keeps routers from all that they could learn.
    TEST(FeedEncoding, LeavesOutARoutingStateThatFitsIntoNoMessage)
    {
        const FeedPage page = encodeFeedReply(replyWithRoutes(1000), maxBytes, pageOf(5));
        EXPECT_GT(page.omittedStateBytes, maxBytes);
        const feed::FeedReply reply = decoded(page.bytes);
        EXPECT_FALSE(reply.state.has_value());
        EXPECT_EQ(reply.revision, 9U);
        EXPECT_EQ(reply.announcements.size(), 5U);
    }

    // Guards against a control instance that returns and does not get the announcements of the others, because there
    // are too many for one datagram.
    TEST(FeedEncoding, SplitsGossip)
    {
        const feed::Gossip message { 7, Epoch { 2 }, { InstanceId { 1 } }, announcementsOf(100),
            { { upstream::UpstreamNumber { 1 }, {} } } };
        const auto parts = encodeGossip(message, maxBytes);
        std::uint64_t next = 1;
        for (const Bytes& part : parts) {
            EXPECT_LE(part.size(), maxBytes);
            const auto gossip = wire::decode<feed::Gossip>(part).value();
            EXPECT_EQ(gossip.number, &part == &parts.front() ? 7U : 0U);
            EXPECT_EQ(gossip.suspicions.size(), &part == &parts.front() ? 1U : 0U);
            for (const auto& item : gossip.announcements)
                EXPECT_EQ(item.announcement.number, upstream::UpstreamNumber { next++ });
        }
        EXPECT_EQ(next, 101U);
        EXPECT_EQ(encodeGossip(feed::Gossip {}, maxBytes).size(), 1U);
    }

} // namespace
} // namespace zinnia::runtime
