#include "zinnia/feed/control_roster.hpp"
#include "zinnia/feed/feed_client.hpp"

#include <gtest/gtest.h>
#include <map>
#include <set>

namespace zinnia::feed {
namespace {

    constexpr InstanceId one { 1 };
    constexpr InstanceId two { 2 };
    constexpr InstanceId three { 3 };
    constexpr InstanceId four { 4 };
    const TimePoint start { Seconds { 1000 } };

    FeedReply replyOf(std::uint64_t revision, std::uint64_t change, std::uint64_t lastChange)
    {
        FeedReply reply;
        reply.confirmed = true;
        reply.revision = revision;
        reply.board = Epoch { 9 };
        reply.change = change;
        reply.lastChange = lastChange;
        return reply;
    }

    std::set<InstanceId> asked(const std::vector<OutgoingRequest>& requests)
    {
        std::set<InstanceId> result;
        for (const auto& request : requests)
            result.insert(request.control);
        return result;
    }

    // Guards against a router that waits a second for its first news after a restart of the whole fleet.
    TEST(FeedClient, AsksAllSeedsAgainSoonWhileNoneAnswers)
    {
        FeedClient client { {}, { one, two, three } };
        EXPECT_EQ(asked(client.tick(0, start)), (std::set { one, two, three }));
        EXPECT_EQ(asked(client.tick(0, start + Milliseconds { 100 })), (std::set { one, two, three }));
    }

    // Guards against a router that counts as ready before it knows every announcement.
    TEST(FeedClient, IsCompleteOnlyAfterAWholeReplyOfAConfirmedInstance)
    {
        FeedClient client { {}, { one } };
        (void)client.tick(0, start);
        FeedReply doubtful = replyOf(3, 5, 5);
        doubtful.confirmed = false;
        EXPECT_FALSE(client.receive(one, doubtful, 3, start));
        EXPECT_FALSE(client.isComplete());
        const auto more = client.receive(one, replyOf(3, 2, 5), 3, start);
        ASSERT_TRUE(more);
        EXPECT_EQ(more->request.change, 2U);
        EXPECT_FALSE(client.isComplete());
        EXPECT_FALSE(client.receive(one, replyOf(3, 5, 5), 3, start));
        EXPECT_TRUE(client.isComplete());
        EXPECT_TRUE(client.isInTouch(start + Milliseconds { 2500 }));
        EXPECT_FALSE(client.isInTouch(start + Milliseconds { 2501 }));
    }

    // Guards against a zone that is cut off and whose restarted routers never take packets again.
    TEST(FeedClient, TakesNewsWithoutALeaderAfterAWhile)
    {
        FeedClient client { {}, { one } };
        FeedReply doubtful = replyOf(3, 5, 5);
        doubtful.confirmed = false;
        (void)client.receive(one, doubtful, 3, start);
        (void)client.receive(one, doubtful, 3, start + Milliseconds { 2999 });
        EXPECT_FALSE(client.isComplete());
        (void)client.receive(one, doubtful, 3, start + Milliseconds { 3000 });
        EXPECT_TRUE(client.isComplete());
        EXPECT_FALSE(client.isInTouch(start + Milliseconds { 3000 }));
    }

    // Guards against news that depends on a single instance, which may be cut off and not know it.
    TEST(FeedClient, AsksTheAnsweringInstancesInTurnAndSilentOnesRarely)
    {
        FeedClient client { {}, { one, two, three } };
        (void)client.tick(0, start);
        for (const InstanceId id : { one, two })
            (void)client.receive(id, replyOf(3, 1, 1), 3, start);
        EXPECT_EQ(asked(client.tick(3, start + Milliseconds { 150 })), (std::set { one }));
        EXPECT_EQ(asked(client.tick(3, start + Milliseconds { 300 })), (std::set { two }));
        EXPECT_EQ(asked(client.tick(3, start + Milliseconds { 1000 })), (std::set { one, three }));
    }

