#include "zinnia/consensus/cluster.hpp"

#include <gtest/gtest.h>

namespace zinnia::consensus::test {
namespace {

    constexpr std::size_t entryBytes = 1U << 20U;
    /** Time after which the group has to bear the next loss. */
    constexpr Milliseconds catchUp { 4000 };

    /** @brief A dynamic group with three voters whose entries are complete configurations, as in a fleet. */
    Cluster makeGroup(std::uint64_t seed, std::size_t linkRate, std::uint32_t size = 3)
    {
        Cluster cluster { size, seed, {}, [](Settings& settings) {
                             settings.losses = LossTolerance {};
                             settings.initialVoters = { InstanceId { 1 }, InstanceId { 2 }, InstanceId { 3 } };
                             settings.entriesPerSnapshot = 64;
                             settings.trailingEntries = 32;
                             settings.minBytesPerSnapshot = 4 * entryBytes;
                         } };
        for (const std::uint32_t id : { 1U, 2U, 3U })
            cluster.start(id, true);
        EXPECT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0; }));
        EXPECT_TRUE(cluster.commitOne());
        cluster.commandBytes = entryBytes;
        cluster.linkRate = linkRate;
        return cluster;
    }

    std::size_t sentTo(const Cluster& cluster, std::uint32_t to)
    {
        std::size_t size = 0;
        for (const auto& [link, bytes] : cluster.sentBytes)
            size += link.second == to ? bytes : 0;
        return size;
    }

    // Guards against a replica without its disk that becomes a voter long after the time in which the group has to bear
    // the next loss, because it receives dozens of complete configurations, each more than once.
    TEST(LargeEntries, ALostDiskIsRepairedWithinTheCatchUpTime)
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            Cluster cluster = makeGroup(seed, 8 * entryBytes);
            for (int i = 0; i < 55; ++i)
                ASSERT_TRUE(cluster.commitOne()) << seed;
            const std::uint32_t lost = cluster.leader() % 3 + 1;
            cluster.loseDisk(lost);
            cluster.runFor(Milliseconds { 1000 });
            cluster.sentBytes.clear();
            cluster.start(lost);
            ASSERT_TRUE(cluster.runUntil([&] { return cluster.status(lost).role == Role::Follower; }, catchUp)) << seed;
            // The snapshot, and what was committed after it.
            EXPECT_LE(sentTo(cluster, lost), 7 * entryBytes) << seed;
            const std::uint32_t next = cluster.leader();
            cluster.crash(next);
            EXPECT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0 && cluster.leader() != next; })) << seed;
            EXPECT_TRUE(cluster.commitOne()) << seed;
        }
    }

    // Guards against a leader that takes a heartbeat which overtakes a large entry for a sign that the entry was lost,
    // and sends it again with each heartbeat until the link is full for good.
    TEST(LargeEntries, AreSentOnceThoughHeartbeatsOvertakeThem)
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            Cluster cluster = makeGroup(seed, entryBytes / 2);
            const std::uint32_t leader = cluster.leader();
            const std::uint32_t follower = leader % 3 + 1;
            cluster.sentBytes.clear();
            const std::uint64_t number = cluster.propose(leader);
            ASSERT_TRUE(cluster.runUntil([&] { return cluster.results.contains(number); }, Milliseconds { 2500 }))
                << seed;
            EXPECT_TRUE(std::holds_alternative<Committed>(cluster.results.at(number))) << seed;
            cluster.runFor(Milliseconds { 3000 });
            EXPECT_LE(sentTo(cluster, follower), entryBytes * 11 / 10) << seed;
            EXPECT_EQ(cluster.leader(), leader) << seed;
            EXPECT_EQ(cluster.reports.count(zinnia::Event::LeaderElected), 1U) << seed;
            EXPECT_EQ(cluster.findInconsistency(), "") << seed;
        }
    }

    // Guards against a follower that learns of a commit only with the next heartbeat, because it answered last.
    TEST(LargeEntries, AFollowerLearnsOfACommitWithItsAcknowledgement)
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            Cluster cluster = makeGroup(seed, 0);
            const std::uint64_t number = cluster.propose(cluster.leader());
            ASSERT_TRUE(cluster.runUntil([&] { return cluster.results.contains(number); })) << seed;
            const auto hasAll = [&](const auto& item) { return item.second.applied.size() == 2; };
            EXPECT_TRUE(cluster.runUntil(
                [&] { return std::all_of(cluster.nodes.begin(), cluster.nodes.end(), hasAll); }, Milliseconds { 30 }))
                << seed;
        }
    }

    // Guards against a learner that can't take the seat of a removed leader in time, because the next one sends it the
    // whole log although it has it.
    TEST(LargeEntries, ANewLeaderDoesNotSendTheLogAgainToALearner)
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            Cluster cluster = makeGroup(seed, 8 * entryBytes, 4);
            for (int i = 0; i < 10; ++i)
                ASSERT_TRUE(cluster.commitOne()) << seed;
            cluster.start(4);
            cluster.runFor(2 * catchUp);
            ASSERT_TRUE(cluster.findInconsistency().empty()) << seed;
            cluster.sentBytes.clear();
            cluster.remove(cluster.leader());
            ASSERT_TRUE(cluster.runUntil([&] {
                const std::uint32_t leader = cluster.leader();
                if (leader == 0)
                    return false;
                const auto voters = cluster.status(leader).voters;
                return std::any_of(voters.begin(), voters.end(),
                    [](const ReplicaId& voter) { return voter.instance == InstanceId { 4 }; });
            })) << seed;
            EXPECT_LE(sentTo(cluster, 4), entryBytes / 10) << seed;
        }
    }

    // Guards against a log that fills memory and disks with complete configurations between two snapshots.
    TEST(LargeEntries, BoundTheLogBySnapshots)
    {
        Cluster cluster = makeGroup(1, 0);
        for (int i = 0; i < 40; ++i)
            ASSERT_TRUE(cluster.commitOne());
        cluster.runFor(Milliseconds { 1000 });
        for (const auto& [id, node] : cluster.nodes) {
            EXPECT_GE(cluster.status(id).snapshotIndex + 5, cluster.status(id).commit) << id;
            EXPECT_LE(node.disk.durable.entries.size(), 6U) << id;
        }
    }

    // Guards against changes that each are within their limit and exceed the memory of the process together.
    TEST(LargeEntries, PendingProposalsAreBoundedInSum)
    {
        Cluster cluster { 3, 1, {}, [](Settings& settings) { settings.maxPendingBytes = 100'000; } };
        ASSERT_TRUE(cluster.form());
        cluster.commandBytes = 40'000;
        const std::uint32_t leader = cluster.leader();
        std::vector<std::uint64_t> numbers;
        for (int i = 0; i < 3; ++i)
            numbers.push_back(cluster.propose(leader));
        ASSERT_TRUE(cluster.results.contains(numbers[2]));
        EXPECT_EQ(std::get<Refused>(cluster.results.at(numbers[2])).cause, RefusalCause::Overloaded);
        cluster.runFor(Milliseconds { 500 });
        for (int i = 0; i < 2; ++i)
            EXPECT_TRUE(std::holds_alternative<Committed>(cluster.results.at(numbers[static_cast<std::size_t>(i)])));
        EXPECT_TRUE(cluster.commitOne());
    }

} // namespace
} // namespace zinnia::consensus::test
