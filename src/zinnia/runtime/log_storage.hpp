#pragma once

#include "zinnia/consensus/event.hpp"
#include "zinnia/core/ids.hpp"
#include "zinnia/core/name_table.hpp"
#include "zinnia/core/result.hpp"
#include "zinnia/runtime/file.hpp"
#include "zinnia/runtime/record.hpp"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace zinnia::runtime {

/** @brief Why the data folder cannot be used or a write is not durable. */
enum class StorageError : unsigned char {
    Unreadable,
    CorruptRecord,
    CorruptMetadata,
    CorruptSnapshot,
    MissingRecords,
    ForeignCluster,
    NoSpace,
    WriteFailed,
    /** An earlier write failed; the folder must be reopened. */
    Closed,
};

inline constexpr NameTable<StorageError, 9> storageErrorNames { {
    { StorageError::Unreadable, "unreadable" },
    { StorageError::CorruptRecord, "corrupt_record" },
    { StorageError::CorruptMetadata, "corrupt_metadata" },
    { StorageError::CorruptSnapshot, "corrupt_snapshot" },
    { StorageError::MissingRecords, "missing_records" },
    { StorageError::ForeignCluster, "foreign_cluster" },
    { StorageError::NoSpace, "no_space" },
    { StorageError::WriteFailed, "write_failed" },
    { StorageError::Closed, "closed" },
} };
static_assert(isDense(storageErrorNames));

[[nodiscard]] constexpr std::string_view nameOf(StorageError error) noexcept
{
    return nameIn(storageErrorNames, error);
}

/** @return True if the content of the folder is damaged, so that reopening it would fail in the same way. */
[[nodiscard]] constexpr bool isDamage(StorageError error) noexcept
{
    return error == StorageError::CorruptRecord || error == StorageError::CorruptMetadata
        || error == StorageError::CorruptSnapshot || error == StorageError::MissingRecords;
}

/** @brief Removes all files of a folder, which leaves it like that of an instance that lost its disk. */
[[nodiscard]] Result<void, StorageError> clearFolder(FileSystem& files);

/**
 * @brief Durable storage of a replica in one folder: segments of records, metadata and a snapshot.
 *
 * After a failed write or sync the state of the file is not known, so all later writes are refused.
 */
class LogStorage {
public:
    /** @brief Recovers the folder. @param files Must outlive the storage. */
    [[nodiscard]] static Result<LogStorage, StorageError> open(FileSystem& files, ClusterId cluster);

    /** @return The recovered state; may be called only once. */
    [[nodiscard]] consensus::DurableState takeState() { return std::move(this->state); }
    /** @return Size of the torn tail that recovery truncated. Unit: bytes. */
    [[nodiscard]] std::uint64_t truncatedBytes() const noexcept { return this->truncatedTailBytes; }

    /** @brief Writes and syncs in the order required by `consensus::Persist`. */
    [[nodiscard]] Result<void, StorageError> write(std::span<const consensus::Persist> batch);

private:
    struct Segment {
        std::uint64_t number {};
        /** Highest index of its records. */
        consensus::LogIndex last {};
    };

    LogStorage(FileSystem& files, ClusterId cluster)
        : files { &files }
        , cluster { cluster }
    {
    }

    [[nodiscard]] Result<void, StorageError> recover();
    [[nodiscard]] Result<void, StorageError> recoverSnapshot(const std::vector<std::string>& names);
    [[nodiscard]] Result<void, StorageError> recoverSegment(std::uint64_t number, bool isLast);
    [[nodiscard]] Result<void, StorageError> replay(const Record& record);
    [[nodiscard]] Result<void, StorageError> dropContradictedRecords();
    [[nodiscard]] Result<Bytes, StorageError> readFile(const std::string& name);
    [[nodiscard]] Result<Bytes, StorageError> readFramedFile(
        const std::string& name, FileFormat format, StorageError corrupt);
    [[nodiscard]] Result<void, StorageError> writeFramedFile(
        const std::string& name, FileFormat format, BytesView content);
    [[nodiscard]] Result<void, StorageError> writeAll(File& file, BytesView bytes);
    [[nodiscard]] Result<void, StorageError> writeBatch(std::span<const consensus::Persist> batch);
    [[nodiscard]] Result<void, StorageError> writeRecords(const Bytes& records, consensus::LogIndex last);
    [[nodiscard]] Result<void, StorageError> startSegment();
    [[nodiscard]] Result<void, StorageError> dropOldFiles();

    FileSystem* files;
    ClusterId cluster;
    consensus::DurableState state;
    ResetRecord base;
    std::uint64_t truncatedTailBytes {};
    bool hasMetadata {};
    bool failed {};
    bool startNext = true;
    consensus::LogIndex snapshotIndex {};
    std::vector<Segment> segments;
    std::unique_ptr<File> current;
};

} // namespace zinnia::runtime
