#pragma once

#include "zinnia/consensus/loss_tolerance.hpp"
#include "zinnia/core/ids.hpp"
#include "zinnia/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace zinnia::consensus {

/** @brief Safety mechanisms that tests and experiments disable to show which failures occur without them. */
struct SafetyChecks {
    /** A leader steps down after `quorumTimeout` without contact to a majority. */
    bool checkQuorum = true;
    /**
     * A replica with an empty data folder joins as a learner with a new identity, and votes count per identity.
     * If false, it may vote at once, and votes count per instance.
     */
    bool joinAsLearner = true;
};

struct Settings {
    InstanceId self;
    /** The known control instances; in a fixed group (see `losses`) only these may become voters. */
    std::vector<InstanceId> instances;
    /**
     * Losses that a dynamic group survives, which admits instances as they appear and replaces voters without contact.
     * Empty in a fixed group, which has one voter for each of `instances`.
     */
    std::optional<LossTolerance> losses;
    /**
     * Initial voters of a dynamic group. All of them create the same first log entry, so that none has to be started
     * before the others.
     */
    std::vector<InstanceId> initialVoters;
    /**
     * Bootstraps a new cluster if the data folder is empty: the replica becomes the only voter, or one of
     * `initialVoters` if they are set. Without initial voters it must be set on exactly one instance.
     */
    bool bootstrap {};
    /** Seed of election timeouts and of a new identity; must differ between starts with an empty data folder. */
    std::uint64_t seed {};

    Milliseconds heartbeatInterval { 100 };
    Milliseconds minElectionTimeout { 500 };
    Milliseconds maxElectionTimeout { 1000 };
    /**
     * Factor on the election timeouts until this replica first knows a leader. A value below 1 shortens the outage
     * after a restart of the whole group, when there is no leader to wait for. A single restarted replica cannot
     * disturb a working leader with it, because its pre-vote fails.
     */
    double initialElectionTimeoutFactor = 1.0;
    /** Time without contact to a majority after which a leader steps down; equals the longest election timeout. */
    Milliseconds quorumTimeout { 1000 };
    /** Interval of a learner's `JoinRequest`; the leader drops a learner after 10 intervals without one. */
    Milliseconds joinRequestInterval { 200 };
    /** Minimum time between two reports of the same event about the same other replica. */
    Milliseconds reportInterval { 10000 };
    /** Number of applied log entries after which the next snapshot is taken. */
    std::uint64_t entriesPerSnapshot = 1024;
    /**
     * A snapshot is also taken when the commands applied since the last one exceed this size and twice the size of that
     * snapshot. It bounds what a learner has to receive. Unit: bytes.
     */
    std::size_t minBytesPerSnapshot = 4U << 20U;
    /** Log entries before a snapshot that are retained, so that a slightly lagging follower needs no snapshot. */
    std::uint64_t trailingEntries = 128;
    /** Maximum size of the commands of these entries, unless the snapshot itself is larger. Unit: bytes. */
    std::size_t trailingBytes = 64U << 10U;
    /** Maximum number of entries in one `AppendEntries`. */
    std::size_t maxEntriesPerAppend = 256;
    /** Maximum size of the commands in one `AppendEntries`; a single larger command is still sent. Unit: bytes. */
    std::size_t maxBytesPerAppend = 1U << 20U;
    /**
     * Messages with more data than this are sent to a follower one at a time, and nothing relies on their order: later,
     * small messages may arrive earlier. It is the size of a frame of the stream. Unit: bytes.
     */
    std::size_t minTransferBytes = 16U << 10U;
    /** Maximum number of unacknowledged entries in flight to a follower. */
    std::uint64_t maxEntriesInFlight = 1024;
    /** Maximum number of proposals and reads in progress; further ones are refused as overload. */
    std::size_t maxPendingProposals = 1024;
    /** Maximum size of all commands of these proposals; a single one is still accepted. Unit: bytes. */
    std::size_t maxPendingBytes = 16U << 20U;
    /** Maximum size of a command. Unit: bytes. */
    std::size_t maxCommandBytes = 4U << 20U;
    /** Maximum size of a snapshot's application state; the codec accepts byte strings up to 16 MiB. Unit: bytes. */
    std::size_t maxSnapshotBytes = 15U << 20U;
    SafetyChecks safetyChecks;

    /** @return Time without contact after which a voter may be replaced. */
    [[nodiscard]] Milliseconds silenceLimit() const noexcept
    {
        return this->losses ? this->losses->silenceLimit(this->minElectionTimeout, this->heartbeatInterval)
                            : this->quorumTimeout;
    }
};

} // namespace zinnia::consensus
