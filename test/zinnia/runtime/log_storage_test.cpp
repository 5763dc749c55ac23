#include "zinnia/runtime/fake_folder.hpp"
#include "zinnia/runtime/log_storage.hpp"

#include <filesystem>
#include <gtest/gtest.h>
#include <random>
#include <unistd.h>

namespace zinnia::runtime::test {
namespace {

    using consensus::Command;
    using consensus::HardState;
    using consensus::LogEntry;
    using consensus::Persist;
    using consensus::ReplicaId;
    using consensus::Snapshot;

    constexpr ClusterId cluster { 5 };
    const HardState hard { ReplicaId { InstanceId { 1 }, 77 }, consensus::LogId { 3 }, 2, std::nullopt, 0 };

    LogEntry entry(std::uint64_t index, std::uint64_t term = 1)
    {
        return { index, term, Command { Bytes(20, static_cast<std::uint8_t>(index)) } };
    }

    Persist entries(std::uint64_t first, std::uint64_t last, std::uint64_t term = 1)
    {
        Persist item;
        for (std::uint64_t index = first; index <= last; ++index)
            item.entries.push_back(entry(index, term));
        return item;
    }

    Persist identity()
    {
        Persist item;
        item.hard = hard;
        return item;
    }

    auto writeOne(LogStorage& storage, const Persist& item) { return storage.write({ &item, 1 }); }

    /** A folder with a replica identity and the records 1 to `last`. */
    LogStorage filled(FakeFolder& folder, std::uint64_t last)
    {
        auto storage = std::move(LogStorage::open(folder, cluster)).value();
        EXPECT_TRUE(writeOne(storage, identity()));
        EXPECT_TRUE(writeOne(storage, entries(1, last)));
        return storage;
    }

    std::uint64_t lastIndexIn(FakeFolder& folder)
    {
        auto storage = LogStorage::open(folder, cluster);
        EXPECT_TRUE(storage.has_value());
        const auto state = storage.value().takeState();
        return state.entries.empty() ? 0 : state.entries.back().index;
    }

    // Guards against state that is lost or changed in a restart, including after short writes.
    TEST(LogStorage, RecoversWhatItWrote)
    {
        FakeFolder folder;
        folder.maxWriteBytes = 7;
        (void)filled(folder, 300);
        auto storage = std::move(LogStorage::open(folder, cluster)).value();
        const auto state = storage.takeState();
        EXPECT_EQ(state.hard, hard);
        ASSERT_EQ(state.entries.size(), 300U);
        EXPECT_EQ(state.entries[299], entry(300));
        EXPECT_EQ(storage.truncatedBytes(), 0U);
    }

    // Guards against a start that fails, or keeps half a record, after a crash in the middle of a write.
    TEST(LogStorage, TruncatesATornTailOfEveryLength)
    {
        FakeFolder folder;
        (void)filled(folder, 3);
        const auto whole = folder.names.at("log-1")->bytes;
        for (std::size_t size = 0; size < whole.size(); ++size) {
            folder.names.erase("log-2"); // written by the previous iteration
            folder.names["log-1"] = std::make_shared<FakeFolder::Content>();
            folder.names["log-1"]->bytes.assign(whole.begin(), whole.begin() + static_cast<std::ptrdiff_t>(size));
            auto storage = LogStorage::open(folder, cluster);
            ASSERT_TRUE(storage.has_value()) << size;
            const auto kept = storage.value().takeState().entries.size();
            ASSERT_LT(kept, 3U);
            ASSERT_TRUE(writeOne(storage.value(), entries(kept + 1, kept + 1)));
            ASSERT_EQ(lastIndexIn(folder), kept + 1);
        }
    }

    // Guards against treating corruption in the middle as a torn tail, which would drop synced records.
    TEST(LogStorage, RefusesAChangedByteBeforeTheTail)
    {
        FakeFolder folder;
        (void)filled(folder, 3);
        const std::size_t size = folder.names.at("log-1")->bytes.size();
        const std::size_t beforeLast = fileHeaderBytes + (size - fileHeaderBytes) / 3 * 2;
        for (std::size_t offset = 0; offset < beforeLast; ++offset) {
            folder.names.at("log-1")->bytes[offset] ^= 0x40U;
            const auto storage = LogStorage::open(folder, cluster);
            ASSERT_FALSE(storage.has_value()) << offset;
            const bool inCluster = offset >= 8 && offset < fileHeaderBytes;
            ASSERT_EQ(storage.error(), inCluster ? StorageError::ForeignCluster : StorageError::CorruptRecord);
            folder.names.at("log-1")->bytes[offset] ^= 0x40U;
        }
    }

