#include "zinnia/consensus/cluster.hpp"

#include <gtest/gtest.h>

namespace zinnia::consensus::test {
namespace {

    /** @brief A dynamic group with three initial voters; further instances join as learners. */
    Cluster makeDynamicGroup(std::uint32_t size, std::uint64_t seed)
    {
        return Cluster { size, seed, {}, [](Settings& settings) {
                            settings.losses = LossTolerance {};
                            settings.initialVoters = { InstanceId { 1 }, InstanceId { 2 }, InstanceId { 3 } };
                        } };
    }

    void startInitialVoters(Cluster& cluster)
    {
        for (const std::uint32_t id : { 1U, 2U, 3U })
            cluster.start(id, true);
    }

    bool isVoter(const Cluster& cluster, std::uint32_t leader, std::uint32_t id)
    {
        for (const auto& voter : cluster.status(leader).voters) {
            if (voter.instance == InstanceId { id })
                return true;
        }
        return false;
    }

    // Guards against a first start that depends on one instance: any two of the three initial voters must suffice.
    TEST(DynamicGroup, TwoInitialVotersSufficeForTheFirstStart)
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            Cluster cluster = makeDynamicGroup(3, seed);
            cluster.start(2, true);
            cluster.start(3, true);
            ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0; })) << seed;
            EXPECT_TRUE(cluster.commitOne()) << seed;
            cluster.start(1, true);
            ASSERT_TRUE(cluster.runUntil([&] { return cluster.findInconsistency().empty(); })) << seed;
        }
    }

    // Guards against two logs: an initial voter that is partitioned at the first start must not commit on its own.
    TEST(DynamicGroup, PartitionedInitialVoterCommitsNothing)
    {
        Cluster cluster = makeDynamicGroup(3, 1);
        startInitialVoters(cluster);
        cluster.isolate(1);
        cluster.propose(1);
        cluster.runFor(Milliseconds { 5000 });
        EXPECT_NE(cluster.leader(), 1U);
        EXPECT_EQ(cluster.acknowledged(), 0U);
    }

    // Guards against a lost voter that is never replaced, so that the next loss costs the group its majority.
    TEST(DynamicGroup, ReplacesUnreachableVoterByLearner)
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            Cluster cluster = makeDynamicGroup(4, seed);
            startInitialVoters(cluster);
            ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0; }));
            ASSERT_TRUE(cluster.commitOne());
            const std::uint32_t lostId = cluster.leader() % 3 + 1;
            cluster.crash(lostId);
            cluster.start(4);
            ASSERT_TRUE(cluster.runUntil([&] {
                const std::uint32_t leader = cluster.leader();
                return leader != 0 && isVoter(cluster, leader, 4) && !isVoter(cluster, leader, lostId);
            })) << seed;
            // The group must tolerate the next loss while the first instance is still down.
            const std::uint32_t nextLostId = cluster.leader();
            cluster.crash(nextLostId);
            ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0 && cluster.leader() != nextLostId; }))
                << seed;
            EXPECT_TRUE(cluster.commitOne()) << seed;
            cluster.start(lostId);
            cluster.start(nextLostId);
            EXPECT_TRUE(cluster.runUntil([&] { return cluster.findInconsistency().empty(); })) << seed;
        }
    }

    /** @brief A leader, a learner that has caught up, and a voter that is neither. */
    struct Successor {
        std::uint32_t removed {};
        std::uint32_t other {};
    };

    /** @brief Starts the group and, for `headStart`, instance 4 as a learner. */
    Successor startWithSuccessor(Cluster& cluster, bool removesLeader, Milliseconds headStart)
    {
        startInitialVoters(cluster);
        EXPECT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0; }));
        EXPECT_TRUE(cluster.commitOne());
        cluster.start(4);
        cluster.runFor(headStart);
        const std::uint32_t leader = cluster.leader();
        return { removesLeader ? leader : leader % 3 + 1, (leader + 1) % 3 + 1 };
    }

    /** @brief A replica without its disk comes back after a second; the group must elect a leader and commit. */
    void expectRecoveryFromALostDisk(Cluster& cluster, std::uint32_t wiped, std::uint64_t seed)
    {
        cluster.loseDisk(wiped);
        cluster.runFor(Milliseconds { 1000 });
        cluster.start(wiped);
        ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0; })) << seed;
        EXPECT_TRUE(cluster.commitOne()) << seed;
        EXPECT_TRUE(cluster.runUntil([&] { return isVoter(cluster, cluster.leader(), wiped); })) << seed;
    }

    // Guards against a group that ends for good because a removed instance is still a voter when, after the time in
    // which its successor has to catch up, another instance loses its disk.
    TEST(DynamicGroup, ALostDiskAfterTheRemovalOfAnInstanceIsBorne)
    {
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            Cluster cluster = makeDynamicGroup(4, seed);
            const auto [removed, other] = startWithSuccessor(cluster, seed % 2 == 0, Milliseconds { 8000 });
            cluster.crash(removed);
            cluster.runFor(Milliseconds { 4000 });
            expectRecoveryFromALostDisk(cluster, other, seed);
        }
    }

    // Guards against a planned stop that leaves an unreachable voter behind although a learner could take its place.
    TEST(DynamicGroup, AStoppingVoterHandsItsPlaceToALearnerBeforeItExits)
    {
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            Cluster cluster = makeDynamicGroup(4, seed);
            const auto [removed, other] = startWithSuccessor(cluster, seed % 2 == 0, Milliseconds { 8000 });
            cluster.handle(removed, Stop {});
            const Replica& stopping = *cluster.nodes.at(removed).replica;
            EXPECT_TRUE(stopping.isLeaving()) << seed;
            ASSERT_TRUE(cluster.runUntil([&] { return !stopping.isLeaving(); }, Milliseconds { 1000 })) << seed;
            cluster.runFor(Milliseconds { 50 });
            cluster.crash(removed);
            EXPECT_EQ(cluster.reports.count(zinnia::Event::VoterReplaced), 1U) << seed;
            expectRecoveryFromALostDisk(cluster, other, seed);
        }
    }

    // Guards against a stop that waits for a successor where there is none.
    TEST(DynamicGroup, AStoppingVoterDoesNotWaitWithoutALearner)
    {
        for (const bool stopsLeader : { false, true }) {
            Cluster cluster = makeDynamicGroup(3, 5);
            startInitialVoters(cluster);
            ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0; }));
            ASSERT_TRUE(cluster.commitOne());
            const std::uint32_t leader = cluster.leader();
            const std::uint32_t stopped = stopsLeader ? leader : leader % 3 + 1;
            cluster.handle(stopped, Stop {});
            const Replica& stopping = *cluster.nodes.at(stopped).replica;
            EXPECT_TRUE(cluster.runUntil([&] { return !stopping.isLeaving(); }, Milliseconds { 300 }));
            EXPECT_EQ(cluster.status(leader).voters.size(), 3U);
        }
    }

    // Guards against a learner that is admitted while its process shuts down.
    TEST(DynamicGroup, AStoppingLearnerDoesNotBecomeAVoter)
    {
        Cluster cluster = makeDynamicGroup(4, 6);
        const auto [removed, other] = startWithSuccessor(cluster, false, Milliseconds { 8000 });
        cluster.handle(4, Stop {});
        cluster.runFor(Milliseconds { 300 });
        cluster.crash(removed);
        cluster.runFor(Milliseconds { 8000 });
        EXPECT_FALSE(isVoter(cluster, cluster.leader(), 4));
    }

    // Guards against a stopped voter that is given up later although it has come back.
    TEST(DynamicGroup, ARestartedVoterStaysAVoter)
    {
        Cluster cluster = makeDynamicGroup(4, 7);
        startInitialVoters(cluster);
        ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0; }));
        ASSERT_TRUE(cluster.commitOne());
        const std::uint32_t stopped = cluster.leader() % 3 + 1;
        cluster.handle(stopped, Stop {});
        cluster.runFor(Milliseconds { 500 });
        cluster.crash(stopped);
        cluster.start(stopped);
        cluster.runFor(Milliseconds { 3000 });
        cluster.start(4);
        cluster.runFor(Milliseconds { 10000 });
        EXPECT_TRUE(isVoter(cluster, cluster.leader(), stopped));
        EXPECT_FALSE(isVoter(cluster, cluster.leader(), 4));
    }

    // Guards against a learner that is cut off and still reports the leader that it last heard of.
    TEST(DynamicGroup, ALearnerThatIsCutOffHasNoLeader)
    {
        Cluster cluster = makeDynamicGroup(4, 8);
        (void)startWithSuccessor(cluster, false, Milliseconds { 8000 });
        ASSERT_TRUE(cluster.status(4).leader.has_value());
        cluster.isolate(4);
        cluster.runFor(Milliseconds { 1500 });
        EXPECT_FALSE(cluster.status(4).leader.has_value());
        cluster.unblockLinks();
        EXPECT_TRUE(cluster.runUntil([&] { return cluster.status(4).leader.has_value(); }));
    }

    // Guards against needless membership changes when an instance is only added.
    TEST(DynamicGroup, AddedInstanceStaysLearnerWhileAllVotersAreReachable)
    {
        Cluster cluster = makeDynamicGroup(4, 3);
        startInitialVoters(cluster);
        ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0; }));
        cluster.start(4);
        cluster.runFor(Milliseconds { 20000 });
        EXPECT_FALSE(isVoter(cluster, cluster.leader(), 4));
        EXPECT_EQ(cluster.status(4).role, Role::Learner);
    }

    // Guards against a replaced voter that disrupts the group, or never becomes a voter again, after it has returned.
    TEST(DynamicGroup, ReplacedVoterRejoinsAsLearner)
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            Cluster cluster = makeDynamicGroup(4, seed);
            startInitialVoters(cluster);
            ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0; }));
            const std::uint32_t lostId = cluster.leader() % 3 + 1;
            cluster.isolate(lostId);
            cluster.start(4);
            ASSERT_TRUE(cluster.runUntil([&] {
                return cluster.leader() != 0 && cluster.leader() != lostId && isVoter(cluster, cluster.leader(), 4);
            })) << seed;
            ASSERT_TRUE(cluster.commitOne());
            cluster.unblockLinks();
            ASSERT_TRUE(cluster.runUntil([&] {
                return cluster.status(lostId).role == Role::Learner && cluster.findInconsistency().empty();
            })) << seed;
            // It must become a voter again when another voter is lost for good.
            const std::uint32_t nextLostId = cluster.leader();
            cluster.crash(nextLostId);
            ASSERT_TRUE(cluster.runUntil([&] {
                const std::uint32_t leader = cluster.leader();
                return leader != 0 && leader != nextLostId && isVoter(cluster, leader, lostId);
            })) << seed;
            EXPECT_TRUE(cluster.commitOne()) << seed;
        }
    }

    // Guards against a vote from an empty data folder: an initial voter that lost its disk must not help to elect a
    // leader without the commands that it had acknowledged.
    TEST(DynamicGroup, InitialVoterWithLostDiskRejoinsAsLearnerAndVotesLater)
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            Cluster cluster = makeDynamicGroup(3, seed);
            startInitialVoters(cluster);
            ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0; }));
            ASSERT_TRUE(cluster.commitOne());
            const std::uint32_t lostId = cluster.leader();
            cluster.loseDisk(lostId);
            for (const std::uint32_t other : { 1U, 2U, 3U }) {
                if (other != lostId)
                    cluster.crash(other);
            }
            for (const std::uint32_t id : { 1U, 2U, 3U })
                cluster.start(id, false);
            ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0 && cluster.leader() != lostId; })) << seed;
            ASSERT_TRUE(cluster.commitOne());
            EXPECT_TRUE(cluster.runUntil([&] {
                return cluster.status(lostId).role == Role::Follower && cluster.findInconsistency().empty();
            })) << seed;
        }
    }

    // Guards against an outage of a full election timeout after a restart of all replicas, when there is no leader to
    // wait for.
    TEST(DynamicGroup, ElectsSoonAfterARestartOfAllReplicas)
    {
        const auto meanElectionTime = [](double factor) {
            Milliseconds total { 0 };
            for (std::uint64_t seed = 1; seed <= 20; ++seed) {
                Cluster cluster = makeDynamicGroup(3, seed);
                for (auto& [id, node] : cluster.nodes)
                    node.settings.initialElectionTimeoutFactor = factor;
                startInitialVoters(cluster);
                EXPECT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0; }));
                EXPECT_TRUE(cluster.commitOne());
                for (const std::uint32_t id : { 1U, 2U, 3U })
                    cluster.crash(id);
                // A process start takes longer than the delivery of messages sent before the restart.
                cluster.runFor(Milliseconds { 20 });
                for (const std::uint32_t id : { 1U, 2U, 3U })
                    cluster.start(id, false);
                const TimePoint start = cluster.now;
                EXPECT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0; }));
                total += std::chrono::duration_cast<Milliseconds>(cluster.now - start);
            }
            return total / 20;
        };
        EXPECT_LT(meanElectionTime(0.2), Milliseconds { 250 });
        EXPECT_GT(meanElectionTime(1.0), Milliseconds { 500 });
    }

    /** @brief Runs the group with a change each 100 ms; replicas whose storage failed start again after a second. */
    void runWithChanges(Cluster& cluster, Milliseconds duration)
    {
        std::map<std::uint32_t, TimePoint> failedSince;
        for (const TimePoint end = cluster.now + duration; cluster.now < end;) {
            if (const std::uint32_t leader = cluster.leader(); leader != 0)
                (void)cluster.propose(leader);
            cluster.runFor(Milliseconds { 100 });
            for (auto& [id, node] : cluster.nodes) {
                if (!node.replica || node.replica->status().role != Role::StorageFailed) {
                    failedSince.erase(id);
                } else if (const auto since = failedSince.try_emplace(id, cluster.now).first->second;
                           cluster.now - since >= Seconds { 1 }) {
                    cluster.crash(id);
                    cluster.start(id);
                }
            }
        }
    }

    // Guards against a group that refuses changes, or leaves them unanswered, long after each of its disks was full for
    // some seconds, one after another.
    TEST(DynamicGroup, FullDisksInTurnLeaveAWorkingGroup)
    {
        for (const std::uint32_t size : { 3U, 4U }) {
            for (std::uint64_t seed = 1; seed <= 20; ++seed) {
                Cluster cluster = makeDynamicGroup(size, seed);
                startInitialVoters(cluster);
                ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0; }));
                if (size > 3)
                    cluster.start(4);
                for (std::uint32_t turn = 1; turn <= 2 * size; ++turn) {
                    // Leaders in one half of the runs, all instances in turn in the other.
                    const std::uint32_t full
                        = seed % 2 == 0 && cluster.leader() != 0 ? cluster.leader() : turn % size + 1;
                    cluster.nodes.at(full).disk.full = true;
                    runWithChanges(cluster, Milliseconds { 4500 });
                    cluster.nodes.at(full).disk.full = false;
                    runWithChanges(cluster, Milliseconds { 4000 });
                }
                const std::size_t before = cluster.acknowledged();
                runWithChanges(cluster, Milliseconds { 10000 });
                EXPECT_GE(cluster.acknowledged() - before, 95U) << size << " " << seed;
                EXPECT_EQ(cluster.findInconsistency(), "") << size << " " << seed;
            }
        }
    }

    /** @brief Tells all running instances the zones of all. */
    void tellZones(Cluster& cluster, const ZoneTable& zones)
    {
        std::vector<InstanceId> instances;
        for (const auto& [id, zone] : zones)
            instances.push_back(id);
        for (const auto& [id, node] : cluster.nodes)
            cluster.handle(id, InstancesUpdated { instances, zones });
    }

    std::map<std::string, int> votersByZone(const Cluster& cluster, const ZoneTable& zones)
    {
        std::map<std::string, int> result;
        for (const auto& voter : cluster.status(cluster.leader()).voters)
            ++result[zones.at(voter.instance)];
        return result;
    }

    /** Two instances in each of three zones. */
    const ZoneTable twoInEachZone { { InstanceId { 1 }, "a" }, { InstanceId { 2 }, "b" }, { InstanceId { 3 }, "c" },
        { InstanceId { 4 }, "a" }, { InstanceId { 5 }, "b" }, { InstanceId { 6 }, "c" } };

    // Guards against a lost voter that is replaced by an instance of a zone that has a voter already: the loss of that
    // zone then ends the majority, although the group has to bear it.
    TEST(DynamicGroup, TheLossOfAnyZoneIsBorneAfterTheReplacementOfAVoter)
    {
        for (std::uint64_t seed = 1; seed <= 30; ++seed) {
            Cluster cluster = makeDynamicGroup(6, seed);
            startInitialVoters(cluster);
            for (const std::uint32_t id : { 4U, 5U, 6U })
                cluster.start(id, true);
            tellZones(cluster, twoInEachZone);
            ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0; }));
            ASSERT_TRUE(cluster.commitOne());
            const auto lost = static_cast<std::uint32_t>(1 + seed % 3);
            cluster.crash(lost);
            ASSERT_TRUE(cluster.runUntil([&] {
                const std::uint32_t leader = cluster.leader();
                return leader != 0 && !isVoter(cluster, leader, lost) && cluster.status(leader).voters.size() == 3;
            })) << seed;
            EXPECT_EQ(votersByZone(cluster, twoInEachZone).size(), 3U) << seed;
            cluster.start(lost);
            tellZones(cluster, twoInEachZone);
            cluster.runFor(Milliseconds { 4000 });
            EXPECT_EQ(cluster.reports.count(zinnia::Event::VoterReplaced), 1U) << seed;
            const std::uint32_t zone = 1 + seed / 3 % 3;
            cluster.crash(zone);
            cluster.crash(zone + 3);
            ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0; }, Milliseconds { 4000 })) << seed;
            EXPECT_TRUE(cluster.commitOne()) << seed;
        }
    }

    // Guards against initial voters that share a zone for as long as the group lives, because the seeds do.
    TEST(DynamicGroup, SpreadsTheInitialVotersOverTheZones)
    {
        const ZoneTable zones { { InstanceId { 1 }, "a" }, { InstanceId { 2 }, "a" }, { InstanceId { 3 }, "a" },
            { InstanceId { 4 }, "b" }, { InstanceId { 5 }, "c" }, { InstanceId { 6 }, "c" } };
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            Cluster cluster = makeDynamicGroup(6, seed);
            startInitialVoters(cluster);
            for (const std::uint32_t id : { 4U, 5U, 6U })
                cluster.start(id, true);
            tellZones(cluster, zones);
            ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0; }));
            const std::uint32_t leader = cluster.leader();
            ASSERT_TRUE(cluster.runUntil([&] { return votersByZone(cluster, zones).size() == 3; })) << seed;
            EXPECT_EQ(cluster.leader(), leader) << seed;
            EXPECT_EQ(cluster.reports.count(zinnia::Event::VoterReplaced), 2U) << seed;
            EXPECT_TRUE(cluster.commitOne()) << seed;
            // No further change follows, and none is made for zones that cannot be improved.
            cluster.runFor(Seconds { 30 });
            EXPECT_EQ(cluster.reports.count(zinnia::Event::VoterReplaced), 2U) << seed;
            EXPECT_EQ(cluster.findInconsistency(), "") << seed;
        }
    }

    // Guards against voters that are moved between zones while another one is out of contact, which leaves the group
    // with one voter less than it can bear.
    TEST(DynamicGroup, DoesNotSpreadVotersWhileOneIsUnreachable)
    {
        const ZoneTable zones { { InstanceId { 1 }, "a" }, { InstanceId { 2 }, "a" }, { InstanceId { 3 }, "c" },
            { InstanceId { 4 }, "b" } };
        Cluster cluster = makeDynamicGroup(4, 3);
        startInitialVoters(cluster);
        ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0; }));
        ASSERT_TRUE(cluster.commitOne());
        cluster.start(4);
        tellZones(cluster, zones);
        // Instance 3 is lost and replaced by the only learner; nothing else is changed.
        cluster.crash(3);
        cluster.runFor(Milliseconds { 8000 });
        EXPECT_EQ(cluster.reports.count(zinnia::Event::VoterReplaced), 1U);
        EXPECT_TRUE(isVoter(cluster, cluster.leader(), 4));
        EXPECT_EQ(votersByZone(cluster, zones)["a"], 2);
    }

} // namespace
} // namespace zinnia::consensus::test
