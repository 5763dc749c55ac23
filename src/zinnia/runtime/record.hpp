#pragma once

#include "zinnia/consensus/types.hpp"
#include "zinnia/core/bytes.hpp"
#include "zinnia/core/ids.hpp"
#include "zinnia/core/result.hpp"

#include <cstdint>
#include <optional>
#include <variant>

namespace zinnia::runtime {

/** @brief Discards all earlier records; the log continues after this index. */
struct ResetRecord {
    consensus::LogIndex index {};
    consensus::Term term {};
};

using Record = std::variant<consensus::LogEntry, ResetRecord>;

/** @brief Why a record could not be read. */
enum class RecordError : unsigned char {
    /** The bytes end within the record, or only zeros follow. */
    Torn,
    /** A checksum does not match or the content is invalid. */
    Corrupt,
};

/** @brief Appends a record: length, checksum of the length, XXH3 of the body, then kind, term, index, payload. */
void appendRecord(Bytes& target, const Record& record);

/**
 * @brief Reads the record at the start of the bytes and advances them.
 *
 * The length has its own checksum, so that a damaged length in the middle of a file is not taken for a torn tail.
 */
[[nodiscard]] Result<Record, RecordError> takeRecord(BytesView& bytes);

/** @brief Size of the header of each file: format, cluster. Unit: bytes. */
inline constexpr std::size_t fileHeaderBytes = 16;

/** @brief Kinds of file; the value is the first 8 bytes of the file. */
enum class FileFormat : std::uint64_t {
    Segment = 0x5a4c4f4731000001, // "ZLOG1", version 1
    Metadata = 0x5a4d455441000001,
    Snapshot = 0x5a534e4150000001,
};

void appendFileHeader(Bytes& target, FileFormat format, ClusterId cluster);
/** @return The cluster of a file, or nothing if the file has a different format. */
[[nodiscard]] std::optional<ClusterId> clusterOf(BytesView file, FileFormat format);

/** @brief Appends a 64-bit integer, most significant byte first. */
void appendInteger(Bytes& target, std::uint64_t value);
[[nodiscard]] std::uint64_t integerAt(BytesView bytes, std::size_t offset);
/** @return XXH3 of the bytes. */
[[nodiscard]] std::uint64_t checksumOf(BytesView bytes);

} // namespace zinnia::runtime
