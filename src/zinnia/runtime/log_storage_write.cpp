#include "zinnia/runtime/log_storage.hpp"
#include "zinnia/wire/archive.hpp"

#include <algorithm>
#include <string>

namespace zinnia::runtime {

namespace {

    StorageError writeErrorOf(FileError error)
    {
        return error == FileError::NoSpace ? StorageError::NoSpace : StorageError::WriteFailed;
    }

    Result<void, StorageError> checkWrite(const FileResult<void>& result)
    {
        if (!result)
            return writeErrorOf(result.error());
        return success();
    }

} // namespace

Result<void, StorageError> LogStorage::write(std::span<const consensus::Persist> batch)
{
    if (this->failed)
        return StorageError::Closed;
    auto result = this->writeBatch(batch);
    this->failed = !result;
    return result;
}

Result<void, StorageError> LogStorage::writeBatch(std::span<const consensus::Persist> batch)
{
    Bytes records;
    consensus::LogIndex last = 0;
    const consensus::HardState* hard = nullptr;
    bool hasSnapshot = false;
    for (const auto& item : batch) {
        if (item.hard) {
            hard = &*item.hard;
            if (!this->hasMetadata) {
                // After a crash, recovery would reject records in a folder without an identity.
                consensus::HardState first = *hard;
                first.commit = 0;
                BOOST_OUTCOME_TRY(this->writeFramedFile("replica", FileFormat::Metadata, wire::encode(first)));
                this->hasMetadata = true;
            }
        }
        if (item.snapshot) {
            const std::string name = "snapshot-" + std::to_string(item.snapshot->index);
            BOOST_OUTCOME_TRY(this->writeFramedFile(name, FileFormat::Snapshot, wire::encode(*item.snapshot)));
            this->snapshotIndex = item.snapshot->index;
            hasSnapshot = true;
            if (item.resetLog)
                appendRecord(records, ResetRecord { item.snapshot->index, item.snapshot->term });
            last = std::max(last, item.snapshot->index);
        }
        for (const auto& entry : item.entries) {
            appendRecord(records, entry);
            last = std::max(last, entry.index);
        }
    }
    if (!records.empty()) {
        BOOST_OUTCOME_TRY(this->writeRecords(records, last));
    }
    if (hard != nullptr) {
        BOOST_OUTCOME_TRY(this->writeFramedFile("replica", FileFormat::Metadata, wire::encode(*hard)));
    }
    if (!hasSnapshot)
        return success();
    this->startNext = true;
    return this->dropOldFiles();
}

Result<void, StorageError> LogStorage::writeRecords(const Bytes& records, consensus::LogIndex last)
{
    if (this->startNext) {
        BOOST_OUTCOME_TRY(this->startSegment());
    }
    BOOST_OUTCOME_TRY(this->writeAll(*this->current, records));
    BOOST_OUTCOME_TRY(checkWrite(this->current->sync()));
    this->segments.back().last = std::max(this->segments.back().last, last);
    return success();
}

Result<void, StorageError> LogStorage::startSegment()
{
    const std::uint64_t number = this->segments.empty() ? 1 : this->segments.back().number + 1;
    auto file = this->files->open("log-" + std::to_string(number), OpenMode::Replace);
    if (!file)
        return writeErrorOf(file.error());
    this->current = std::move(file).value();
    Bytes header;
    appendFileHeader(header, FileFormat::Segment, this->cluster);
    BOOST_OUTCOME_TRY(this->writeAll(*this->current, header));
    BOOST_OUTCOME_TRY(checkWrite(this->current->sync()));
    BOOST_OUTCOME_TRY(checkWrite(this->files->syncFolder()));
    this->segments.push_back(Segment { number, 0 });
    this->startNext = false;
    return success();
}

Result<void, StorageError> LogStorage::dropOldFiles()
{
    // The segment with the record of the snapshot stays: recovery compares its term with the snapshot's.
    while (!this->segments.empty() && this->segments.front().last < this->snapshotIndex) {
        BOOST_OUTCOME_TRY(checkWrite(this->files->remove("log-" + std::to_string(this->segments.front().number))));
        this->segments.erase(this->segments.begin());
    }
    const auto names = this->files->list();
    if (!names)
        return StorageError::WriteFailed;
    const std::string latest = "snapshot-" + std::to_string(this->snapshotIndex);
    for (const auto& name : names.value()) {
        if (name.starts_with("snapshot-") && name != latest) {
            BOOST_OUTCOME_TRY(checkWrite(this->files->remove(name)));
        }
    }
    return checkWrite(this->files->syncFolder());
}

Result<void, StorageError> LogStorage::writeFramedFile(const std::string& name, FileFormat format, BytesView content)
{
    Bytes bytes;
    appendFileHeader(bytes, format, this->cluster);
    appendInteger(bytes, checksumOf(content));
    bytes.insert(bytes.end(), content.begin(), content.end());
    const std::string temporary = name + ".tmp";
    auto file = this->files->open(temporary, OpenMode::Replace);
    if (!file)
        return writeErrorOf(file.error());
    BOOST_OUTCOME_TRY(this->writeAll(*file.value(), bytes));
    BOOST_OUTCOME_TRY(checkWrite(file.value()->sync()));
    BOOST_OUTCOME_TRY(checkWrite(this->files->rename(temporary, name)));
    return checkWrite(this->files->syncFolder());
}

Result<void, StorageError> LogStorage::writeAll(File& file, BytesView bytes)
{
    while (!bytes.empty()) {
        const auto written = file.append(bytes);
        if (!written)
            return writeErrorOf(written.error());
        if (written.value() == 0)
            return StorageError::WriteFailed;
        bytes = bytes.subspan(written.value());
    }
    return success();
}

} // namespace zinnia::runtime
