#include "zinnia/routing/fixture.hpp"
#include "zinnia/routing/upload_admission.hpp"

#include <gtest/gtest.h>

namespace zinnia::routing::test {
namespace {

    constexpr std::uint64_t rate = 200'000; // bytes per second

    // Guards against uploads that are accepted although the link is busy until after their deadline.
    TEST(UploadAdmission, RefusesUploadsThatTheLinkCannotCarryInTime)
    {
        UploadAdmission admission { { .bytesPerSecond = rate, .maxUploadTime = Milliseconds { 2000 } } };
        EXPECT_TRUE(admission.admits(routeAddress, 100)) << "sizes not known yet";
        for (int i = 0; i < 20; ++i) {
            admission.recordRequest(routeAddress, 40'000);
            admission.recordRequest(archiveAddress, 300);
        }
        EXPECT_TRUE(admission.admits(routeAddress, 9));
        EXPECT_FALSE(admission.admits(routeAddress, 10));
        EXPECT_TRUE(admission.admits(archiveAddress, 100)) << "short requests do not wait for uploads";
        admission.retain([](const Endpoint& route) { return route == archiveAddress; });
        EXPECT_TRUE(admission.admits(routeAddress, 10)) << "the route was removed";
    }

    // Guards against refusals on instances whose link has no configured rate.
    TEST(UploadAdmission, AdmitsEverythingWithoutALinkRate)
    {
        UploadAdmission admission { {} };
        admission.recordRequest(routeAddress, 1'000'000);
        EXPECT_TRUE(admission.admits(routeAddress, 1000));
    }

    // Guards against an upload that waits for a full link until its deadline, instead of an attempt at another router.
    TEST(FlowRouter, RefusesUploadsAtOnceWhileTheLinkIsFull)
    {
        FlowRouterSettings settings = Fixture::settingsOf(1);
        settings.uploads.bytesPerSecond = rate;
        FlowRouter router { settings };
        TimePoint now { Seconds { 1000 } };
        (void)router.adopt(stateOf(1), now);
        (void)router.merge({ makeAnnouncement(1, "logger", "a") }, now);
        router.setSynchronized();
        const RoutingToken token = router.route(Fixture::openingOf(1), now).upstream->token;
        std::uint32_t sequence = 1001;
        for (int i = 0; i < 30; ++i, sequence += 1200)
            (void)router.route(Fixture::packetOf(1, token, sequence, 500, 1200), now);
        now += Milliseconds { 200 };
        (void)router.route(Fixture::packetOf(1, token, sequence, 800, 0), now);
        router.setWaitingUploads(11);
        const auto refused = router.route(Fixture::openingOf(2), now);
        EXPECT_EQ(refused.action, PacketAction::Reset);
        EXPECT_EQ(refused.reason, RoutingReason::LinkFull);
        router.setWaitingUploads(2);
        EXPECT_EQ(router.route(Fixture::openingOf(2), now).action, PacketAction::Forward);
        // The opening is accepted, so its retransmission is not refused.
        router.setWaitingUploads(11);
        EXPECT_EQ(router.route(Fixture::openingOf(2), now).action, PacketAction::Forward);
    }

} // namespace
} // namespace zinnia::routing::test
