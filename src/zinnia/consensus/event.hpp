#pragma once

#include "zinnia/consensus/message.hpp"
#include "zinnia/consensus/types.hpp"
#include "zinnia/core/event.hpp"
#include "zinnia/core/name_table.hpp"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace zinnia::consensus {

/** @brief Chosen by the driver to match a result with its request. */
using RequestId = StrongId<struct RequestTag, std::uint64_t>;
/** @brief Number of a write; grows by one with each `Persist`. */
using WriteNumber = std::uint64_t;

/** @brief Time has passed; sent at least every 20 ms. */
struct Tick { };

struct Receive {
    Message message;
};

struct Propose {
    RequestId id;
    Bytes command;
};

/** @brief Asks for an index such that the state at it has every command acknowledged before. */
struct Read {
    RequestId id;
};

/** @brief All writes up to this number are synced. */
struct Persisted {
    WriteNumber write {};
};

/** @brief A write failed; nothing after it may be assumed to be on the disk. */
struct PersistFailed {
    WriteNumber write {};
};

/** @brief Answer to `TakeSnapshot`: the state after the record `index`. */
struct SnapshotTaken {
    LogIndex index {};
    Bytes data;
};

/** @brief The control instances that are known now; for groups that change. */
struct InstancesKnown {
    std::vector<InstanceId> instances;
};

/** @brief Refuses proposals from now on, as the process is about to stop. */
struct Stop { };

using Event = std::variant<Tick, Receive, Propose, Read, Persisted, PersistFailed, SnapshotTaken, InstancesKnown, Stop>;

/** @brief Why a proposal or read was refused; it has not been and will not be run. */
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

/** @brief The command is durable at a majority and was applied here. */
struct Committed {
    LogIndex index {};
};

/** @brief The command was not taken; the leader's instance is named if it is known. */
struct NotLeader {
    std::optional<InstanceId> leader;
};

/** @brief Leadership was lost before the command was committed: it may still be committed, or never. */
struct OutcomeUnknown { };

struct Refused {
    RefusalCause cause {};
};

using ProposalResult = std::variant<Committed, NotLeader, OutcomeUnknown, Refused>;

struct Send {
    Message message;
};

/**
 * @brief Write in this order: snapshot, truncation, entries, hard state; sync each, then report the number.
 *
 * The hard state is last, so that its `commit` never covers records that a crash kept from being replaced.
 */
struct Persist {
    WriteNumber write {};
    std::optional<Snapshot> snapshot;
    /** Drop all records; the log goes on after the snapshot. */
    bool resetLog {};
    /** Drop the records from this index on; 0 drops none. */
    LogIndex truncateFrom {};
    std::optional<HardState> hard;
    std::vector<Entry> entries;
};

/** @brief Run a committed command. Called once for each index, in order. */
struct Apply {
    LogIndex index {};
    Bytes command;
};

/** @brief Replace the application's state. */
struct Restore {
    LogIndex index {};
    Bytes data;
};

/** @brief Capture the application's state, which is the one after the record `index`. */
struct TakeSnapshot {
    LogIndex index {};
};

struct ProposalDone {
    RequestId id;
    ProposalResult result;
};

/** @brief Result of a read; `Committed` names the index that has to be applied before reading. */
struct ReadDone {
    RequestId id;
    ProposalResult result;
};

/** @brief Something to log. */
struct Report {
    zinnia::Event event {};
    ReplicaId other;
    Term term {};
    LogIndex index {};
};

using Action = std::variant<Send, Persist, Apply, Restore, TakeSnapshot, ProposalDone, ReadDone, Report>;
using Actions = std::vector<Action>;

} // namespace zinnia::consensus