    // Load: many routers and more control instances than each asks. Guards against a few that get all requests.
    TEST(FeedClient, RoutersPreferDifferentControlInstances)
    {
        std::map<InstanceId, int> requests;
        for (std::uint32_t router = 1; router <= 100; ++router) {
            std::vector<InstanceId> all;
            for (std::uint32_t id = 1; id <= 8; ++id)
                all.push_back(InstanceId { id });
            FeedClientSettings settings;
            settings.self = InstanceId { 1000 + router };
            FeedClient client { settings, all };
            (void)client.tick(0, start);
            for (const auto& id : all)
                (void)client.receive(id, replyOf(3, 1, 1), 3, start);
            for (int turn = 1; turn <= 3; ++turn) {
                for (const auto& request : client.tick(3, start + turn * Milliseconds { 150 }))
                    ++requests[request.control];
            }
        }
        EXPECT_EQ(requests.size(), 8U);
        for (const auto& [id, count] : requests)
            EXPECT_LT(count, 2 * 300 / 8) << id.value;
    }

    // Guards against a router that is left alone when all its seeds were replaced.
    TEST(FeedClient, LearnsOtherInstancesFromReplies)
    {
        FeedClient client { {}, { one } };
        (void)client.tick(0, start);
        FeedReply reply = replyOf(3, 1, 1);
        reply.controls = { one, four };
        (void)client.receive(one, reply, 3, start);
        EXPECT_TRUE(asked(client.tick(3, start + Milliseconds { 1000 })).contains(four));
    }

    // Guards against a restarted machine that is not told what the others know.
    TEST(ControlRoster, TellsARestartFromASilence)
    {
        ControlRoster roster { {}, one, { one, two, three }, start };
        EXPECT_EQ(roster.peers(), (std::vector { two, three }));
        EXPECT_EQ(roster.heard(two, Epoch { 1 }, start), RosterChange::Appeared);
        EXPECT_EQ(roster.heard(two, Epoch { 1 }, start), RosterChange::Known);
        EXPECT_EQ(roster.heard(two, Epoch { 2 }, start), RosterChange::Restarted);
        EXPECT_EQ(roster.heard(two, Epoch { 2 }, start + Seconds { 3 }), RosterChange::Returned);
        EXPECT_EQ(roster.live(start + Seconds { 3 }), (std::vector { one, two }));
    }

    // Guards against members that are gone for good and are sent news for ever.
    TEST(ControlRoster, ForgetsAllButSeeds)
    {
        ControlRoster roster { {}, one, { two }, start };
        EXPECT_TRUE(roster.learn({ four }, start));
        EXPECT_TRUE(roster.forgetOld(start + Seconds { 61 }));
        EXPECT_EQ(roster.peers(), (std::vector { two }));
    }

    // Guards against reports to control instances that do not answer, or to more of them than are asked.
    TEST(FeedClient, NamesTheSourcesThatAnswer)
    {
        FeedClient client { {}, { one, two, three, four } };
        (void)client.tick(0, start);
        for (const auto& id : { one, two, four })
            (void)client.receive(id, replyOf(3, 5, 5), 3, start);
        EXPECT_EQ(client.chosen(start), (std::vector { one, two, four }));
    }

    // Guards against a router that stays with old routes because the control instances that it asks were cut off from
    // the others, while it could reach those (seen once on fivh-hutokor-grown, day hunt-9eab-7).
    TEST(FeedClient, LeavesControlInstancesThatHaveLostTheirLeader)
    {
        const std::vector<InstanceId> all { one, two, three, four, InstanceId { 5 }, InstanceId { 6 } };
        FeedClient client { {}, all };
        TimePoint now = start;
        (void)client.tick(0, now);
        for (const InstanceId id : all)
            (void)client.receive(id, replyOf(3, 5, 5), 3, now);
        const std::vector<InstanceId> first = client.chosen(now);
        ASSERT_EQ(first.size(), 3U);
        const std::set<InstanceId> behind { first.begin(), first.end() };
        // The three are cut off from the others now.
        for (int turn = 0; turn < 20; ++turn) {
            now += Milliseconds { 150 };
            for (const auto& [id, request] : client.tick(3, now)) {
                FeedReply reply = replyOf(behind.contains(id) ? 3 : 4, 5, 5);
                reply.confirmed = !behind.contains(id);
                (void)client.receive(id, reply, 3, now);
            }
        }
        for (const InstanceId id : client.chosen(now))
            EXPECT_FALSE(behind.contains(id)) << id.value;
        EXPECT_EQ(client.chosen(now).size(), 3U);
    }

} // namespace
} // namespace zinnia::feed
