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
 * A deterministic state machine without I/O: the driver passes events to it and performs the actions that it returns.
 * A vote or an acknowledgement is sent, and this replica's own log counts for a commit, only after the driver has
 * reported the write behind it as durable.
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

    /**
     * @return True while this replica, after `Stop`, waits for a learner to take its place among the voters. A process
     *         that exits earlier leaves an unreachable voter behind.
     */
    [[nodiscard]] bool isLeaving() const;

private:
    /** @brief The leader's view of a voter or learner. */
    struct Progress {
        LogIndex matchIndex {};
        LogIndex nextIndex {};
        /** True until the last entry that both logs share is known; meanwhile entries are not pipelined. */
        bool probing = true;
        /** Send time of the newest message that this voter or learner has acknowledged. */
        TimePoint ackedSendTime;
        /** Value of `Replica::runningTime` when that message, or the heartbeat before it, was sent. */
        Microseconds ackedRunningTime {};
        TimePoint snapshotSentAt;
        /** A large message that the follower has not answered yet; 0 if there is none. Nothing else large is sent. */
        TransferNumber transfer {};
        /** Index of the last entry in that message. */
        LogIndex transferLast {};
        /** Index before its first entry; 0 for a snapshot. */
        LogIndex transferPrevious {};
        /** When that message was delivered, if it was. */
        std::optional<TimePoint> transferDeliveredAt;
        /** Time of the last join request received from a learner. */
        TimePoint lastJoinRequest;
        /** Time of the last leave request received from a voter. */
        TimePoint lastLeaveRequest;
    };

    /** @brief A write that the driver has not reported as durable yet. */
    struct PendingWrite {
        WriteNumber write {};
        LogIndex lastIndex {};
        LogIndex commit {};
    };

    /** @brief A message that is sent once a write is durable. */
    struct DeferredMessage {
        WriteNumber write {};
        Message message;
    };

    struct PendingRead {
        RequestId id;
        TimePoint requestedAt;
    };

    Replica(Settings settings, DurableState state, TimePoint now);

    void on(const Tick& event);
    void on(const Receive& event);
    void on(const Propose& event);
    void on(const Read& event);
    void on(const Persisted& event);
    void on(const PersistFailed& event);
    void on(const SnapshotTaken& event);
    void on(const TransferEnded& event);
    void on(const InstancesUpdated& event);
    void on(const Stop& event);
    /** @brief Creates the log with its first entry, which sets the voters. */
    void bootstrapLog(Membership voters);

    // Election
    void on(const PreVoteRequest& message);
    void on(const PreVoteReply& message);
    void on(const VoteRequest& message);
    void on(const VoteReply& message);
    void on(const Replaced& message);
    void on(const TransferLeadership& message);
    /** @brief Asks another voter that has the whole log to lead. It has no effect while a change is in progress. */
    void transferLeadership();
    /** @return True if the leader has named the replica as its successor a short time ago. */
    [[nodiscard]] bool isDesignated(const ReplicaId& candidate) const;
    /** @brief Commits up to a membership in the durable log that another voter knows to be committed. */
    void learnCommittedMembership(LogIndex index, Term term);
    void campaign();
    void becomeCandidate();
    void becomeLeader();
    void becomeFollower(Term term, std::optional<ReplicaId> newLeader);
    void stepDown(zinnia::Event cause);
    void checkQuorum();
    /**
     * @brief Ends this replica's role as a voter, because a committed membership excludes it.
     * @param reporter The replica that reported the membership; this replica itself if it committed the membership.
     */
    void retire(const ReplicaId& reporter, LogIndex membershipIndex);
    void resetElectionTimer();
    [[nodiscard]] bool hasLeader() const;
    [[nodiscard]] bool isEligibleVoter() const;
    [[nodiscard]] bool isUpToDate(LogIndex lastIndex, Term lastTerm) const;
    /** @return True if the sender was replaced in the committed membership; it then gets a `Replaced` message. */
    [[nodiscard]] bool refuseReplacedSender(const Header& header, LogIndex membershipIndex);
    [[nodiscard]] bool hasQuorumOfVotes() const;
    /** @return The id that votes for a replica; another one only if votes count per instance (see `SafetyChecks`). */
    [[nodiscard]] ReplicaId votingIdOf(const ReplicaId& id) const;

    // Replication
    void on(const AppendEntries& message);
    void on(const AppendEntriesReply& message);
    void on(const InstallSnapshot& message);
    /** @return False if this replica itself is the leader of the term; the message must then be dropped. */
    [[nodiscard]] bool followLeader(const Header& header);
    void appendAsLeader(std::variant<Noop, Command, Membership> payload);
    [[nodiscard]] bool mergeEntries(const std::vector<LogEntry>& entries);
    void sendAppend(const ReplicaId& peer, Progress& progress, bool heartbeat);
    /** @brief Sends a heartbeat that the follower accepts whatever has become of the messages in transit. */
    void sendIndependentHeartbeat(const ReplicaId& peer, const Progress& progress);
    /** @brief Sends a large message. No other one follows until it is answered or known to be lost. */
    void startTransfer(Progress& progress, Message message, LogIndex previous, LogIndex last);
    /** @brief Makes the leader send the entries of a lost transfer again. */
    static void abandonTransfer(Progress& progress);
    /** @brief Ends a transfer that the reply answers. @return False if there was none, or if it goes on. */
    static bool endTransfer(Progress& progress, const AppendEntriesReply& reply);
    void broadcast(bool heartbeat);
    void advanceLeaderCommit();
    void advanceCommit(LogIndex index);
    void applyCommitted();
    /** @param commit The commit index in a message of the leader; 0 if the leader has to send a snapshot first. */
    void recordReportedCommit(LogIndex commit);
    [[nodiscard]] Microseconds lag() const;
    void answerReads();
    [[nodiscard]] std::optional<RefusalCause> refusalCauseFor(std::size_t size) const;

    // Admission
    void on(const JoinRequest& message);
    void on(const LeaveRequest& message);
    void on(const LeaveReply& message);
    void sendJoinRequests();
    void sendLeaveRequest();
    void admitLearners();
    /** @return Learners that have caught up, those first that spread the voters best over zones. */
    [[nodiscard]] std::vector<ReplicaId> learnersToAdmit() const;
    /**
     * @brief Gives the seat of a voter to the newest learner of its zone, before the voter is removed.
     * @return True if a membership was proposed.
     */
    bool succeedVoters(const std::vector<ReplicaId>& learners);
    /** @brief Replaces a voter by a learner of a zone with fewer voters, if the group is calm. */
    void spreadVoters(const std::vector<ReplicaId>& learners);
    /** @brief Adds the progress of new voters and removes that of other replicas that no longer request to join. */
    void syncProgress();
    [[nodiscard]] bool isInitialVoter() const;
    /** @return The incarnation of a new identity; it tells those of the first start of a dynamic group from others. */
    [[nodiscard]] std::uint64_t drawIncarnation();
    /** @return True if the leader keeps the number of voters at a target, see `Settings::losses`. */
    [[nodiscard]] bool isDynamic() const noexcept { return this->settings.losses.has_value(); }
    /**
     * @return Age of the newest message that a voter has acknowledged, without the time in which this process was
     *         paused.
     */
    [[nodiscard]] Microseconds silenceOf(const ReplicaId& voter) const;
    /** @return True if the voter may be replaced: it is without contact, and a majority of the voters is not. */
    [[nodiscard]] bool isSilent(const ReplicaId& voter) const;
    /** @return True if the learner could take the seat of a voter at once. */
    [[nodiscard]] bool isInContact(const Progress& learner) const;
    /** @return True if the process of a voter is shutting down, this replica's included. */
    [[nodiscard]] bool isLeaving(const ReplicaId& voter) const;
    /** @return True if the learner follows the log closely, so that it can become a voter. */
    [[nodiscard]] bool isResponsive(const Progress& learner) const;
    /** @return True if a learner is expected to become a voter soon. */
    [[nodiscard]] bool hasResponsiveLearner() const;
    /** @return The voter to replace by a learner: one that leaves, or else the one that is silent for longest. */
    [[nodiscard]] std::optional<ReplicaId> replaceableVoter() const;
    /** @brief Starts to send the log to a learner. */
    void addLearner(const ReplicaId& id, TimePoint lastJoinRequest);
    /** @return True if the sender of a join request has not repeated it for so long that it is no learner any more. */
    [[nodiscard]] bool isExpired(TimePoint joinRequest) const;
    /** @return Value of `runningTime` at the last heartbeat up to that time; empty if it is too long ago. */
    [[nodiscard]] std::optional<Microseconds> runningTimeAt(TimePoint sentAt) const;
    /** @return The membership with the learner as a voter, or nothing if the change is not needed or not allowed. */
    [[nodiscard]] std::optional<Membership> membershipWith(const ReplicaId& id, const Progress& learner);
    /** @return The membership with the learner in the place of the voter. Reports the change. */
    [[nodiscard]] Membership replaceVoter(
        const Membership& membership, const ReplicaId& voter, const ReplicaId& learner);
    [[nodiscard]] std::vector<ReplicaId> peers() const;

    // Shared
    template <class T>
    [[nodiscard]] T quorumValue(const Membership& membership, const std::function<T(const ReplicaId&)>& valueOf) const;
    template <class T> [[nodiscard]] T quorumValue(const std::function<T(const ReplicaId&)>& valueOf) const;
    [[nodiscard]] bool isAcceptable(const Message& message);
    [[nodiscard]] bool isCommitted(const IndexedMembership& membership) const
    {
        return membership.index <= this->commitIndex;
    }
    [[nodiscard]] TimePoint lastQuorumContact() const;
    [[nodiscard]] Header headerTo(const ReplicaId& to) const;
    void send(Message message);
    void sendWhenDurable(Message message);
    void report(zinnia::Event event, const ReplicaId& other, LogIndex index = 0);
    /** @brief Ends the handling of an event: adds the write and the messages that result from it to the actions. */
    void addWritesAndMessages();

    Settings settings;
    std::mt19937_64 random;
    HardState hardState;
    Log log;
    TimePoint now;
    /** Time that this process has run, without pauses of more than a heartbeat interval. */
    Microseconds runningTime {};
    /** Its values at the heartbeats that this leader has sent within the last `quorumTimeout`. */
    std::map<TimePoint, Microseconds> heartbeatTimes;

    Role role = Role::Follower;
    std::optional<ReplicaId> leader;
    /** The leader that this replica last followed; unlike `leader` not cleared by an election. */
    std::optional<ReplicaId> lastFollowedLeader;
    TimePoint lastLeaderContact;
    /** Value of `runningTime` at `lastLeaderContact`. */
    Microseconds leaderContactRunningTime {};
    /** Learners that have asked to join, whoever leads. A new leader need not wait until they ask again. */
    std::map<ReplicaId, TimePoint> joinRequests;
    TimePoint electionDeadline;
    TimePoint nextHeartbeat;
    TimePoint nextJoinRequest;
    bool selfVotePending {};
    /** Whether any leader has been known since the process started. */
    bool hasSeenLeader {};
    bool stopping {};
    /** The leader has answered that nothing would take this replica's place. */
    bool leaveRefused {};
    TimePoint nextLeaveRequest;
    std::set<ReplicaId> votes;

    LogIndex commitIndex {};
    LogIndex appliedIndex {};
    /** The local log is durable up to this index. */
    LogIndex durableIndex {};
    /** Memberships up to this index are durably recorded as committed, so that they are known after a restart. */
    LogIndex durableCommitIndex {};
    LogIndex firstIndexOfTerm {};
    /** A commit index that a leader has reported. */
    struct ReportedCommit {
        LogIndex index {};
        TimePoint at;
    };
    /** Reported commit indexes that were not applied at the last report, the oldest first. */
    std::deque<ReportedCommit> awaitedCommits;
    bool hasCaughtUp {};
    bool broadcastPending {};
    /** Zones of the known instances. */
    ZoneTable zones;
    /** The voter that the leader has asked to lead, and until when the others vote for it and the leader waits. */
    std::optional<std::pair<ReplicaId, TimePoint>> designated;
    /** Attempts of this leader to hand over, and when the next one may follow. */
    unsigned handoverAttempts {};
    TimePoint nextHandover;
    /** When this leader was elected, or has last proposed a membership. */
    TimePoint membershipProposedAt;
    LogIndex snapshotRequestedIndex {};
    /** Size of the commands applied since the last snapshot was requested or installed. Unit: bytes. */
    std::size_t appliedBytes {};
    TransferNumber nextTransfer = 1;
    std::map<ReplicaId, Progress> progress;
    std::map<LogIndex, RequestId> pendingProposals;
    /** Size of their commands. Unit: bytes. */
    std::size_t pendingBytes {};
    std::deque<PendingRead> pendingReads;

    // Collected for the actions of the current event
    bool hardStateChanged {};
    LogIndex truncateFrom {};
    bool resetLog {};
    std::optional<Snapshot> newSnapshot;
    std::vector<LogEntry> newEntries;
    std::vector<Message> messagesToDefer;
    Actions actions;

    // Writes issued to the driver, messages that wait for them, and when each event was last reported
    WriteNumber lastWriteNumber {};
    WriteNumber selfVoteWriteNumber {};
    std::deque<PendingWrite> pendingWrites;
    std::deque<DeferredMessage> deferredMessages;
    std::map<std::pair<zinnia::Event, ReplicaId>, TimePoint> lastReported;
};

} // namespace zinnia::consensus
