#pragma once

#include "zinnia/core/bytes.hpp"
#include "zinnia/core/ids.hpp"
#include "zinnia/core/name_table.hpp"
#include "zinnia/core/time.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace zinnia::consensus {

/** @brief Position of an entry in the replicated log; the first entry has index 1. */
using LogIndex = std::uint64_t;
/** @brief Raft term; there is at most one leader per term. */
using Term = std::uint64_t;
/** @brief Identity of a replicated log, generated when it is bootstrapped; 0 means not known yet. */
using LogId = StrongId<struct LogTag, std::uint64_t>;

/** @brief Identity of a replica: an instance and the incarnation of its data folder. */
struct ReplicaId {
    InstanceId instance;
    /** Random number drawn when the data folder was empty; 0 addresses any incarnation. */
    std::uint64_t incarnation {};

    [[nodiscard]] friend constexpr auto operator<=>(const ReplicaId&, const ReplicaId&) noexcept = default;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.instance, self.incarnation);
    }
};

/** @brief The voting members of the group. */
struct Membership {
    std::vector<ReplicaId> voters;
    /** Instances in the order in which they have joined, as far as it matters (`seniority.hpp`). */
    std::vector<InstanceId> arrivals {};

    [[nodiscard]] bool contains(const ReplicaId& replica) const
    {
        return std::find(this->voters.begin(), this->voters.end(), replica) != this->voters.end();
    }

    /** @return The voter that belongs to an instance, if there is one. */
    [[nodiscard]] std::optional<ReplicaId> voterOf(InstanceId instance) const
    {
        for (const auto& voter : this->voters) {
            if (voter.instance == instance)
                return voter;
        }
        return std::nullopt;
    }

    [[nodiscard]] friend bool operator==(const Membership&, const Membership&) = default;

    /** @return Number of trailing fields that are not encoded; the previous release knows only the voters. */
    [[nodiscard]] std::size_t omittedFields() const noexcept { return this->arrivals.empty() ? 1 : 0; }

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.voters, self.arrivals);
    }
};

/** @brief First entry of a term; committing it lets the leader commit entries of earlier terms. */
struct Noop {
    template <class Self, class Visitor> static void describe(Self&, Visitor& visit) { visit(); }
    [[nodiscard]] friend bool operator==(const Noop&, const Noop&) = default;
};

/** @brief An application command; its bytes are opaque to the replicated log. */
struct Command {
    Bytes bytes;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit) { visit(self.bytes); }
    [[nodiscard]] friend bool operator==(const Command&, const Command&) = default;
};

/** @brief An entry of the replicated log. */
struct LogEntry {
    LogIndex index {};
    Term term {};
    std::variant<Noop, Command, Membership> payload;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.index, self.term, self.payload);
    }
    [[nodiscard]] friend bool operator==(const LogEntry&, const LogEntry&) = default;
};

/** @brief Raft state that must survive a restart, besides the log entries. */
struct HardState {
    ReplicaId self;
    LogId log;
    Term term {};
    std::optional<ReplicaId> vote;
    /** Lower bound of the commit index; written whenever a membership change is committed. */
    LogIndex commit {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.self, self.log, self.term, self.vote, self.commit);
    }
    [[nodiscard]] friend bool operator==(const HardState&, const HardState&) = default;
};

/** @brief Application state after the entry at `index`; replaces all entries up to that index. */
struct Snapshot {
    LogIndex index {};
    Term term {};
    Membership membership;
    /** Index of the entry that set the membership. */
    LogIndex membershipIndex {};
    Bytes data;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.index, self.term, self.membership, self.membershipIndex, self.data);
    }
    [[nodiscard]] friend bool operator==(const Snapshot&, const Snapshot&) = default;
};

/** @brief Content of the data folder, as storage has read it. */
struct DurableState {
    /** Absent if the data folder was empty. */
    std::optional<HardState> hard;
    std::optional<Snapshot> snapshot;
    /** Consecutive entries; those up to the snapshot's index are ignored. */
    std::vector<LogEntry> entries;
};

enum class Role : unsigned char { Learner, Follower, PreCandidate, Candidate, Leader, Replaced, StorageFailed };

inline constexpr NameTable<Role, 7> roleNames { {
    { Role::Learner, "learner" },
    { Role::Follower, "follower" },
    { Role::PreCandidate, "pre_candidate" },
    { Role::Candidate, "candidate" },
    { Role::Leader, "leader" },
    { Role::Replaced, "replaced" },
    { Role::StorageFailed, "storage_failed" },
} };
static_assert(isDense(roleNames));

[[nodiscard]] constexpr std::string_view nameOf(Role role) noexcept { return nameIn(roleNames, role); }

/** @brief State of a replica, for operators and metrics. */
struct Status {
    ReplicaId self;
    LogId log;
    Role role {};
    Term term {};
    LogIndex commit {};
    LogIndex applied {};
    LogIndex lastIndex {};
    LogIndex snapshotIndex {};
    std::optional<InstanceId> leader;
    /** Whether this replica leads, or has applied all that a leader had reported as committed, since it started. */
    bool hasCaughtUp {};
    /** How long the oldest entry that a leader has reported as committed has not been applied; 0 on the leader. */
    Microseconds lag {};
    std::vector<ReplicaId> voters;
    /** Only the leader knows the learners; empty on other replicas. */
    std::vector<ReplicaId> learners;
};

} // namespace zinnia::consensus
