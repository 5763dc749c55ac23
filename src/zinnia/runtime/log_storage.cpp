#include "zinnia/runtime/log_storage.hpp"

#include "zinnia/wire/archive.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

namespace zinnia::runtime {

namespace {

    constexpr std::string_view segmentPrefix = "log-";
    constexpr std::string_view snapshotPrefix = "snapshot-";
    constexpr std::string_view temporarySuffix = ".tmp";
    const std::string metadataName = "replica";

    std::string nameOfFile(std::string_view prefix, std::uint64_t number)
    {
        return std::string { prefix } + std::to_string(number);
    }

    std::optional<std::uint64_t> numberOf(std::string_view name, std::string_view prefix)
    {
        if (!name.starts_with(prefix))
            return std::nullopt;
        name.remove_prefix(prefix.size());
        std::uint64_t number = 0;
        const auto [end, error] = std::from_chars(name.data(), name.data() + name.size(), number);
        return error == std::errc {} && end == name.data() + name.size() ? std::optional { number } : std::nullopt;
    }

    StorageError writeErrorOf(FileError error)
    {
        return error == FileError::NoSpace ? StorageError::NoSpace : StorageError::WriteFailed;
    }

    template <class T> Result<void, StorageError> checkWrite(const FileResult<T>& result)
    {
        if (!result)
            return writeErrorOf(result.error());
        return success();
    }

} // namespace

Result<void, StorageError> clearFolder(FileSystem& files)
{
    const auto names = files.list();
    if (!names)
        return StorageError::Unreadable;
    for (const auto& name : names.value()) {
        BOOST_OUTCOME_TRY(checkWrite(files.remove(name)));
    }
    return checkWrite(files.syncFolder());
}

Result<LogStorage, StorageError> LogStorage::open(FileSystem& files, ClusterId cluster)
{
    LogStorage storage { files, cluster };
    BOOST_OUTCOME_TRY(storage.recover());
    return storage;
}

Result<void, StorageError> LogStorage::recover()
{
    const auto names = this->files->list();
    if (!names)
        return StorageError::Unreadable;
    for (const auto& name : names.value()) {
        if (name.ends_with(temporarySuffix))
            (void)!this->files->remove(name);
        else if (const auto number = numberOf(name, segmentPrefix))
            this->segments.push_back(Segment { *number, 0 });
    }
    if (std::find(names.value().begin(), names.value().end(), metadataName) != names.value().end()) {
        BOOST_OUTCOME_TRY(
            content, this->readFramedFile(metadataName, FileFormat::Metadata, StorageError::CorruptMetadata));
        auto hard = wire::decode<consensus::HardState>(content);
        if (!hard)
            return StorageError::CorruptMetadata;
        this->state.hard = hard.value();
        this->hasMetadata = true;
    }
    BOOST_OUTCOME_TRY(this->recoverSnapshot(names.value()));
    std::sort(this->segments.begin(), this->segments.end(),
        [](const Segment& left, const Segment& right) { return left.number < right.number; });
    for (std::size_t i = 0; i < this->segments.size(); ++i) {
        BOOST_OUTCOME_TRY(this->recoverSegment(this->segments[i].number, i + 1 == this->segments.size()));
    }
    return this->dropContradictedRecords();
}

Result<void, StorageError> LogStorage::recoverSnapshot(const std::vector<std::string>& names)
{
    for (const auto& name : names)
        this->snapshotIndex = std::max(this->snapshotIndex, numberOf(name, snapshotPrefix).value_or(0));
    if (this->snapshotIndex == 0)
        return success();
    const std::string name = nameOfFile(snapshotPrefix, this->snapshotIndex);
    BOOST_OUTCOME_TRY(content, this->readFramedFile(name, FileFormat::Snapshot, StorageError::CorruptSnapshot));
    auto snapshot = wire::decode<consensus::Snapshot>(content);
    if (!snapshot)
        return StorageError::CorruptSnapshot;
    this->state.snapshot = std::move(snapshot).value();
    return success();
}

Result<void, StorageError> LogStorage::recoverSegment(std::uint64_t number, bool isLast)
{
    const std::string name = nameOfFile(segmentPrefix, number);
    BOOST_OUTCOME_TRY(content, this->readFile(name));
    BytesView rest { content };
    Segment& segment = *std::find_if(this->segments.begin(), this->segments.end(),
        [&](const Segment& candidate) { return candidate.number == number; });
    std::size_t good = 0;
    if (content.size() >= fileHeaderBytes) {
        const auto owner = clusterOf(content, FileFormat::Segment);
        if (!owner)
            return StorageError::CorruptRecord;
        if (*owner != this->cluster)
            return StorageError::ForeignCluster;
        rest = rest.subspan(fileHeaderBytes);
        good = fileHeaderBytes;
        while (!rest.empty()) {
            const auto record = takeRecord(rest);
            if (!record && record.error() == RecordError::Corrupt)
                return StorageError::CorruptRecord;
            if (!record)
                break;
            good = content.size() - rest.size();
            BOOST_OUTCOME_TRY(this->replay(record.value()));
            segment.last
                = std::max(segment.last, std::visit([](const auto& any) { return any.index; }, record.value()));
        }
    }
    if (good == content.size() && good > 0)
        return success();
    // Only the last segment is appended to, so only its tail can be torn.
    if (!isLast)
        return StorageError::CorruptRecord;
    this->truncatedTailBytes = content.size() - good;
    if (good == 0) {
        this->segments.pop_back();
        return checkWrite(this->files->remove(name));
    }
    auto file = this->files->open(name, OpenMode::Existing);
    if (!file)
        return StorageError::Unreadable;
    BOOST_OUTCOME_TRY(checkWrite(file.value()->truncate(good)));
    return checkWrite(file.value()->sync());
}

Result<void, StorageError> LogStorage::replay(const Record& record)
{
    auto& entries = this->state.entries;
    if (const auto* reset = std::get_if<ResetRecord>(&record)) {
        entries.clear();
        this->base = *reset;
        return success();
    }
    const auto& entry = std::get<consensus::LogEntry>(record);
    // A record replaces earlier ones with its index and above.
    while (!entries.empty() && entries.back().index >= entry.index)
        entries.pop_back();
    const consensus::LogIndex before = entries.empty() ? entry.index - 1 : entries.back().index;
    if (before + 1 != entry.index)
        return StorageError::MissingRecords;
    entries.push_back(entry);
    return success();
}

Result<void, StorageError> LogStorage::dropContradictedRecords()
{
    auto& entries = this->state.entries;
    if (entries.empty())
        return success();
    const consensus::Snapshot covered = this->state.snapshot.value_or(consensus::Snapshot {});
    const auto same = std::find_if(entries.begin(), entries.end(),
        [&](const consensus::LogEntry& entry) { return entry.index == covered.index && entry.term == covered.term; });
    const bool follows = entries.front().index == covered.index + 1
        && (covered.index == 0 || (this->base.index == covered.index && this->base.term == covered.term));
    if (same != entries.end() || follows)
        return success();
    if (covered.index == 0)
        return StorageError::MissingRecords;
    // The process stopped after installing the leader's snapshot, before dropping the records that it replaces.
    entries.clear();
    Bytes reset;
    appendRecord(reset, ResetRecord { covered.index, covered.term });
    return this->writeRecords(reset, covered.index);
}

Result<Bytes, StorageError> LogStorage::readFile(const std::string& name)
{
    auto file = this->files->open(name, OpenMode::Existing);
    if (!file)
        return StorageError::Unreadable;
    auto content = file.value()->readAll();
    if (!content)
        return StorageError::Unreadable;
    return std::move(content).value();
}

Result<Bytes, StorageError> LogStorage::readFramedFile(const std::string& name, FileFormat format, StorageError corrupt)
{
    BOOST_OUTCOME_TRY(content, this->readFile(name));
    const auto owner = clusterOf(content, format);
    if (!owner || content.size() < fileHeaderBytes + 8)
        return corrupt;
    if (*owner != this->cluster)
        return StorageError::ForeignCluster;
    const BytesView body = BytesView { content }.subspan(fileHeaderBytes + 8);
    if (integerAt(content, fileHeaderBytes) != checksumOf(body))
        return corrupt;
    return Bytes { body.begin(), body.end() };
}

} // namespace zinnia::runtime
