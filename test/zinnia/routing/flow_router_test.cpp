#include "zinnia/routing/fixture.hpp"

#include <gtest/gtest.h>
#include <map>
#include <set>

namespace zinnia::routing::test {
namespace {

    using upstream::AnnouncedState;

    // Guards against an opening that cannot be answered and is not reset, so that its caller waits until its timeout.
    TEST(FlowRouter, ResetsAnOpeningWithoutRouteOrUpstream)
    {
        Fixture fixture { {} };
        const auto noUpstream = fixture.send(Fixture::openingOf(1));
        EXPECT_EQ(noUpstream.action, PacketAction::Reset);
        EXPECT_EQ(noUpstream.reason, RoutingReason::NoUpstream);
        const auto noRoute = fixture.send(Fixture::openingOf(2, { 0xC6120009, 443 }));
        EXPECT_EQ(noRoute.action, PacketAction::Reset);
        EXPECT_EQ(noRoute.reason, RoutingReason::NoRoute);
    }

    // Guards against a reset of a flow that is open at an upstream not yet known to this router.
    TEST(FlowRouter, NeverResetsAnUnknownToken)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a") } };
        const auto decision = fixture.send(Fixture::packetOf(1, RoutingToken { 77 }, 5, 5, 10));
        EXPECT_EQ(decision.action, PacketAction::Drop);
        EXPECT_EQ(decision.reason, RoutingReason::UnknownToken);
    }

