#include "reference_model.hpp"

#include <gtest/gtest.h>

namespace zinnia::flow::fake {
namespace {

    Options unreliableNetwork(std::uint64_t seed)
    {
        Options options;
        options.seed = seed;
        options.loss = 0.02;
        options.duplicate = 0.02;
        options.jitter = Milliseconds { 8 };
        options.upstreamLearnDelay = Milliseconds { 1500 };
        return options;
    }

    // Runs a random schedule of planned changes: entries join and leave, upstreams drain, join and warm.
    std::size_t plannedChanges(const Options& options)
    {
        FakeCluster cluster { options };
        ReferenceModel reference { cluster };
        for (const auto& [id, node] : cluster.nodes) {
            if (id.value % 100 != 3)
                cluster.start(id);
        }
        cluster.run(Milliseconds { 6000 });
        reference.sendTraffic(Milliseconds { 5000 });
        std::uint32_t nextUpstream = 20;
        for (int round = 0; round < 12; ++round) {
            const ZoneId zone { static_cast<std::uint16_t>(1 + cluster.random() % 3) };
            const InstanceId entryId { zone.value * 100U + 3 };
            FakeCluster::Node& node = cluster.nodes.at(entryId);
            switch (cluster.random() % 4) {
            case 0:
                if (!node.up)
                    cluster.start(entryId);
                else
                    cluster.leave(entryId);
                break;
            case 1: {
                auto upstream = cluster.publishedUpstreams.begin();
                std::advance(
                    upstream, static_cast<std::ptrdiff_t>(cluster.random() % cluster.publishedUpstreams.size()));
                const bool ready = upstream->second.second.state == upstream::UpstreamState::Ready;
                cluster.setState(upstream->first,
                    ready ? upstream::UpstreamState::Draining : upstream::UpstreamState::Ready, ready ? 0.0 : 1.0);
                break;
            }
            case 2:
                cluster.publish(FakeCluster::makeUpstream(ServiceId { 1 }, zone, nextUpstream++));
                break;
            default: {
                auto warming = FakeCluster::makeUpstream(ServiceId { 1 }, zone, nextUpstream++);
                warming.state = upstream::UpstreamState::Warming;
                warming.weight = 0.25;
                cluster.publish(warming);
            }
            }
            reference.sendTraffic(Milliseconds { static_cast<std::int64_t>(500 + cluster.random() % 6000) });
            if (node.up && node.membership->state() == membership::MemberState::Leaving) {
                reference.sendTraffic(Milliseconds { 8000 });
                cluster.kill(entryId);
            }
        }
        EXPECT_EQ(reference.wrongService, 0U);
        EXPECT_EQ(reference.wrongZone, 0U);
        EXPECT_EQ(cluster.undecodable, 0U);
        EXPECT_GT(reference.served, 10000U);
        return reference.movedFlows.size();
    }

    class PlannedChanges : public testing::TestWithParam<std::uint64_t> { };

    // Guards against flows that move when an upstream joins, warms or drains or an entry joins or leaves.
    TEST_P(PlannedChanges, MoveNoFlow) { EXPECT_EQ(plannedChanges(unreliableNetwork(GetParam())), 0U); }

    INSTANTIATE_TEST_SUITE_P(Seeds, PlannedChanges, testing::Range<std::uint64_t>(1, 21));

    // Seeds 3 and 7: a flow was placed at the previous owner after it had sent its `HandoverDone`. The other seeds: a
    // record that was merged into an older one of the same upstream did not count as activity, so the flow expired too
    // early.
    INSTANTIATE_TEST_SUITE_P(
        Regressions, PlannedChanges, testing::Values<std::uint64_t>(3, 7, 81, 170, 234, 238, 387, 388));

    // Guards against schedules that never exercise the handover: without it, flows must move.
    TEST(PlannedChangesWithout, HandoverMoveFlows)
    {
        Options options = unreliableNetwork(1);
        options.settings.policies.handover = false;
        const std::size_t moved = plannedChanges(options);
        RecordProperty("differing", static_cast<int>(moved));
        EXPECT_GT(moved, 0U);
    }

} // namespace
} // namespace zinnia::flow::fake
