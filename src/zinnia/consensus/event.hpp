#pragma once

#include "zinnia/consensus/message.hpp"
#include "zinnia/consensus/types.hpp"
#include "zinnia/consensus/voter_placement.hpp"
#include "zinnia/core/event.hpp"
#include "zinnia/core/name_table.hpp"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace zinnia::consensus {

/** @brief Correlation id that the driver assigns to match a result with its request. */
using RequestId = StrongId<struct RequestTag, std::uint64_t>;
/** @brief Sequence number of a write; increases by one with each `Persist`. */
using WriteNumber = std::uint64_t;
/** @brief Number of a message whose end the driver reports; 0 for messages that need no report. */
using TransferNumber = std::uint64_t;

/** @brief Advances the clock and the timers; delivered at least every 20 ms. */
struct Tick { };

struct Receive {
    Message message;
};

struct Propose {
    RequestId id;
    Bytes command;
};

/** @brief Requests a read index: the state at that index contains every command acknowledged before the request. */
struct Read {
    RequestId id;
};

/** @brief All writes up to this number are synced. */
struct Persisted {
    WriteNumber write {};
};

/** @brief A write failed; neither it nor any later write may be assumed to be durable. */
struct PersistFailed {
    WriteNumber write {};
};

/** @brief Reply to `TakeSnapshot`: the application's state after applying the entry at `index`. */
struct SnapshotTaken {
    LogIndex index {};
    Bytes data;
};

/** @brief A message with a transfer number has reached the receiver's process, or was lost. */
struct TransferEnded {
    ReplicaId to;
    TransferNumber transfer {};
    bool delivered {};
};

/** @brief Replaces the set of known control instances; ignored by a fixed group. */
struct InstancesUpdated {
    std::vector<InstanceId> instances;
    ZoneTable zones {};
};

/** @brief The process is shutting down: proposals and reads are refused from now on. */
struct Stop { };

using Event = std::variant<Tick, Receive, Propose, Read, Persisted, PersistFailed, SnapshotTaken, TransferEnded,
    InstancesUpdated, Stop>;

/** @brief Why a proposal or read was refused; a refused command is never applied. */
enum class RefusalCause : unsigned char { NotReady, StorageFailed, Stopping, Overloaded, TooLarge };

inline constexpr NameTable<RefusalCause, 5> refusalCauseNames { {
    { RefusalCause::NotReady, "not_ready" },
    { RefusalCause::StorageFailed, "storage_failed" },
    { RefusalCause::Stopping, "stopping" },
    { RefusalCause::Overloaded, "overloaded" },
    { RefusalCause::TooLarge, "too_large" },
} };
static_assert(isDense(refusalCauseNames));

[[nodiscard]] constexpr std::string_view nameOf(RefusalCause cause) noexcept
{
    return nameIn(refusalCauseNames, cause);
}

/** @brief The command is durable on a majority of the voters and was applied on this replica. */
struct Committed {
    LogIndex index {};
};

/** @brief The command was not accepted because this replica is not the leader; names the leader if it is known. */
struct NotLeader {
    std::optional<InstanceId> leader;
};

/** @brief Leadership was lost before the command was committed; a later leader may still commit it. */
struct OutcomeUnknown { };

struct Refused {
    RefusalCause cause {};
};

using ProposalResult = std::variant<Committed, NotLeader, OutcomeUnknown, Refused>;

struct Send {
    Message message;
    /** If not 0, the driver reports `TransferEnded` once, when the message was delivered or is known to be lost. */
    TransferNumber transfer {};
};

/**
 * @brief Requests a durable write, in this order: snapshot, truncation, entries, hard state.
 *
 * The driver syncs each of them and then reports the sequence number. The hard state is written last, so that after a
 * crash its `commit` never covers stale entries that this write was about to replace.
 */
struct Persist {
    WriteNumber write {};
    std::optional<Snapshot> snapshot;
    /** Discard all entries; the log continues after the snapshot. */
    bool resetLog {};
    /** Discard the entries from this index on; 0 discards none. */
    LogIndex truncateFrom {};
    std::optional<HardState> hard;
    std::vector<LogEntry> entries;
};

/** @brief Applies a committed command; issued once for each index, in log order. */
struct Apply {
    LogIndex index {};
    Bytes command;
};

/** @brief Replaces the application's state by a snapshot that was taken after the entry at `index`. */
struct Restore {
    LogIndex index {};
    Bytes data;
};

/** @brief Asks the application for a snapshot of its state, which is the state after the entry at `index`. */
struct TakeSnapshot {
    LogIndex index {};
};

struct ProposalDone {
    RequestId id;
    ProposalResult result;
};

/** @brief Result of a read; `Committed` holds the index that must be applied before the state is read. */
struct ReadDone {
    RequestId id;
    ProposalResult result;
};

/** @brief An event for the process log. */
struct Report {
    zinnia::Event event {};
    ReplicaId other;
    Term term {};
    LogIndex index {};
};

using Action = std::variant<Send, Persist, Apply, Restore, TakeSnapshot, ProposalDone, ReadDone, Report>;
using Actions = std::vector<Action>;

} // namespace zinnia::consensus
