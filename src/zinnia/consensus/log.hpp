#pragma once

#include "zinnia/consensus/types.hpp"

#include <deque>
#include <optional>
#include <vector>

namespace zinnia::consensus {

/** @brief A membership and the index of the log entry that set it. */
struct IndexedMembership {
    LogIndex index {};
    Membership membership;
};

/** @brief In-memory log of a replica: the entries since the last compaction, the snapshot and the memberships. */
class Log {
public:
    Log() = default;
    explicit Log(const DurableState& state);

    [[nodiscard]] LogIndex lastIndex() const noexcept { return this->baseIndex + this->entries.size(); }
    [[nodiscard]] Term lastTerm() const noexcept
    {
        return this->entries.empty() ? this->baseTerm : this->entries.back().term;
    }
    /** @return The term of the entry at an index, if the entry is still in the log; index 0 has term 0. */
    [[nodiscard]] std::optional<Term> termAt(LogIndex index) const noexcept;
    /** @return The entry at an index, which must be greater than `base()` and at most `lastIndex()`. */
    [[nodiscard]] const LogEntry& at(LogIndex index) const { return this->entries[index - this->baseIndex - 1]; }
    /** @return The index that precedes the first entry in memory. */
    [[nodiscard]] LogIndex base() const noexcept { return this->baseIndex; }
    /**
     * @brief Copies consecutive entries, starting at `from`.
     * @param maxEntries Maximum number of entries.
     * @param maxBytes Maximum sum of the command sizes; the first entry is returned even if it is larger.
     * @return The entries; empty if the log ends before `from`.
     */
    [[nodiscard]] std::vector<LogEntry> slice(LogIndex from, std::size_t maxEntries, std::size_t maxBytes) const;
    /** @return The index that precedes the consecutive entries with the same term as the entry at `index`. */
    [[nodiscard]] LogIndex indexBeforeTermOf(LogIndex index) const;

    void append(LogEntry entry);
    void truncateFrom(LogIndex index);
    /**
     * @brief Replaces the entries that a snapshot of the leader covers.
     * @param keepLaterEntries Whether the entries after the snapshot's index stay; otherwise the log is emptied.
     */
    void install(Snapshot snapshot, bool keepLaterEntries);
    /**
     * @brief Compacts the log after a snapshot of the local application state.
     * @param retainedEntries Maximum number of entries up to the snapshot's index that stay in memory.
     * @param retainedBytes Maximum size of their commands; the size of the snapshot if that is larger. Unit: bytes.
     */
    void compact(LogIndex index, Bytes data, std::uint64_t retainedEntries, std::size_t retainedBytes);

    [[nodiscard]] const Snapshot& snapshot() const noexcept { return this->latestSnapshot; }
    [[nodiscard]] const IndexedMembership& latestMembership() const noexcept { return this->memberships.back(); }
    /** @return The membership that precedes the latest one; the latest if no other is known. */
    [[nodiscard]] const IndexedMembership& previousMembership() const noexcept
    {
        return this->memberships.size() > 1 ? this->memberships[this->memberships.size() - 2]
                                            : this->memberships.back();
    }
    /** @return The newest membership at or before an index. */
    [[nodiscard]] const IndexedMembership& membershipAt(LogIndex index) const noexcept;

private:
    void dropUpTo(LogIndex index);

    LogIndex baseIndex = 0;
    Term baseTerm = 0;
    std::deque<LogEntry> entries;
    Snapshot latestSnapshot;
    std::vector<IndexedMembership> memberships { IndexedMembership {} };
};

} // namespace zinnia::consensus