    // Guards against a folder that is used by another cluster, and against damaged metadata.
    TEST(LogStorage, RefusesForeignAndDamagedMetadata)
    {
        FakeFolder folder;
        (void)filled(folder, 3);
        EXPECT_EQ(LogStorage::open(folder, ClusterId { 6 }).error(), StorageError::ForeignCluster);
        folder.names.at("replica")->bytes.back() ^= 1U;
        EXPECT_EQ(LogStorage::open(folder, cluster).error(), StorageError::CorruptMetadata);
    }

    // Guards against acknowledging data that a full disk did not store, and against later writes.
    TEST(LogStorage, RefusesWritesAfterTheDiskWasFull)
    {
        FakeFolder folder;
        auto storage = filled(folder, 3);
        folder.freeBytes = 30;
        EXPECT_EQ(writeOne(storage, entries(4, 4)).error(), StorageError::NoSpace);
        folder.freeBytes = 1000000;
        EXPECT_EQ(writeOne(storage, entries(4, 4)).error(), StorageError::Closed);
        EXPECT_EQ(lastIndexIn(folder), 3U);
    }

    // Guards against a folder that cannot be opened, or is given up as damaged, after its disk was full in the middle
    // of any write and has room again: given up one after another, all disks would be lost.
    TEST(LogStorage, OpensAfterTheDiskWasFullAtAnyByte)
    {
        Persist change = entries(4, 6, 2);
        change.hard = hard;
        change.snapshot = Snapshot { 3, 1, {}, 0, Bytes(50, 9) };
        std::size_t failures = 0;
        for (std::size_t room = 0; room < 700; ++room) {
            FakeFolder folder;
            {
                auto storage = filled(folder, 3);
                folder.freeBytes = room;
                failures += writeOne(storage, change) ? 0 : 1;
            }
            // Still full: either it cannot be opened yet, which is no damage, or nothing that was durable is missing.
            folder.freeBytes = 0;
            const auto whileFull = LogStorage::open(folder, cluster);
            EXPECT_TRUE(whileFull || !isDamage(whileFull.error())) << room;
            folder.freeBytes = 1000000;
            auto storage = LogStorage::open(folder, cluster);
            ASSERT_TRUE(storage) << room;
            const auto state = storage.value().takeState();
            const std::uint64_t last = state.entries.empty() ? state.snapshot->index : state.entries.back().index;
            ASSERT_GE(last, 3U) << room;
            ASSERT_TRUE(writeOne(storage.value(), entries(last + 1, last + 2, 3))) << room;
            EXPECT_EQ(lastIndexIn(folder), last + 2) << room;
        }
        EXPECT_GT(failures, 300U);
    }

    // Guards against acknowledging data after a failed sync.
    TEST(LogStorage, ReportsAFailedSync)
    {
        FakeFolder folder;
        auto storage = filled(folder, 3);
        folder.syncFails = true;
        EXPECT_EQ(writeOne(storage, entries(4, 4)).error(), StorageError::WriteFailed);
        folder.syncFails = false;
        folder.crash(0);
        EXPECT_EQ(lastIndexIn(folder), 3U);
    }

    // Guards against overwritten records that reappear, and against old segments that are never removed.
    TEST(LogStorage, ReplacesRecordsAndDropsOldSegments)
    {
        FakeFolder folder;
        auto storage = filled(folder, 10);
        Persist replacing = entries(6, 7, 2);
        replacing.truncateFrom = 6;
        ASSERT_TRUE(writeOne(storage, replacing));
        EXPECT_EQ(lastIndexIn(folder), 7U);
        for (std::uint64_t index = 10; index <= 50; index += 10) {
            ASSERT_TRUE(writeOne(storage, entries(index - 2, index + 7, 2)));
            Persist compacting;
            compacting.snapshot = Snapshot { index, 2, {}, 0, { 1 } };
            ASSERT_TRUE(writeOne(storage, compacting));
        }
        EXPECT_LE(folder.names.size(), 4U); // metadata, snapshot and at most two segments
        EXPECT_EQ(lastIndexIn(folder), 57U);
    }