    // Guards against flows that break when another router takes them over: the token alone has to suffice.
    TEST(FlowRouter, ForwardsAnUnknownFlowByItsToken)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a"), makeAnnouncement(2, "logger", "b") } };
        const auto decision = fixture.send(Fixture::packetOf(9, tokenOf(upstream::UpstreamNumber { 2 }), 5, 5, 10));
        ASSERT_EQ(decision.action, PacketAction::Forward);
        EXPECT_EQ(decision.upstream->announcement.number, upstream::UpstreamNumber { 2 });
    }

    // Guards against an opening that is sent to an upstream of another service.
    TEST(FlowRouter, OpensFlowsAtTheServiceOfTheRoute)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a"), makeAnnouncement(2, "archive", "a") } };
        for (std::uint16_t port = 1; port <= 50; ++port) {
            const auto decision = fixture.send(Fixture::openingOf(port, archiveAddress));
            ASSERT_EQ(decision.action, PacketAction::Forward);
            EXPECT_EQ(decision.upstream->announcement.service, "archive");
        }
    }

    // Guards against uneven load on the upstreams of a zone when many callers open flows.
    TEST(FlowRouter, SpreadsFlowsEvenlyOverTheOwnZone)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a"), makeAnnouncement(2, "logger", "a"),
            makeAnnouncement(3, "logger", "a"), makeAnnouncement(4, "logger", "b") } };
        std::map<std::uint64_t, int> flows;
        for (std::uint16_t port = 1; port <= 90; ++port)
            ++flows[fixture.send(Fixture::openingOf(port)).upstream->announcement.number.value];
        EXPECT_EQ(flows, (std::map<std::uint64_t, int> { { 1, 30 }, { 2, 30 }, { 3, 30 } }));
    }

    // Guards against refusals while another zone has usable upstreams, and against new flows to draining or cold ones.
    TEST(FlowRouter, UsesOtherZonesWhenTheOwnHasNoUsableUpstream)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a", AnnouncedState::Draining),
            makeAnnouncement(2, "logger", "a", AnnouncedState::Ready, 1, Milliseconds { 2000 }),
            makeAnnouncement(3, "logger", "b") } };
        EXPECT_EQ(fixture.send(Fixture::openingOf(1)).upstream->announcement.number, upstream::UpstreamNumber { 3 });
        fixture.now += Milliseconds { 2001 };
        EXPECT_EQ(fixture.send(Fixture::openingOf(2)).upstream->announcement.number, upstream::UpstreamNumber { 2 });
    }

    // Guards against new flows to a withdrawn zone, and against a burst of flows to upstreams that returned cold.
    TEST(FlowRouter, SendsNoNewFlowToAWithdrawnZoneAndWaitsAfterItsReturn)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a"), makeAnnouncement(2, "logger", "b") } };
        const RoutingToken open = fixture.open(1);
        ASSERT_EQ(open, tokenOf(upstream::UpstreamNumber { 1 }));
        EXPECT_TRUE(fixture.router.adopt(stateOf(2, { "a" }), fixture.now));
        EXPECT_EQ(fixture.send(Fixture::openingOf(2)).upstream->announcement.zone, "b");
        EXPECT_TRUE(fixture.router.adopt(stateOf(3), fixture.now));
        EXPECT_EQ(fixture.send(Fixture::openingOf(3)).upstream->announcement.zone, "b");
        fixture.now += Milliseconds { 2000 };
        EXPECT_EQ(fixture.send(Fixture::openingOf(4)).upstream->announcement.zone, "a");
    }

    // Guards against a router that reverts to an older state when a control instance lags behind.
    TEST(FlowRouter, AdoptsOnlyNewerStates)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a") } };
        EXPECT_TRUE(fixture.router.adopt(stateOf(5), fixture.now));
        EXPECT_FALSE(fixture.router.adopt(stateOf(4, { "a" }), fixture.now));
        EXPECT_FALSE(fixture.router.adopt(stateOf(5, { "a" }), fixture.now));
        EXPECT_EQ(fixture.send(Fixture::openingOf(1)).action, PacketAction::Forward);
    }

    // Guards against retransmitted openings that are sent to a crashed upstream again.
    TEST(FlowRouter, MovesARetransmittedOpeningAndAvoidsTheFirstUpstream)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a"), makeAnnouncement(2, "logger", "a") } };
        const FlowPacket opening = Fixture::openingOf(1);
        const auto first = fixture.send(opening).upstream->token;
        fixture.now += Milliseconds { 200 };
        const auto moved = fixture.send(opening);
        EXPECT_EQ(moved.reason, RoutingReason::CopyMoved);
        EXPECT_NE(moved.upstream->token, first);
        for (std::uint16_t port = 2; port <= 10; ++port)
            EXPECT_NE(fixture.send(Fixture::openingOf(port)).upstream->token, first);
    }

    // A network partition separates a router from all its upstreams, which are in other zones. Guards against callers
    // that wait in vain until their deadlines, and against a slow recovery after the partition.
    TEST(FlowRouter, RefusesAtOnceWhileEveryUpstreamIsDeadAndFindsTheirReturnSoon)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "b"), makeAnnouncement(2, "logger", "c") } };
        for (std::uint16_t port = 1; port <= 8; ++port)
            (void)fixture.open(port);
        int forwarded = 0;
        int refused = 0;
        std::uint16_t port = 9;
        for (; port <= 309; ++port) {
            fixture.now += Milliseconds { 10 };
            FlowPacket opening = Fixture::openingOf(port);
            opening.caller.address += port % 50;
            const bool isRefused = fixture.send(opening).action == PacketAction::Reset;
            (isRefused ? refused : forwarded) += port > 109 ? 1 : 0;
        }
        // `forwarded` and `refused` count the last 2 s, in which each upstream was retried at most every 0.25 s.
        EXPECT_LE(forwarded, 16);
        EXPECT_GE(refused, 180);
        // The partition ends: the next openings are answered.
        for (int i = 0; i < 30; ++i, ++port) {
            fixture.now += Milliseconds { 10 };
            const auto decision = fixture.send(Fixture::openingOf(port));
            if (decision.action == PacketAction::Forward)
                (void)fixture.send(Fixture::packetOf(port, decision.upstream->token, 1000U * port + 1, 500, 0));
        }
        EXPECT_EQ(fixture.send(Fixture::openingOf(port)).action, PacketAction::Forward);
    }

    // Guards against a flow that moves to an upstream that received another transmission of the opening and answered
    // late: callers return the token received last.
    TEST(FlowRouter, AFlowStaysWhereItWasOpenedWhenTwoUpstreamsAnswer)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a"), makeAnnouncement(2, "logger", "a") } };
        const RoutingToken first = fixture.send(Fixture::openingOf(1)).upstream->token;
        fixture.now += Milliseconds { 200 };
        const RoutingToken second = fixture.send(Fixture::openingOf(1)).upstream->token;
        ASSERT_NE(first, second);
        fixture.now += Milliseconds { 10 };
        EXPECT_EQ(fixture.send(Fixture::packetOf(1, second, 1001, 500, 0)).upstream->token, second);
        EXPECT_EQ(fixture.send(Fixture::packetOf(1, first, 1001, 500, 100)).upstream->token, second);
    }

    // Guards against a flow that moves to an upstream that received another transmission of the opening, when the
    // caller accepts the answer to the first transmission.
    TEST(FlowRouter, AFlowOpensWhereTheCallerEndsTheHandshake)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a"), makeAnnouncement(2, "logger", "a") } };
        const RoutingToken first = fixture.send(Fixture::openingOf(1)).upstream->token;
        fixture.now += Milliseconds { 200 };
        const RoutingToken second = fixture.send(Fixture::openingOf(1)).upstream->token;
        EXPECT_EQ(fixture.send(Fixture::packetOf(1, first, 1001, 500, 0)).upstream->token, first);
        EXPECT_EQ(fixture.send(Fixture::packetOf(1, second, 1001, 500, 100)).upstream->token, first);
    }

    // The machine of a crashed upstream resets every opening, which this router does not see. Guards against a crashed
    // upstream that receives all new flows because it has the fewest.
    TEST(FlowRouter, ACrashedUpstreamThatRefusesOpeningsReceivesFewNewFlows)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a"), makeAnnouncement(2, "logger", "a"),
            makeAnnouncement(3, "logger", "a") } };
        std::uint16_t port = 1;
        for (; port <= 30; ++port)
            (void)fixture.open(port);
        const RoutingToken crashed = tokenOf(upstream::UpstreamNumber { 1 });
        int sentToCrashed = 0;
        for (; port <= 230; ++port) {
            fixture.now += Milliseconds { 20 };
            FlowPacket opening = Fixture::openingOf(port);
            opening.caller.address += port % 50;
            const auto decision = fixture.send(opening);
            if (decision.upstream->token == crashed) {
                ++sentToCrashed;
                continue;
            }
            fixture.now += Milliseconds { 8 };
            FlowPacket handshakeEnd = Fixture::packetOf(port, decision.upstream->token, 1000U * port + 1, 500, 0);
            handshakeEnd.caller = opening.caller;
            (void)fixture.send(handshakeEnd);
        }
        // In 5.6 s: a few before the first answer is overdue, then one at each retry, after 0.5, 1, 2 and 4 s.
        EXPECT_LE(sentToCrashed, 8);
    }

    // Guards against requests that are forwarded in open flows of an upstream that answers no opening, as its machine
    // is gone: the health check that the first one triggers fails.
    TEST(FlowRouter, ResetsTheFlowsOfAnUpstreamThatAnswersNoOpening)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a"), makeAnnouncement(2, "logger", "a") } };
        std::map<RoutingToken, std::uint16_t> flowOf;
        for (std::uint16_t port = 1; port <= 20; ++port)
            flowOf[fixture.open(port)] = port;
        const auto openAt = [&](std::uint16_t port) {
            FlowPacket opening = Fixture::openingOf(port);
            opening.caller.address += port;
            return fixture.send(opening).upstream->token;
        };
        const RoutingToken dead = tokenOf(upstream::UpstreamNumber { 1 });
        const RoutingToken alive = tokenOf(upstream::UpstreamNumber { 2 });
        std::uint32_t acknowledged = 600;
        std::vector<FlowReset> resets;
        std::map<RoutingToken, TimePoint> checkEnds;
        const TimePoint start = fixture.now;
        // The second upstream answers requests of an earlier flow; the first answers none.
        for (std::uint16_t port = 21; resets.empty() && port <= 121; ++port) {
            fixture.now += Milliseconds { 20 };
            (void)openAt(port);
            (void)fixture.send(Fixture::packetOf(flowOf[alive], alive, 30000, acknowledged++, 0));
            fixture.router.checkOverdueAnswers(fixture.now);
            for (const HealthCheck& check : fixture.router.takeHealthChecks())
                checkEnds.emplace(check.token, fixture.now + check.timeout);
            for (const auto& [token, end] : checkEnds) {
                if (end <= fixture.now)
                    fixture.router.finishHealthCheck(token, token != dead, fixture.now);
            }
            std::erase_if(checkEnds, [&](const auto& item) { return item.second <= fixture.now; });
            resets = fixture.router.takeResets();
        }
        EXPECT_EQ(resets.size(), 10U);
        for (const auto& reset : resets)
            EXPECT_EQ(tokenOf(reset.upstream), dead);
        EXPECT_LT(fixture.now - start, Milliseconds { 800 });
    }

    // Guards against resets of healthy flows when the platform changes the set of routers: some handshakes are then
    // completed through another router.
    TEST(FlowRouter, HandshakesCompletedThroughAnotherRouterMarkNoUpstreamAsDead)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a") } };
        for (std::uint16_t port = 1; port <= 10; ++port)
            (void)fixture.open(port);
        std::uint16_t port = 11;
        for (; port <= 14; ++port) {
            fixture.now += Milliseconds { 2 };
            FlowPacket opening = Fixture::openingOf(port);
            opening.caller.address += port;
            (void)fixture.send(opening);
        }
        for (int i = 0; i < 100; ++i, ++port) {
            fixture.now += Milliseconds { 20 };
            (void)fixture.open(port);
            EXPECT_TRUE(fixture.router.takeResets().empty());
        }
    }

    // Guards against a router that considers all upstreams failed after a pause of its own process.
    TEST(FlowRouter, ClearsFailuresAfterAProcessPause)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a"), makeAnnouncement(2, "logger", "b") } };
        (void)fixture.send(Fixture::openingOf(1));
        fixture.now += Milliseconds { 400 };
        fixture.router.clearFailures();
        EXPECT_EQ(fixture.send(Fixture::openingOf(2)).upstream->announcement.zone, "a");
    }

    // Guards against a crashed upstream that is selected again because openings are rare.
    TEST(FlowRouter, AvoidsAnUnresponsiveUpstreamAlsoAtLowTraffic)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a"), makeAnnouncement(2, "logger", "b") } };
        (void)fixture.send(Fixture::openingOf(1));
        fixture.now += Milliseconds { 400 };
        EXPECT_EQ(fixture.send(Fixture::openingOf(2)).upstream->announcement.zone, "b");
    }

    // Guards against a delayed transmission of an opening that assigns a second upstream to an open flow.
    TEST(FlowRouter, ADelayedOpeningFollowsTheOpenFlow)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a"), makeAnnouncement(2, "logger", "a") } };
        const RoutingToken token = fixture.open(1);
        const auto delayed = fixture.send(Fixture::openingOf(1));
        EXPECT_EQ(delayed.action, PacketAction::Forward);
        EXPECT_EQ(delayed.upstream->token, token);
    }

    // Guards against callers of a dead upstream that wait until their deadline, and against resets of flows while the
    // upstream still answers other callers.
    TEST(FlowRouter, ResetsFlowsOfAnUpstreamThatAnswersNoCaller)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a") } };
        const RoutingToken token = fixture.open(1);
        ASSERT_EQ(fixture.open(2), token);
        ASSERT_EQ(fixture.open(3), token);
        fixture.now += Milliseconds { 100 };
        EXPECT_EQ(fixture.send(Fixture::packetOf(1, token, 1001, 500, 100)).action, PacketAction::Forward);
        EXPECT_EQ(fixture.send(Fixture::packetOf(2, token, 2001, 500, 100)).action, PacketAction::Forward);
        fixture.now += Milliseconds { 100 };
        // The third flow is answered, so the first retransmissions indicate lost packets, not a dead upstream.
        (void)fixture.send(Fixture::packetOf(3, token, 3001, 600, 0));
        fixture.now += Milliseconds { 100 };
        EXPECT_EQ(fixture.send(Fixture::packetOf(1, token, 1001, 500, 100)).action, PacketAction::Forward);
        EXPECT_EQ(fixture.send(Fixture::packetOf(2, token, 2001, 500, 100)).action, PacketAction::Forward);
        // New requests, without any answer from now on.
        (void)fixture.send(Fixture::packetOf(1, token, 1001, 700, 0));
        (void)fixture.send(Fixture::packetOf(2, token, 2001, 700, 0));
        fixture.now += Milliseconds { 10 };
        (void)fixture.send(Fixture::packetOf(1, token, 1101, 700, 100));
        (void)fixture.send(Fixture::packetOf(2, token, 2101, 700, 100));
        fixture.now += Milliseconds { 200 };
        (void)fixture.router.takeHealthChecks();
        EXPECT_EQ(fixture.send(Fixture::packetOf(1, token, 1101, 700, 100)).action, PacketAction::Forward);
        EXPECT_EQ(fixture.send(Fixture::packetOf(2, token, 2101, 700, 100)).action, PacketAction::Forward);
        const auto checks = fixture.router.takeHealthChecks();
        ASSERT_EQ(checks.size(), 1U) << "the check of the first retransmissions does not delay this one";
        EXPECT_TRUE(fixture.router.takeResets().empty());
        fixture.now += checks.front().timeout;
        fixture.router.finishHealthCheck(token, false, fixture.now);
        EXPECT_EQ(fixture.router.takeResets().size(), 3U);
        const auto dead = fixture.send(Fixture::packetOf(2, token, 2101, 700, 100));
        EXPECT_EQ(dead.action, PacketAction::Reset);
        EXPECT_EQ(dead.reason, RoutingReason::UpstreamDead);
    }

    // Guards against non-idempotent requests on idle flows of an upstream known to be dead: their outcome would be
    // unknown, while a new flow could serve them.
    TEST(FlowRouter, ResetsTheIdleFlowsOfADeadUpstreamToo)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a") } };
        RoutingToken token;
        for (std::uint16_t port = 1; port <= 10; ++port)
            token = fixture.open(port);
        fixture.now += Milliseconds { 10 };
        for (const std::uint16_t port : { 1, 2 })
            (void)fixture.send(Fixture::packetOf(port, token, 1000U * port + 1, 500, 100));
        EXPECT_TRUE(fixture.router.takeResets().empty());
        fixture.now += Milliseconds { 200 };
        (void)fixture.send(Fixture::packetOf(1, token, 1001, 500, 100));
        (void)fixture.send(Fixture::packetOf(2, token, 2001, 500, 100));
        EXPECT_EQ(fixture.router.takeHealthChecks().size(), 1U);
        fixture.router.finishHealthCheck(token, false, fixture.now);
        const auto resets = fixture.router.takeResets();
        EXPECT_EQ(resets.size(), 10U);
        for (const auto& reset : resets)
            EXPECT_EQ(reset.acknowledged, 500U);
        EXPECT_EQ(fixture.router.flowCount(), 0U);
    }

    // Guards against a router that reads several transmissions of a packet at once after a pause of its process, and
    // considers every upstream dead.
    TEST(FlowRouter, TransmissionsReadTogetherMarkNoUpstreamAsDead)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a") } };
        const RoutingToken token = fixture.open(1);
        (void)fixture.open(2);
        fixture.now += Seconds { 4 };
        for (int transmission = 0; transmission < 4; ++transmission) {
            for (const std::uint16_t port : { 1, 2 })
                EXPECT_EQ(fixture.send(Fixture::packetOf(port, token, 1000U * port + 1, 500, 100)).action,
                    PacketAction::Forward);
        }
    }

    // Guards against resets and dropped packets while a newly started router does not know all routes and upstreams.
    TEST(FlowRouter, HoldsPacketsUntilSynchronized)
    {
        FlowRouter router { Fixture::settingsOf(1) };
        const TimePoint now { Seconds { 1000 } };
        const RoutingToken token = tokenOf(upstream::UpstreamNumber { 1 });
        EXPECT_EQ(router.route(Fixture::openingOf(1), now).action, PacketAction::Hold);
        EXPECT_EQ(router.route(Fixture::packetOf(2, token, 5, 5, 10), now).action, PacketAction::Hold);
        (void)router.adopt(stateOf(1), now);
        EXPECT_EQ(router.route(Fixture::openingOf(1), now).action, PacketAction::Hold);
        (void)router.merge({ makeAnnouncement(1, "logger", "a") }, now);
        EXPECT_EQ(router.route(Fixture::openingOf(1), now).action, PacketAction::Forward);
        EXPECT_EQ(router.route(Fixture::openingOf(3, { 0xC6120009, 443 }), now).action, PacketAction::Hold);
        router.setSynchronized();
        EXPECT_EQ(router.route(Fixture::openingOf(3, { 0xC6120009, 443 }), now).action, PacketAction::Reset);
    }

    // Guards against forwarding packets to an upstream that has left, so that its callers wait: a check is requested at
    // once, and its failure resets the flows, before or with their next packet.
    TEST(FlowRouter, ResetsFlowsOfADepartedUpstream)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a") } };
        const RoutingToken token = fixture.open(1);
        (void)fixture.open(2);
        (void)fixture.router.merge({ makeAnnouncement(1, "logger", "a", AnnouncedState::Draining, 2) }, fixture.now);
        EXPECT_EQ(fixture.send(Fixture::packetOf(1, token, 1001, 500, 100)).action, PacketAction::Forward);
        (void)fixture.router.merge({ makeAnnouncement(1, "logger", "a", AnnouncedState::Gone,
                                       upstream::AnnouncementVersion::departureSequence) },
            fixture.now);
        ASSERT_EQ(fixture.router.takeHealthChecks().size(), 1U);
        EXPECT_EQ(fixture.send(Fixture::packetOf(1, token, 1101, 500, 100)).action, PacketAction::Forward);
        fixture.router.finishHealthCheck(token, false, fixture.now);
        EXPECT_EQ(fixture.router.takeResets().size(), 2U);
        EXPECT_EQ(fixture.send(Fixture::packetOf(3, token, 3101, 500, 100)).reason, RoutingReason::UpstreamGone);
    }

    // Guards against a departure that was refused, or sent by another writer, and ends the flows of a living upstream.
    TEST(FlowRouter, ADepartedUpstreamThatIsReachableKeepsItsFlows)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a") } };
        const RoutingToken token = fixture.open(1);
        (void)fixture.router.merge({ makeAnnouncement(1, "logger", "a", AnnouncedState::Gone,
                                       upstream::AnnouncementVersion::departureSequence) },
            fixture.now);
        for (std::uint32_t i = 0; i < 5; ++i) {
            fixture.router.finishHealthCheck(token, true, fixture.now);
            fixture.now += Milliseconds { 600 };
            const auto decision = fixture.send(Fixture::packetOf(1, token, 1101 + 100 * i, 500 + i, 100));
            EXPECT_EQ(decision.action, PacketAction::Forward) << i;
            EXPECT_FALSE(fixture.router.takeHealthChecks().empty()) << i;
        }
        EXPECT_TRUE(fixture.router.takeResets().empty());
        EXPECT_EQ(fixture.send(Fixture::openingOf(9)).action, PacketAction::Reset);
    }

    // Guards against flow counts that grow without bound and keep an upstream from being selected.
    TEST(FlowRouter, RemovesFinishedAndIdleFlows)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a") } };
        for (std::uint16_t port = 1; port <= 20; ++port) {
            const RoutingToken token = fixture.open(port);
            FlowPacket last = Fixture::packetOf(port, token, 1000U * port + 1, 500, 0);
            last.fin = port % 2 == 0;
            (void)fixture.send(last);
        }
        const auto& upstreams = fixture.router.directory().all();
        EXPECT_EQ(upstreams.begin()->second.flows, 10U);
        fixture.now += Seconds { 16 };
        fixture.router.expire(fixture.now);
        EXPECT_EQ(fixture.router.flowCount(), 0U);
        EXPECT_EQ(upstreams.begin()->second.flows, 0U);
    }

    // Guards against new flows to a silent upstream while others announce themselves, and against refusals if none
    // does.
    TEST(FlowRouter, UsesSilentUpstreamsOnlyIfThereIsNoOther)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a", AnnouncedState::Silent),
            makeAnnouncement(2, "logger", "b") } };
        EXPECT_EQ(fixture.send(Fixture::openingOf(1)).upstream->announcement.number, upstream::UpstreamNumber { 2 });
        (void)fixture.router.merge({ makeAnnouncement(2, "logger", "b", AnnouncedState::Silent) }, fixture.now);
        EXPECT_EQ(fixture.send(Fixture::openingOf(2)).action, PacketAction::Forward);
    }

    // Guards against routers that ignore a departure in doubt, as it has the version of the last announcement, or that
    // do not use the upstream again when an announcement shows that it has not left.
    TEST(UpstreamDirectory, ADepartureInDoubtLastsUntilTheNextAnnouncement)
    {
        UpstreamDirectory directory;
        const TimePoint now { Seconds { 1000 } };
        const auto stateAfter = [&](AnnouncedState state, std::uint64_t sequence) {
            const auto announcement = makeAnnouncement(1, "logger", "a", state, sequence);
            (void)directory.merge({ announcement }, now);
            return directory.all().begin()->second.announcement.state;
        };
        EXPECT_EQ(stateAfter(AnnouncedState::Ready, 4), AnnouncedState::Ready);
        EXPECT_EQ(stateAfter(AnnouncedState::Draining, 4), AnnouncedState::Draining);
        EXPECT_EQ(stateAfter(AnnouncedState::Ready, 4), AnnouncedState::Draining);
        EXPECT_EQ(stateAfter(AnnouncedState::Silent, 4), AnnouncedState::Draining);
        EXPECT_EQ(stateAfter(AnnouncedState::Ready, 5), AnnouncedState::Ready);
    }

    // A zone is withdrawn while the upstreams of the others drain and have stopped their announcements. Guards against
    // flows that are opened at a leaving upstream (soak seed 903).
    TEST(FlowRouter, RefusesRatherThanUseADrainingUpstreamThatIsReportedSilent)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a"), makeAnnouncement(2, "logger", "b") } };
        (void)fixture.router.merge({ makeAnnouncement(2, "logger", "b", AnnouncedState::Draining, 5) }, fixture.now);
        (void)fixture.router.merge({ makeAnnouncement(2, "logger", "b", AnnouncedState::Silent, 5) }, fixture.now);
        (void)fixture.router.merge({ makeAnnouncement(2, "logger", "b", AnnouncedState::Silent, 6) }, fixture.now);
        (void)fixture.router.adopt(stateOf(2, { "a" }), fixture.now);
        const auto decision = fixture.send(Fixture::openingOf(1));
        EXPECT_EQ(decision.action, PacketAction::Reset);
        EXPECT_EQ(decision.reason, RoutingReason::NoUpstream);
    }

    /** @brief Sends a request and its first retransmission 200 ms later. @return The decision on the latter. */
    RoutingDecision sendAndRetransmit(Fixture& fixture, std::uint16_t port, RoutingToken token)
    {
        fixture.now += Milliseconds { 5 };
        (void)fixture.send(Fixture::packetOf(port, token, 1000U * port + 1, 500, 100));
        fixture.now += Milliseconds { 200 };
        return fixture.send(Fixture::packetOf(port, token, 1000U * port + 1, 500, 100));
    }

    // Many routers have one flow each at an upstream that crashes. Guards against callers that exceed their deadline
    // because no router alone sees enough retransmissions to detect the failure.
    TEST(FlowRouter, OneRetransmissionAndAFailedHealthCheckShowADeadUpstream)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a"), makeAnnouncement(2, "logger", "b") } };
        const RoutingToken token = fixture.open(1);
        ASSERT_EQ(token, tokenOf(upstream::UpstreamNumber { 1 }));
        (void)fixture.open(2);
        EXPECT_TRUE(fixture.router.takeHealthChecks().empty());
        EXPECT_EQ(sendAndRetransmit(fixture, 1, token).action, PacketAction::Forward);
        const auto checks = fixture.router.takeHealthChecks();
        ASSERT_EQ(checks.size(), 1U);
        EXPECT_EQ(checks.front().address, (Endpoint { 0x0A000001, 8080 }));
        EXPECT_GE(checks.front().timeout, FlowRouterSettings {}.minHealthCheckTimeout);
        fixture.now += checks.front().timeout;
        fixture.router.finishHealthCheck(token, false, fixture.now);
        EXPECT_EQ(fixture.router.takeResets().size(), 2U) << "the idle flow is reset too";
        EXPECT_EQ(fixture.router.takeHealthChanges().front().cause, SuspicionCause::Unreachable);
        EXPECT_EQ(fixture.send(Fixture::openingOf(3)).upstream->announcement.number, upstream::UpstreamNumber { 2 });
        // A flow opened at this upstream by another router.
        EXPECT_EQ(fixture.send(Fixture::packetOf(9, token, 5, 5, 10)).action, PacketAction::Reset);
    }

    // Guards against a live upstream whose flows are reset because of one lost packet.
    TEST(FlowRouter, AConnectionOrAnAnswerEndsTheSuspicion)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a") } };
        const RoutingToken token = fixture.open(1);
        (void)sendAndRetransmit(fixture, 1, token);
        fixture.router.finishHealthCheck(token, true, fixture.now);
        EXPECT_TRUE(fixture.router.takeResets().empty());
        EXPECT_EQ(fixture.send(Fixture::openingOf(2)).action, PacketAction::Forward);
        fixture.now += Milliseconds { 500 };
        (void)fixture.send(Fixture::packetOf(1, token, 1001, 500, 100));
        ASSERT_EQ(fixture.router.takeHealthChecks().size(), 2U) << "requested again after the minimum interval";
        // The answer arrives while the health check is in progress, and the check fails nevertheless.
        (void)fixture.send(Fixture::packetOf(1, token, 1101, 700, 0));
        fixture.router.finishHealthCheck(token, false, fixture.now);
        EXPECT_TRUE(fixture.router.takeResets().empty());
    }

    // Guards against an upstream that is avoided permanently, and against flows that are reset on stale evidence after
    // a network partition, while the upstream still serves them.
    TEST(FlowRouter, AnUnreachableUpstreamIsUsedAgainOnceItAcceptsAConnection)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a"), makeAnnouncement(2, "logger", "b") } };
        const RoutingToken token = fixture.open(1);
        (void)sendAndRetransmit(fixture, 1, token);
        fixture.router.finishHealthCheck(token, false, fixture.now);
        (void)fixture.router.takeHealthChecks();
        (void)fixture.router.takeHealthChanges();
        fixture.now += FlowRouterSettings {}.failedHealthCheckValidity;
        EXPECT_EQ(fixture.send(Fixture::packetOf(9, token, 5, 5, 10)).action, PacketAction::Forward);
        ASSERT_EQ(fixture.router.takeHealthChecks().size(), 1U);
        EXPECT_EQ(fixture.send(Fixture::openingOf(2)).upstream->announcement.number, upstream::UpstreamNumber { 2 });
        fixture.router.finishHealthCheck(token, true, fixture.now);
        EXPECT_EQ(fixture.router.takeHealthChanges().front().cause, SuspicionCause::None);
        EXPECT_EQ(fixture.send(Fixture::openingOf(3)).upstream->announcement.number, upstream::UpstreamNumber { 1 });
    }

    // Guards against too many health checks while the upstreams of a zone are dead and many callers open flows.
    TEST(FlowRouter, BacksOffHealthChecksOfAnUpstream)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a"), makeAnnouncement(2, "logger", "b") } };
        const RoutingToken token = fixture.open(1);
        (void)sendAndRetransmit(fixture, 1, token);
        int checks = 0;
        for (std::uint16_t port = 100; port < 1100; ++port) {
            for (const HealthCheck& check : fixture.router.takeHealthChecks()) {
                if (check.token == token) {
                    ++checks;
                    fixture.router.finishHealthCheck(token, false, fixture.now);
                }
            }
            fixture.now += Milliseconds { 10 };
            (void)fixture.open(port);
        }
        EXPECT_GE(checks, 3);
        EXPECT_LE(checks, 6) << "in 15 s: at 0, 1, 3, 7 and 11 s";
    }

    // Many routers have idle flows at an upstream that dies. Guards against non-idempotent requests that detect it one
    // by one, and against routers that trust the report of a partitioned router without a health check of their own.
    TEST(FlowRouter, ChecksAnUpstreamThatAnotherRouterSuspects)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a") } };
        const RoutingToken token = fixture.open(1);
        const upstream::UpstreamNumber number { 1 };
        fixture.now += Milliseconds { 300 };
        fixture.router.handleSuspicion({ number, Milliseconds { 50 } }, fixture.now);
        EXPECT_EQ(fixture.router.takeHealthChecks().size(), 1U);
        EXPECT_TRUE(fixture.router.takeResets().empty());
        fixture.now += Milliseconds { 150 };
        fixture.router.handleSuspicion({ number, Milliseconds { 201 } }, fixture.now);
        EXPECT_TRUE(fixture.router.takeHealthChecks().empty()) << "the same suspicion was reported again";
        fixture.router.finishHealthCheck(token, false, fixture.now);
        EXPECT_EQ(fixture.router.takeResets().size(), 1U);
        EXPECT_EQ(fixture.router.takeUnreachable(), std::vector { number });
    }

    // Guards against health checks of an upstream that has answered since it was suspected.
    TEST(FlowRouter, IgnoresASuspicionOlderThanAnAnswer)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a") } };
        (void)fixture.open(1);
        fixture.router.handleSuspicion({ upstream::UpstreamNumber { 1 }, Milliseconds { 20 } }, fixture.now);
        EXPECT_TRUE(fixture.router.takeHealthChecks().empty());
    }

    // The process of an upstream dies, and its machine refuses the packets of its flows, so that callers do not
    // retransmit. Guards against a failure that is detected only by the next opening.
    TEST(FlowRouter, ChecksAnUpstreamWhoseAnswerIsOverdue)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a") } };
        const RoutingToken token = fixture.open(1);
        (void)fixture.open(2);
        const auto request = [&](std::uint16_t port, std::uint32_t number) {
            fixture.now += Milliseconds { 5 };
            (void)fixture.send(
                Fixture::packetOf(port, token, 1000U * port + 1 + number * 100, 500 + number * 2000, 100));
        };
        request(1, 0);
        fixture.now += Milliseconds { 25 };
        (void)fixture.send(Fixture::packetOf(1, token, 1101, 2500, 0));
        request(1, 1);
        // The caller of the other flow acknowledges an answer only with its next request.
        request(2, 0);
        fixture.now += Milliseconds { 90 };
        fixture.router.checkOverdueAnswers(fixture.now);
        EXPECT_TRUE(fixture.router.takeHealthChecks().empty()) << "answers may take several times the mean";
        fixture.now += Milliseconds { 10 };
        fixture.router.checkOverdueAnswers(fixture.now);
        EXPECT_EQ(fixture.router.takeHealthChecks().size(), 1U);
        fixture.now += Milliseconds { 50 };
        fixture.router.checkOverdueAnswers(fixture.now);
        EXPECT_TRUE(fixture.router.takeHealthChecks().empty()) << "the minimum interval has not elapsed";
    }

    // Guards against health checks of upstreams whose callers do not acknowledge answers before the next request.
    TEST(FlowRouter, ChecksNoUpstreamWhoseCallersAcknowledgeLate)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a") } };
        const RoutingToken token = fixture.open(1);
        fixture.now += Milliseconds { 5 };
        (void)fixture.send(Fixture::packetOf(1, token, 1001, 500, 100));
        fixture.now += Milliseconds { 900 };
        fixture.router.checkOverdueAnswers(fixture.now);
        EXPECT_TRUE(fixture.router.takeHealthChecks().empty());
    }

    // Guards against an unanswered opening at a dead upstream that is noticed only at the next opening.
    TEST(FlowRouter, ChecksAnUpstreamThatLeavesAnOpeningUnanswered)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a") } };
        (void)fixture.send(Fixture::openingOf(1));
        fixture.now += FlowRouterSettings {}.maxHandshakeTimeout + Milliseconds { 1 };
        fixture.router.checkOverdueAnswers(fixture.now);
        EXPECT_EQ(fixture.router.takeHealthChecks().size(), 1U);
    }

} // namespace
} // namespace zinnia::routing::test
