#include "zinnia/runtime/record.hpp"

#include "zinnia/core/hash.hpp"
#include "zinnia/wire/archive.hpp"

#include <algorithm>

namespace zinnia::runtime {

namespace {

    enum class RecordKind : std::uint8_t { Entry = 1, Reset = 2 };

    /** Length, checksum of the length, checksum of the body. */
    constexpr std::size_t recordHeaderBytes = 24;
    /** Kind, term, index. */
    constexpr std::size_t bodyHeaderBytes = 17;

    using Payload = decltype(consensus::LogEntry::payload);

    void appendBodyHeader(Bytes& body, RecordKind kind, consensus::Term term, consensus::LogIndex index)
    {
        body.push_back(static_cast<std::uint8_t>(kind));
        appendInteger(body, term);
        appendInteger(body, index);
    }

} // namespace

void appendInteger(Bytes& target, std::uint64_t value)
{
    for (unsigned shift = 64; shift > 0; shift -= 8)
        target.push_back(static_cast<std::uint8_t>(value >> (shift - 8)));
}

std::uint64_t integerAt(BytesView bytes, std::size_t offset)
{
    std::uint64_t value = 0;
    for (const std::uint8_t byte : bytes.subspan(offset, 8))
        value = (value << 8U) | byte;
    return value;
}

std::uint64_t checksumOf(BytesView bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }

void appendRecord(Bytes& target, const Record& record)
{
    Bytes body;
    if (const auto* entry = std::get_if<consensus::LogEntry>(&record)) {
        appendBodyHeader(body, RecordKind::Entry, entry->term, entry->index);
        wire::encodeTo(body, entry->payload);
    } else {
        const auto& reset = std::get<ResetRecord>(record);
        appendBodyHeader(body, RecordKind::Reset, reset.term, reset.index);
    }
    appendInteger(target, body.size());
    appendInteger(target, hashOf(0, body.size()));
    appendInteger(target, checksumOf(body));
    target.insert(target.end(), body.begin(), body.end());
}

Result<Record, RecordError> takeRecord(BytesView& bytes)
{
    if (bytes.size() < recordHeaderBytes)
        return RecordError::Torn;
    const std::uint64_t length = integerAt(bytes, 0);
    if (integerAt(bytes, 8) != hashOf(0, length)) {
        const bool isUnwritten = std::all_of(bytes.begin(), bytes.end(), [](std::uint8_t byte) { return byte == 0; });
        return isUnwritten ? RecordError::Torn : RecordError::Corrupt;
    }
    if (bytes.size() - recordHeaderBytes < length)
        return RecordError::Torn;
    const BytesView body = bytes.subspan(recordHeaderBytes, length);
    const bool isLast = bytes.size() - recordHeaderBytes == length;
    if (integerAt(bytes, 16) != checksumOf(body) || length < bodyHeaderBytes)
        return isLast ? RecordError::Torn : RecordError::Corrupt;
    const std::uint64_t term = integerAt(body, 1);
    const std::uint64_t index = integerAt(body, 9);
    bytes = bytes.subspan(recordHeaderBytes + length);
    if (body[0] == static_cast<std::uint8_t>(RecordKind::Reset))
        return Record { ResetRecord { index, term } };
    auto payload = wire::decode<Payload>(body.subspan(bodyHeaderBytes));
    if (body[0] != static_cast<std::uint8_t>(RecordKind::Entry) || !payload)
        return RecordError::Corrupt;
    return Record { consensus::LogEntry { index, term, std::move(payload).value() } };
}

void appendFileHeader(Bytes& target, FileFormat format, ClusterId cluster)
{
    appendInteger(target, static_cast<std::uint64_t>(format));
    appendInteger(target, cluster.value);
}

std::optional<ClusterId> clusterOf(BytesView file, FileFormat format)
{
    if (file.size() < fileHeaderBytes || integerAt(file, 0) != static_cast<std::uint64_t>(format))
        return std::nullopt;
    return ClusterId { integerAt(file, 8) };
}

} // namespace zinnia::runtime