    // Guards against records of a superseded log that survive the installation of a snapshot.
    TEST(LogStorage, DropsContradictedRecordsWhenInterrupted)
    {
        for (const bool interrupted : { false, true }) {
            FakeFolder folder;
            auto storage = filled(folder, 10);
            Persist install;
            install.snapshot = Snapshot { 5, 3, {}, 0, { 1 } };
            install.resetLog = !interrupted; // a crash between the snapshot and the records
            ASSERT_TRUE(writeOne(storage, install));
            auto reopened = std::move(LogStorage::open(folder, cluster)).value();
            const auto state = reopened.takeState();
            EXPECT_TRUE(state.entries.empty());
            EXPECT_EQ(state.snapshot->term, 3U);
            ASSERT_TRUE(writeOne(reopened, entries(6, 6, 3)));
            EXPECT_EQ(lastIndexIn(folder), 6U);
        }
    }

    // Guards against a crash at any write that loses synced records or makes the folder unusable.
    TEST(LogStorage, KeepsSyncedRecordsInRandomCrashes)
    {
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            std::mt19937_64 random { seed };
            FakeFolder folder;
            std::uint64_t synced = 0;
            for (int start = 0; start < 5; ++start) {
                auto storage = LogStorage::open(folder, cluster);
                ASSERT_TRUE(storage.has_value()) << seed;
                const auto state = storage.value().takeState();
                std::uint64_t last = state.snapshot ? state.snapshot->index : 0;
                last = state.entries.empty() ? last : state.entries.back().index;
                ASSERT_GE(last, synced) << seed;
                if (!state.hard)
                    (void)writeOne(storage.value(), identity());
                folder.freeBytes = random() % 4000;
                while (true) {
                    Persist item = entries(last + 1, last + 1 + random() % 4);
                    if (random() % 4 == 0 && last > 0)
                        item.snapshot = Snapshot { last, 1, {}, 0, { 1 } };
                    if (!writeOne(storage.value(), item))
                        break;
                    synced = last = item.entries.back().index;
                }
                folder.crash(random() % 40);
                folder.freeBytes = 1U << 20U;
            }
        }
    }

    // Guards against an instance that can never restart because its folder is damaged: a cleared folder is usable.
    TEST(LogStorage, ClearsADamagedFolderForReuse)
    {
        test::FakeFolder folder;
        folder.names["replica"] = std::make_shared<test::FakeFolder::Content>();
        const auto damaged = LogStorage::open(folder, ClusterId { 1 });
        ASSERT_FALSE(damaged);
        EXPECT_TRUE(isDamage(damaged.error()));
        EXPECT_FALSE(isDamage(StorageError::NoSpace));
        EXPECT_FALSE(isDamage(StorageError::ForeignCluster));
        ASSERT_TRUE(clearFolder(folder));
        auto opened = LogStorage::open(folder, ClusterId { 1 });
        ASSERT_TRUE(opened);
        EXPECT_FALSE(opened.value().takeState().hard);
    }

    // Guards against errors in the system calls, and against two processes that use one folder.
    TEST(LogStorage, RecoversAndLocksARealFolder)
    {
        const std::string path = testing::TempDir() + "zinnia-storage-" + std::to_string(getpid());
        {
            auto folder = std::move(PosixFolder::create(path)).value();
            auto storage = std::move(LogStorage::open(*folder, cluster)).value();
            EXPECT_TRUE(writeOne(storage, identity()));
            EXPECT_TRUE(writeOne(storage, entries(1, 5)));
            EXPECT_EQ(PosixFolder::create(path).error(), FileError::Busy);
        }
        auto folder = std::move(PosixFolder::create(path)).value();
        auto storage = std::move(LogStorage::open(*folder, cluster)).value();
        EXPECT_EQ(storage.takeState().entries.size(), 5U);
        std::filesystem::remove_all(path);
    }

    // Guards against crashes on damaged records of every kind.
    TEST(LogStorage, ReadsMutatedRecordsSafely)
    {
        std::mt19937_64 random { 17 };
        Bytes good;
        for (std::uint64_t index = 1; index < 4; ++index)
            appendRecord(good, entry(index));
        for (int round = 0; round < 20000; ++round) {
            Bytes bytes = good;
            bytes.resize(random() % (good.size() + 1));
            for (int change = 0; change < 2 && !bytes.empty(); ++change)
                bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
            BytesView rest { bytes };
            while (!rest.empty() && takeRecord(rest)) { }
        }
    }

} // namespace
} // namespace zinnia::runtime::test
