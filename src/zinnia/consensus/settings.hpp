#pragma once

#include "zinnia/core/ids.hpp"
#include "zinnia/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace zinnia::consensus {

/** @brief Protection mechanisms that tests and experiments switch off to show what they protect from. */
struct Policy {
    /** A leader without a majority for `quorumTimeout` steps down. */
    bool checkQuorum = true;
    /** A replica with an empty folder is a learner under a new identity, and votes count by identity. */
    bool learnerFirst = true;
};

struct Settings {
    InstanceId self;
    /** The control instances known; with a fixed group only these may become voters. */
    std::vector<InstanceId> instances;
    /**
     * Voters of a group that takes in instances as they appear and replaces voters that stay silent. 0 means a fixed
     * group: one voter for each of `instances`.
     */
    std::size_t targetVoters {};
    /**
     * The first voters of such a group. Each of them starts from the same first record, so that none has to be
     * the first to run.
     */
    std::vector<InstanceId> founders;
    /** A voter that has been silent for this long may be replaced by another instance. */
    Milliseconds replaceAfter { 5000 };
    /**
     * First start of a cluster: with an empty folder, become the only voter, or one of the founders. Without founders
     * it is set on one instance only.
     */
    bool bootstrap {};
    /** Seed of election timeouts and of a new identity; has to differ between starts with an empty folder. */
    std::uint64_t seed {};

    Milliseconds heartbeatInterval { 100 };
    Milliseconds shortestElection { 500 };
    Milliseconds longestElection { 1000 };
    /**
     * Election timeouts until a leader is first known, as a share of the usual ones: after a restart of the whole group
     * nobody has a leader to be patient with. A single replica that restarts is held back by the pre-vote.
     */
    double firstElections = 1.0;
    /** Equals the longest election timeout. */
    Milliseconds quorumTimeout { 1000 };
    /** Interval of a learner's `Hello`; a learner that is silent for 10 of them is forgotten. */
    Milliseconds helloInterval { 200 };
    /** Time between two reports of one event about one replica. */
    Milliseconds reportInterval { 10000 };
    /** A snapshot is taken after this many applied records. */
    std::uint64_t snapshotInterval = 1024;
    /** Records kept before a snapshot, so that a follower slightly behind needs no snapshot. */
    std::uint64_t trailingRecords = 128;
    std::size_t recordsPerAppend = 256;
    /** Unit: bytes of commands. */
    std::size_t bytesPerAppend = 1U << 20U;
    /** Records sent to a follower ahead of its acknowledgements. */
    std::uint64_t recordsInFlight = 1024;
    /** Proposals that wait for their commit. */
    std::size_t pendingProposals = 1024;
    /** Largest command. Unit: bytes. */
    std::size_t largestCommand = 4U << 20U;
    /** Largest state in a snapshot; the codec takes byte strings up to 16 MiB. Unit: bytes. */
    std::size_t largestSnapshot = 15U << 20U;
    Policy policy;
};

} // namespace zinnia::consensus
