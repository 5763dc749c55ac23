#include "zinnia/feed/control_peer_table.hpp"
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
        reply.hasLeader = true;
        reply.revision = revision;
        reply.tableEpoch = Epoch { 9 };
        reply.change = change;
        reply.lastChange = lastChange;
        return reply;
    }

    std::set<InstanceId> polledControls(const std::vector<OutgoingRequest>& requests)
    {
        std::set<InstanceId> result;
        for (const auto& request : requests)
            result.insert(request.control);
        return result;
    }

    // Guards against a router that waits 1 s for its first routing state after a restart of all instances.
    TEST(FeedClient, PollsAllSeedsAtAShortIntervalWhileNoneAnswers)
    {
        FeedClient client { {}, { one, two, three } };
        EXPECT_EQ(polledControls(client.tick(0, start)), (std::set { one, two, three }));
        EXPECT_EQ(polledControls(client.tick(0, start + Milliseconds { 100 })), (std::set { one, two, three }));
    }

    // Guards against replies that arrive late, twice or after a restart: they would show a leader that is lost, and
    // move the change number back.
    TEST(FeedClient, IgnoresRepliesThatWereOvertaken)
    {
        FeedClient client { {}, { one } };
        (void)client.tick(0, start);
        (void)client.tick(0, start + Milliseconds { 100 });
        FeedReply second = replyOf(3, 5, 5);
        second.number = 2;
        (void)client.receive(one, second, 3, start + Milliseconds { 110 });
        FeedReply first = replyOf(3, 1, 5);
        first.number = 1;
        EXPECT_FALSE(client.receive(one, first, 3, start + Milliseconds { 2000 }));
        FeedReply ofEarlierStart = replyOf(3, 1, 1);
        ofEarlierStart.number = 500;
        EXPECT_FALSE(client.receive(one, ofEarlierStart, 3, start + Milliseconds { 2000 }));
        EXPECT_EQ(client.lastConfirmedAt(), start + Milliseconds { 110 });
        EXPECT_EQ(client.tick(3, start + Milliseconds { 2000 }).front().request.change, 5U);
    }

    // Guards against a router that reports ready before it has received every announcement.
    TEST(FeedClient, IsSynchronizedOnlyAfterACompleteReplyOfAnInstanceWithALeader)
    {
        FeedClient client { {}, { one } };
        (void)client.tick(0, start);
        FeedReply leaderless = replyOf(3, 5, 5);
        leaderless.hasLeader = false;
        EXPECT_FALSE(client.receive(one, leaderless, 3, start));
        EXPECT_FALSE(client.isSynchronized());
        const auto more = client.receive(one, replyOf(3, 2, 5), 3, start);
        ASSERT_TRUE(more);
        EXPECT_EQ(more->request.change, 2U);
        EXPECT_FALSE(client.isSynchronized());
        EXPECT_FALSE(client.receive(one, replyOf(3, 5, 5), 3, start));
        EXPECT_TRUE(client.isSynchronized());
        EXPECT_TRUE(client.hasLeaderContact(start + Milliseconds { 2500 }));
        EXPECT_FALSE(client.hasLeaderContact(start + Milliseconds { 2501 }));
    }

    // Guards against restarted routers that never become ready in a partitioned zone.
    TEST(FeedClient, AcceptsStateWithoutALeaderAfterADelay)
    {
        FeedClient client { {}, { one } };
        FeedReply leaderless = replyOf(3, 5, 5);
        leaderless.hasLeader = false;
        (void)client.receive(one, leaderless, 3, start);
        (void)client.receive(one, leaderless, 3, start + Milliseconds { 2999 });
        EXPECT_FALSE(client.isSynchronized());
        (void)client.receive(one, leaderless, 3, start + Milliseconds { 3000 });
        EXPECT_TRUE(client.isSynchronized());
        EXPECT_FALSE(client.hasLeaderContact(start + Milliseconds { 3000 }));
    }

    // Guards against reliance on a single control instance, which may be partitioned without knowing it.
    TEST(FeedClient, PollsAnsweringInstancesInTurnAndUnresponsiveOnesRarely)
    {
        FeedClient client { {}, { one, two, three } };
        (void)client.tick(0, start);
        for (const InstanceId id : { one, two })
            (void)client.receive(id, replyOf(3, 1, 1), 3, start);
        EXPECT_EQ(polledControls(client.tick(3, start + Milliseconds { 150 })), (std::set { one }));
        EXPECT_EQ(polledControls(client.tick(3, start + Milliseconds { 300 })), (std::set { two }));
        EXPECT_EQ(polledControls(client.tick(3, start + Milliseconds { 1000 })), (std::set { one, three }));
    }

    // Guards against routers that all poll the same few control instances.
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

    // Guards against a router that loses contact when all its seeds are replaced.
    TEST(FeedClient, AddsInstancesNamedInReplies)
    {
        FeedClient client { {}, { one } };
        (void)client.tick(0, start);
        FeedReply reply = replyOf(3, 1, 1);
        reply.controls = { one, four };
        (void)client.receive(one, reply, 3, start);
        EXPECT_TRUE(polledControls(client.tick(3, start + Milliseconds { 1000 })).contains(four));
    }

    // Guards against a restarted control instance that is not sent the announcements of its peers.
    TEST(ControlPeerTable, DistinguishesARestartFromAReturn)
    {
        ControlPeerTable table { {}, one, { one, two, three }, start };
        EXPECT_EQ(table.peers(), (std::vector { two, three }));
        EXPECT_EQ(table.recordMessage(two, Epoch { 1 }, start), PeerChange::Appeared);
        EXPECT_EQ(table.recordMessage(two, Epoch { 1 }, start), PeerChange::Known);
        EXPECT_EQ(table.recordMessage(two, Epoch { 2 }, start), PeerChange::Restarted);
        EXPECT_EQ(table.recordMessage(two, Epoch { 2 }, start + Seconds { 3 }), PeerChange::Returned);
        EXPECT_EQ(table.live(start + Seconds { 3 }), (std::vector { one, two }));
    }

    // Guards against gossip that is sent forever to peers that are gone for good.
    TEST(ControlPeerTable, RemovesExpiredPeersExceptSeeds)
    {
        ControlPeerTable table { {}, one, { two }, start };
        EXPECT_TRUE(table.addPeers({ four }, start));
        EXPECT_TRUE(table.removeExpired(start + Seconds { 61 }));
        EXPECT_EQ(table.peers(), (std::vector { two }));
    }

    // Guards against reports to control instances that do not answer, or to more of them than are polled.
    TEST(FeedClient, SelectsTheInstancesThatAnswer)
    {
        FeedClient client { {}, { one, two, three, four } };
        (void)client.tick(0, start);
        for (const auto& id : { one, two, four })
            (void)client.receive(id, replyOf(3, 5, 5), 3, start);
        EXPECT_EQ(client.selectedControls(start), (std::vector { one, two, four }));
    }

    // Guards against a router that keeps stale routes because a network partition separates the control instances that
    // it polls from the others, which it could still reach (observed once in run hunt-9eab-7 on fivh-hutokor-grown).
    TEST(FeedClient, SwitchesFromControlInstancesWithoutALeader)
    {
        const std::vector<InstanceId> all { one, two, three, four, InstanceId { 5 }, InstanceId { 6 } };
        FeedClient client { {}, all };
        TimePoint now = start;
        (void)client.tick(0, now);
        for (const InstanceId id : all)
            (void)client.receive(id, replyOf(3, 5, 5), 3, now);
        const std::vector<InstanceId> first = client.selectedControls(now);
        ASSERT_EQ(first.size(), 3U);
        const std::set<InstanceId> partitioned { first.begin(), first.end() };
        // A partition now separates these three from the others.
        for (int turn = 0; turn < 20; ++turn) {
            now += Milliseconds { 150 };
            for (const auto& [id, request] : client.tick(3, now)) {
                FeedReply reply = replyOf(partitioned.contains(id) ? 3 : 4, 5, 5);
                reply.hasLeader = !partitioned.contains(id);
                (void)client.receive(id, reply, 3, now);
            }
        }
        for (const InstanceId id : client.selectedControls(now))
            EXPECT_FALSE(partitioned.contains(id)) << id.value;
        EXPECT_EQ(client.selectedControls(now).size(), 3U);
    }

    // Guards against a router that polls only control instances without a leader because the others have not answered
    // for a while: it had no reason to poll them before the partition.
    TEST(FeedClient, PollsInstancesNotPolledBeforeWhenThePolledOnesLoseTheirLeader)
    {
        const std::vector<InstanceId> all { one, two, three, four, InstanceId { 5 }, InstanceId { 6 } };
        FeedClient client { {}, all };
        TimePoint now = start;
        std::set<InstanceId> partitioned;
        const auto pollFor = [&](Milliseconds duration) {
            for (const TimePoint end = now + duration; now < end; now += Milliseconds { 150 }) {
                for (const auto& [id, request] : client.tick(3, now)) {
                    FeedReply reply = replyOf(3, 5, 5);
                    reply.hasLeader = !partitioned.contains(id);
                    (void)client.receive(id, reply, 3, now);
                }
            }
        };
        pollFor(Seconds { 10 });
        const std::vector<InstanceId> polled = client.selectedControls(now);
        ASSERT_EQ(polled.size(), 3U) << "the others have not answered for a while";
        partitioned = { polled.begin(), polled.end() };
        pollFor(Seconds { 3 });
        for (const InstanceId id : client.selectedControls(now))
            EXPECT_FALSE(partitioned.contains(id)) << id.value;
        EXPECT_EQ(client.selectedControls(now).size(), 3U);
    }

    // Guards against a zone that is reported as changed with each message, or kept for a peer that is not known.
    TEST(ControlPeerTable, KeepsTheZonesOfKnownPeers)
    {
        ControlPeerTable table { {}, one, { two }, start };
        EXPECT_EQ(table.zoneOf(two), "");
        EXPECT_TRUE(table.recordZone(two, "a"));
        EXPECT_FALSE(table.recordZone(two, "a"));
        EXPECT_EQ(table.zoneOf(two), "a");
        EXPECT_TRUE(table.recordZone(two, "b"));
        EXPECT_FALSE(table.recordZone(three, "a"));
        EXPECT_EQ(table.zoneOf(three), "");
    }

} // namespace
} // namespace zinnia::feed
