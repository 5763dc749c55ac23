#pragma once

#include "zinnia/consensus/event.hpp"
#include "zinnia/consensus/log.hpp"
#include "zinnia/consensus/settings.hpp"
#include "zinnia/core/result.hpp"
#include "zinnia/core/time.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace zinnia::consensus {

/** @brief Why a replica could not be created from its settings and its data folder. */
enum class CreateError : unsigned char { InvalidSettings, ForeignFolder, RecordsWithoutState, RecordsNotConsecutive };

inline constexpr NameTable<CreateError, 4> createErrorNames { {
    { CreateError::InvalidSettings, "invalid_settings" },
    { CreateError::ForeignFolder, "foreign_folder" },
    { CreateError::RecordsWithoutState, "records_without_state" },
    { CreateError::RecordsNotConsecutive, "records_not_consecutive" },
} };
static_assert(isDense(createErrorNames));

[[nodiscard]] constexpr std::string_view nameOf(CreateError error) noexcept { return nameIn(createErrorNames, error); }

/**
 * @brief One replica of a replicated log, with the Raft algorithm and learners.
 *
 * A deterministic state machine without I/O: the driver feeds it events and performs the actions that it returns.
 * A vote, an acknowledgement, and a commit that counts this replica's own log, wait until the driver has reported the
 * write on which they depend as durable.
 */
class Replica {
public:
    /**
     * @param state Content of the data folder; if it is empty, the replica gets a new identity.
     * @return The replica, or the reason why settings and data folder do not allow one.
     */
    [[nodiscard]] static Result<Replica, CreateError> create(Settings settings, DurableState state, TimePoint now);

    /**
     * @brief Processes one event.
     * @return The actions that the driver has to perform, in this order.
     */
    [[nodiscard]] Actions handle(const Event& event, TimePoint now);

    [[nodiscard]] Status status() const;

private:
    /** @brief The leader's view of a voter or learner. */
    struct Progress {
        LogIndex match {};
        LogIndex next {};
        /** Set until the last entry that both logs share is known; meanwhile entries are not pipelined. */
        bool probing = true;
        /** Send time of the latest acknowledged message. */
        TimePoint contact;
        TimePoint snapshotSent;
        /** Time of the last hello received from a learner. */
        TimePoint hello;
    };

    /** @brief A write that the driver has not reported as durable yet. */
    struct Outstanding {
        WriteNumber write {};
        LogIndex lastIndex {};
        LogIndex commit {};
    };

    /** @brief A message that is sent once a write is durable. */
    struct Held {
        WriteNumber write {};
        Message message;
    };

    struct PendingRead {
        RequestId id;
        TimePoint asked;
    };

    Replica(Settings settings, DurableState state, TimePoint now);

    void on(const Tick& event);
    void on(const Receive& event);
    void on(const Propose& event);
    void on(const Read& event);
    void on(const Persisted& event);
    void on(const PersistFailed& event);
    void on(const SnapshotTaken& event);
    void on(const InstancesKnown& event);
    void on(const Stop& event);
    /** @brief Creates the log with its first entry, which sets the voters. */
    void found(Membership voters);

    // Election
    void on(const PreVote& message);
    void on(const PreVoteReply& message);
    void on(const Vote& message);
    void on(const VoteReply& message);
    void on(const Replaced& message);
    void learnMembership(LogIndex index, Term term);
    void campaign();
    void becomeCandidate();
    void becomeLeader();
    void becomeFollower(Term term, std::optional<ReplicaId> newLeader);
    void stepDown(zinnia::Event cause);
    void checkQuorum();
    void retire(const ReplicaId& by, LogIndex membershipIndex);
    void resetElection();
    [[nodiscard]] bool hasLeader() const;
    [[nodiscard]] bool mayVote() const;
    [[nodiscard]] bool isUpToDate(LogIndex lastIndex, Term lastTerm) const;
    [[nodiscard]] bool refuseReplaced(const Header& header, LogIndex membershipIndex);
    [[nodiscard]] bool hasQuorumOfVotes() const;
    [[nodiscard]] ReplicaId votingIdOf(const ReplicaId& id) const;

