#include "zinnia/consensus/cluster.hpp"

#include <gtest/gtest.h>

namespace zinnia::consensus::test {
namespace {

    // Guards against a cluster that does not form from one bootstrapped replica and others with empty data folders.
    TEST(Replica, FormsAClusterOneVoterAtATime)
    {
        for (const std::uint32_t size : { 1U, 3U, 5U }) {
            Cluster cluster { size, 7 };
            ASSERT_TRUE(cluster.form()) << size;
            EXPECT_TRUE(cluster.commitOne());
            EXPECT_EQ(cluster.reports.count(zinnia::Event::ClusterBootstrapped), 1U);
        }
    }

    // Guards against acknowledging a command that is on one disk only, while the cluster is still forming.
    TEST(Replica, RefusesProposalsBeforeAMajorityOfInstancesVotes)
    {
        Cluster cluster { 3, 1 };
        cluster.start(1, true);
        ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() == 1; }));
        const auto number = cluster.propose(1);
        EXPECT_EQ(std::get<Refused>(cluster.results.at(number)).cause, RefusalCause::NotReady);
    }

    // Guards against replicas with empty data folders that form a second cluster without the bootstrap setting.
    TEST(Replica, ElectsNoLeaderFromEmptyDataFolders)
    {
        Cluster cluster { 3, 2 };
        for (const std::uint32_t id : { 1U, 2U, 3U })
            cluster.start(id);
        cluster.runFor(Seconds { 30 });
        EXPECT_EQ(cluster.leader(), 0U);
        EXPECT_EQ(cluster.status(2).role, Role::Learner);
    }

    // Guards against a wrong state after a restart from a snapshot and hundreds of log entries.
    TEST(Replica, RestartsAfterHundredsOfChanges)
    {
        Cluster cluster { 3, 3, {}, [](Settings& settings) {
                             settings.entriesPerSnapshot = 100;
                             settings.trailingEntries = 10;
                         } };
        ASSERT_TRUE(cluster.form());
        cluster.crash(3);
        for (int i = 0; i < 350; ++i)
            ASSERT_TRUE(cluster.commitOne());
        cluster.crash(1);
        cluster.crash(2);
        for (const std::uint32_t id : { 1U, 2U, 3U })
            cluster.start(id);
        ASSERT_TRUE(cluster.commitOne());
        cluster.runFor(Seconds { 3 });
        EXPECT_EQ(cluster.findInconsistency(), "");
        EXPECT_GT(cluster.status(3).snapshotIndex, 200U);
        EXPECT_GE(cluster.reports.count(zinnia::Event::SnapshotInstalled), 1U);
    }

    // Guards against acknowledging a log entry whose write failed on a full disk.
    TEST(Replica, StepsDownWhenTheDiskIsFull)
    {
        Cluster cluster { 3, 4 };
        ASSERT_TRUE(cluster.form());
        ASSERT_TRUE(cluster.commitOne());
        const std::uint32_t oldLeader = cluster.leader();
        cluster.nodes.at(oldLeader).disk.full = true;
        const auto number = cluster.propose(oldLeader);
        cluster.runFor(Milliseconds { 10 });
        EXPECT_TRUE(std::holds_alternative<OutcomeUnknown>(cluster.results.at(number)));
        EXPECT_EQ(cluster.status(oldLeader).role, Role::StorageFailed);
        const auto laterProposal = cluster.propose(oldLeader);
        EXPECT_EQ(std::get<Refused>(cluster.results.at(laterProposal)).cause, RefusalCause::StorageFailed);
        ASSERT_TRUE(cluster.commitOne());
        EXPECT_NE(cluster.leader(), oldLeader);
        cluster.crash(oldLeader);
        cluster.nodes.at(oldLeader).disk.full = false;
        cluster.start(oldLeader);
        cluster.runFor(Seconds { 3 });
        EXPECT_EQ(cluster.findInconsistency(), "");
    }

    std::size_t sentMessageCount(const Actions& actions)
    {
        return static_cast<std::size_t>(std::count_if(
            actions.begin(), actions.end(), [](const Action& action) { return std::holds_alternative<Send>(action); }));
    }

    // Guards against sending a vote or an acknowledgement before the write on which it depends is durable.
    TEST(Replica, AnswersOnlyAfterTheSync)
    {
        const ReplicaId self { InstanceId { 1 }, 10 };
        const ReplicaId other { InstanceId { 2 }, 20 };
        Settings settings;
        settings.self = self.instance;
        settings.instances = { self.instance, other.instance };
        DurableState state;
        state.hard = HardState { self, LogId { 9 }, 1, std::nullopt, 1 };
        state.entries.push_back(LogEntry { 1, 1, Membership { { self, other } } });
        TimePoint now { Seconds { 10 } };
        for (const bool writeFails : { false, true }) {
            for (const Message& message : { Message { VoteRequest { { LogId { 9 }, other, self, 2 }, 5, 1, 1 } },
                     Message { AppendEntries {
                         { LogId { 9 }, other, self, 2 }, 1, 1, 0, 0, { LogEntry { 2, 2, Noop {} } } } } }) {
                auto replica = std::move(Replica::create(settings, state, now)).value();
                const Actions actions = replica.handle(Receive { message }, now);
                EXPECT_EQ(sentMessageCount(actions), 0U);
                const auto* write = std::get_if<Persist>(&actions.at(0));
                ASSERT_NE(write, nullptr);
                const Event outcome
                    = writeFails ? Event { PersistFailed { write->write } } : Event { Persisted { write->write } };
                EXPECT_EQ(sentMessageCount(replica.handle(outcome, now)), writeFails ? 0U : 1U);
            }
        }
    }

    // Guards against stale reads from a partitioned leader that no longer has a majority.
    TEST(Replica, ConfirmsReadsWithAMajority)
    {
        Cluster cluster { 3, 5 };
        ASSERT_TRUE(cluster.form());
        ASSERT_TRUE(cluster.commitOne());
        const std::uint32_t oldLeader = cluster.leader();
        cluster.handle(oldLeader, Read { RequestId { 1 } });
        cluster.runFor(Milliseconds { 50 });
        EXPECT_TRUE(std::holds_alternative<Committed>(cluster.reads.at(1)));
        cluster.isolate(oldLeader);
        cluster.handle(oldLeader, Read { RequestId { 2 } });
        cluster.runFor(Seconds { 2 });
        EXPECT_TRUE(std::holds_alternative<NotLeader>(cluster.reads.at(2)));
    }

    // Guards against accepting proposals while the process shuts down.
    TEST(Replica, RefusesProposalsWhileStopping)
    {
        Cluster cluster { 1, 6 };
        ASSERT_TRUE(cluster.form());
        cluster.handle(1, Stop {});
        EXPECT_EQ(std::get<Refused>(cluster.results.at(cluster.propose(1))).cause, RefusalCause::Stopping);
    }

    // Guards against starting on a data folder that belongs to another instance, lacks its metadata or has a gap in its
    // log.
    TEST(Replica, RefusesInvalidDataFolder)
    {
        Settings settings;
        settings.self = InstanceId { 1 };
        settings.instances = { InstanceId { 1 } };
        DurableState state;
        state.entries.push_back(LogEntry { 1, 1, Noop {} });
        EXPECT_EQ(Replica::create(settings, state, TimePoint {}).error(), CreateError::RecordsWithoutState);
        state.hard = HardState { ReplicaId { InstanceId { 2 }, 5 }, LogId { 1 }, 1, std::nullopt, 0 };
        EXPECT_EQ(Replica::create(settings, state, TimePoint {}).error(), CreateError::ForeignFolder);
        state.hard->self.instance = InstanceId { 1 };
        state.entries.push_back(LogEntry { 3, 1, Noop {} });
        EXPECT_EQ(Replica::create(settings, state, TimePoint {}).error(), CreateError::RecordsNotConsecutive);
    }

    // Guards against a follower that counts as up to date because it hears its leader, although it receives or stores
    // the entries seconds later: routers that rely on it learn changes too late.
    TEST(Replica, ReportsHowLongItIsBehindTheLeader)
    {
        Settings settings;
        settings.self = InstanceId { 2 };
        settings.instances = { InstanceId { 1 }, InstanceId { 2 } };
        TimePoint now { Seconds { 1000 } };
        auto replica = std::move(Replica::create(settings, {}, now)).value();
        const ReplicaId self = replica.status().self;
        const auto append = [&](LogIndex previous, std::vector<LogEntry> entries, LogIndex commit) {
            const Header header { LogId { 3 }, ReplicaId { InstanceId { 1 }, 5 }, self, 1 };
            const Term previousTerm = previous == 0 ? 0 : 1;
            (void)replica.handle(
                Receive { AppendEntries { header, previous, previousTerm, commit, 0, std::move(entries) } }, now);
        };
        append(0, { { 1, 1, Noop {} }, { 2, 1, Noop {} } }, 1);
        EXPECT_FALSE(replica.status().hasCaughtUp);
        now += Milliseconds { 400 };
        // Newer commits do not hide how long the first one has been waiting for the disk.
        append(2, { { 3, 1, Noop {} } }, 2);
        now += Milliseconds { 800 };
        append(3, {}, 3);
        EXPECT_EQ(replica.status().lag, Milliseconds { 1200 });
        (void)replica.handle(Persisted { 100 }, now);
        append(3, {}, 3);
        EXPECT_TRUE(replica.status().hasCaughtUp);
        EXPECT_EQ(replica.status().lag, Microseconds { 0 });
        // The leader reports commits whose entries arrive one by one, always 2 s late.
        append(3, {}, 4);
        now += Milliseconds { 1000 };
        append(3, {}, 5);
        now += Milliseconds { 1000 };
        append(3, { { 4, 1, Noop {} } }, 6);
        EXPECT_EQ(replica.status().lag, Milliseconds { 2000 });
        (void)replica.handle(Persisted { 200 }, now);
        append(4, {}, 6);
        EXPECT_EQ(replica.status().lag, Milliseconds { 1000 });
        append(4, { { 5, 1, Noop {} }, { 6, 1, Noop {} } }, 6);
        (void)replica.handle(Persisted { 300 }, now);
        // A leader that does not know yet what this replica has reports no commit; the next report shows that nothing
        // is missing.
        append(0, {}, 0);
        now += Milliseconds { 500 };
        append(0, {}, 0);
        EXPECT_EQ(replica.status().lag, Milliseconds { 500 });
        append(6, {}, 6);
        EXPECT_EQ(replica.status().lag, Microseconds { 0 });
        // Entries that the leader has compacted: it reports no commit until the snapshot has arrived.
        auto learner = std::move(Replica::create(settings, {}, now)).value();
        const Header header { LogId { 3 }, ReplicaId { InstanceId { 1 }, 5 }, learner.status().self, 1 };
        (void)learner.handle(Receive { AppendEntries { header, 0, 0, 0, 0, {} } }, now);
        now += Milliseconds { 1500 };
        (void)learner.handle(Receive { AppendEntries { header, 0, 0, 0, 0, {} } }, now);
        EXPECT_EQ(learner.status().lag, Milliseconds { 1500 });
    }

} // namespace
} // namespace zinnia::consensus::test
