#include "zinnia/consensus/cluster.hpp"
#include "zinnia/wire/archive.hpp"

#include <gtest/gtest.h>
#include <iostream>

namespace zinnia::consensus::test {
namespace {

    /** @brief Injects a random fault or repairs all; a disk is lost only while all replicas agree on the voters. */
    void injectRandomFault(Cluster& cluster, std::uint32_t size)
    {
        const auto randomId = [&] { return static_cast<std::uint32_t>(1 + cluster.random() % size); };
        const std::uint32_t id = randomId();
        FakeNode& node = cluster.nodes.at(id);
        bool votersAgree = node.replica != nullptr;
        for (const auto& [other, state] : cluster.nodes) {
            const Role role = state.replica ? cluster.status(other).role : Role::StorageFailed;
            votersAgree = votersAgree && state.replica && !state.paused
                && (role == Role::Follower || role == Role::Leader) && cluster.status(other).voters.size() == size
                && cluster.status(other).voters == cluster.status(id).voters;
            for (const auto& voter : votersAgree ? cluster.status(id).voters : std::vector<ReplicaId> {})
                votersAgree = votersAgree && (voter.instance.value != other || voter == cluster.status(other).self);
        }
        switch (cluster.random() % 8) {
        case 0:
            if (node.replica)
                cluster.crash(id);
            break;
        case 1:
            cluster.blockLink(id, randomId());
            break;
        case 2:
            cluster.isolate(id);
            break;
        case 3:
            node.paused ? cluster.resume(id) : cluster.pause(id);
            break;
        case 4:
            node.disk.full = !node.disk.full;
            break;
        case 5:
            if (votersAgree) {
                cluster.loseDisk(id);
                cluster.start(id);
            }
            break;
        default:
            cluster.unblockLinks();
            for (const auto& [other, state] : cluster.nodes) {
                if (state.paused)
                    cluster.resume(other);
                if (!state.replica || cluster.status(other).role == Role::StorageFailed) {
                    cluster.crash(other);
                    cluster.nodes.at(other).disk.full = false;
                    cluster.start(other);
                }
            }
        }
    }

    void runSchedule(
        std::uint32_t size, std::uint64_t seed, std::size_t& acknowledged, std::size_t minTransferBytes = 16384)
    {
        Cluster cluster { size, seed, {}, [minTransferBytes](Settings& settings) {
                             settings.entriesPerSnapshot = 20;
                             settings.trailingEntries = 4;
                             settings.maxEntriesPerAppend = 3;
                             settings.maxEntriesInFlight = 6;
                             settings.minTransferBytes = minTransferBytes;
                         } };
        ASSERT_TRUE(cluster.form());
        cluster.dropPerMille = 50;
        cluster.duplicatePerMille = 50;
        cluster.maxDelay = Milliseconds { 30 };
        for (int step = 0; step < 60; ++step) {
            injectRandomFault(cluster, size);
            for (int i = 0; i < 12; ++i) {
                for (const auto& [id, node] : cluster.nodes) {
                    if (node.replica && cluster.random() % 2 == 0)
                        (void)cluster.propose(id);
                }
                cluster.runFor(Milliseconds { 5 + cluster.random() % 120 });
            }
        }
        cluster.unblockLinks();
        cluster.dropPerMille = 0;
        for (const auto& [id, node] : cluster.nodes) {
            cluster.resume(id);
            cluster.crash(id);
            cluster.nodes.at(id).disk.full = false;
            cluster.start(id);
        }
        ASSERT_TRUE(cluster.commitOne()) << "no progress after the faults, seed " << seed;
        cluster.runFor(Seconds { 10 });
        EXPECT_EQ(cluster.findInconsistency(), "") << "seed " << seed;
        acknowledged += cluster.acknowledged();
    }

    // Guards against lost, repeated and reordered commands under random faults, by comparison with a single copy.
    TEST(Schedule, AgreesWithASingleCopyUnderRandomFaults)
    {
        std::size_t acknowledged = 0;
        for (std::uint64_t seed = 1; seed <= 40; ++seed)
            runSchedule(seed % 4 == 0 ? 5 : 3, seed, acknowledged);
        EXPECT_GT(acknowledged, 4000U);
        RecordProperty("acknowledged", static_cast<int>(acknowledged));
        std::cout << "acknowledged commands in 40 schedules: " << acknowledged << '\n';
    }

    // Guards against a follower that waits for ever for a large message that was lost, or answered by a process that
    // has ended since; and against commands lost on the way. Each message with commands counts as large.
    TEST(Schedule, AgreesWithASingleCopyIfAllEntriesAreLarge)
    {
        std::size_t acknowledged = 0;
        for (std::uint64_t seed = 101; seed <= 140; ++seed)
            runSchedule(seed % 4 == 0 ? 5 : 3, seed, acknowledged, 0);
        EXPECT_GT(acknowledged, 4000U);
    }

    // Guards against crashes on messages with random byte changes.
    TEST(Schedule, DecodesMutatedMessagesSafely)
    {
        std::mt19937_64 random { 1600 };
        const Header header { LogId { 1 }, { InstanceId { 1 }, 2 }, { InstanceId { 3 }, 4 }, 5 };
        const std::vector<Message> samples { PreVoteRequest { header, 1, 2, 3, 4 }, VoteReply { header, true },
            AppendEntries {
                header, 1, 1, 1, 1, { LogEntry { 2, 1, Command { { 1, 2 } } }, LogEntry { 3, 1, Membership {} } } },
            InstallSnapshot { header, Snapshot { 3, 1, {}, 1, { 9 } }, 7 }, JoinRequest { header } };
        std::size_t accepted = 0;
        for (int round = 0; round < 30000; ++round) {
            Bytes bytes = wire::encode(samples[random() % samples.size()]);
            for (int change = 0; change < 3; ++change)
                bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
            const auto decoded = wire::decode<Message>(bytes);
            if (!decoded)
                continue;
            ++accepted;
            Settings settings;
            settings.self = InstanceId { 3 };
            settings.instances = { InstanceId { 1 }, InstanceId { 3 } };
            DurableState state;
            state.hard = HardState { { InstanceId { 3 }, 4 }, LogId { 1 }, 4, std::nullopt, 0 };
            auto replica = Replica::create(settings, state, TimePoint { Seconds { 1 } });
            (void)replica.value().handle(Receive { decoded.value() }, TimePoint { Seconds { 2 } });
        }
        EXPECT_GT(accepted, 100U);
    }

} // namespace
} // namespace zinnia::consensus::test