    // Replication
    void on(const Append& message);
    void on(const AppendReply& message);
    void on(const InstallSnapshot& message);
    [[nodiscard]] bool followLeader(const Header& header);
    void appendOwn(std::variant<Noop, Command, Membership> payload);
    [[nodiscard]] bool takeEntries(const std::vector<Entry>& entries);
    void sendAppend(const ReplicaId& peer, Progress& progress, bool heartbeat);
    void broadcast(bool heartbeat);
    void advanceLeaderCommit();
    void advanceCommit(LogIndex index);
    void applyCommitted();
    void answerReads();
    [[nodiscard]] std::optional<RefusalCause> refusalOf(std::size_t size) const;

    // Admission
    void on(const Hello& message);
    void sayHello();
    void admitLearners();
    void syncProgress();
    [[nodiscard]] bool isFounder() const;
    [[nodiscard]] bool isDynamic() const noexcept { return this->settings.targetVoters > 0; }
    [[nodiscard]] bool isSilent(const ReplicaId& voter, Milliseconds limit) const;
    /** @return The membership with the learner as a voter, or nothing if the change is not needed or not allowed. */
    [[nodiscard]] std::optional<Membership> membershipWith(const ReplicaId& id, const Progress& learner);
    [[nodiscard]] std::vector<ReplicaId> peers() const;

    // Shared
    template <class T>
    [[nodiscard]] T quorumValue(const Membership& membership, const std::function<T(const ReplicaId&)>& valueOf) const;
    template <class T> [[nodiscard]] T quorumValue(const std::function<T(const ReplicaId&)>& valueOf) const;
    [[nodiscard]] bool admits(const Message& message);
    [[nodiscard]] bool isCommitted(const MembershipPoint& point) const { return point.index <= this->commit; }
    [[nodiscard]] TimePoint quorumContact() const;
    [[nodiscard]] Header headerTo(const ReplicaId& to) const;
    void send(Message message);
    void sendDurable(Message message);
    void report(zinnia::Event event, const ReplicaId& other, LogIndex index = 0);
    void finish();

    Settings settings;
    std::mt19937_64 random;
    HardState hard;
    Log log;
    TimePoint now;

    Role role = Role::Follower;
    std::optional<ReplicaId> leader;
    TimePoint lastLeaderContact;
    TimePoint electionDue;
    TimePoint heartbeatDue;
    TimePoint helloDue;
    bool campaigning {};
    /** Whether any leader has been known since the process started. */
    bool hasKnownLeader {};
    bool stopping {};
    std::set<ReplicaId> votes;

    LogIndex commit {};
    LogIndex applied {};
    /** The local log is durable up to this index. */
    LogIndex stable {};
    /** Memberships up to this index are durably known to be committed, so that a restart does not forget it. */
    LogIndex durableCommit {};
    LogIndex firstOfTerm {};
    bool broadcastDue {};
    LogIndex snapshotAsked {};
    std::map<ReplicaId, Progress> progress;
    std::map<LogIndex, RequestId> pending;
    std::deque<PendingRead> reads;

    // Collected for the actions of the current event
    bool hardDirty {};
    LogIndex truncateFrom {};
    bool resetLog {};
    std::optional<Snapshot> newSnapshot;
    std::vector<Entry> newEntries;
    std::vector<Message> gated;
    Actions actions;

    // Issued to the driver
    WriteNumber lastWrite {};
    WriteNumber selfVoteWrite {};
    std::deque<Outstanding> outstanding;
    std::deque<Held> held;
    std::map<std::pair<zinnia::Event, ReplicaId>, TimePoint> reported;
};

} // namespace zinnia::consensus
