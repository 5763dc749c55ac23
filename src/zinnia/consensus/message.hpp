#pragma once

#include "zinnia/consensus/types.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace zinnia::consensus {

/** @brief Common header of all messages between replicas. */
struct Header {
    LogId log;
    ReplicaId from;
    ReplicaId to;
    /** Term of the sender; in `PreVoteRequest` the term in which it would campaign. */
    Term term {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.log, self.from, self.to, self.term);
    }
    [[nodiscard]] friend bool operator==(const Header&, const Header&) = default;
};

/** @brief Asks whether the receiver would vote for the sender, without starting a new term. */
struct PreVoteRequest {
    Header header;
    LogIndex lastIndex {};
    Term lastTerm {};
    /** Index of the latest membership change that the sender knows to be committed. */
    LogIndex membershipIndex {};
    /** Term of that entry, or 0 if the sender has compacted it. */
    Term membershipTerm {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.header, self.lastIndex, self.lastTerm, self.membershipIndex, self.membershipTerm);
    }
};

struct PreVoteReply {
    Header header;
    /** Term of the request that this replies to. */
    Term requestTerm {};
    bool granted {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.header, self.requestTerm, self.granted);
    }
};

/** @brief Requests a vote in the term of the header. */
struct VoteRequest {
    Header header;
    LogIndex lastIndex {};
    Term lastTerm {};
    LogIndex membershipIndex {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.header, self.lastIndex, self.lastTerm, self.membershipIndex);
    }
};

struct VoteReply {
    Header header;
    bool granted {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.header, self.granted);
    }
};

/** @brief Log entries that follow `previousIndex`; a message without entries is a heartbeat. */
struct AppendEntries {
    Header header;
    LogIndex previousIndex {};
    Term previousTerm {};
    LogIndex commit {};
    /** Leader's clock at sending, echoed in the reply; opaque to the receiver. Unit: microseconds. */
    std::int64_t sentAt {};
    std::vector<LogEntry> entries;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.header, self.previousIndex, self.previousTerm, self.commit, self.sentAt, self.entries);
    }
};

/** @brief Reply to `AppendEntries` and `InstallSnapshot`. */
struct AppendEntriesReply {
    Header header;
    bool accepted {};
    /** If accepted, the logs are equal and durable up to this index; otherwise the highest index that may be equal. */
    LogIndex match {};
    LogIndex previousIndex {};
    std::int64_t sentAt {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.header, self.accepted, self.match, self.previousIndex, self.sentAt);
    }
};

/** @brief Sends a snapshot in place of entries that the leader has compacted. */
struct InstallSnapshot {
    Header header;
    Snapshot snapshot;
    std::int64_t sentAt {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.header, self.snapshot, self.sentAt);
    }
};

/** @brief Announces a learner's identity to the other instances, so that the leader replicates the log to it. */
struct JoinRequest {
    Header header;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit) { visit(self.header); }
};

/** @brief Tells a replica that a committed membership change has replaced it. */
struct Replaced {
    Header header;
    LogIndex membershipIndex {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.header, self.membershipIndex);
    }
};

/** @brief Asks the leader to give the sender's place to another replica, because its process is shutting down. */
struct LeaveRequest {
    Header header;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit) { visit(self.header); }
};

/** @brief Answer to `LeaveRequest`. */
struct LeaveReply {
    Header header;
    /** A learner is expected to take the sender's place. Otherwise the sender need not wait any longer. */
    bool pending {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.header, self.pending);
    }
};

/** @brief Asks a voter to campaign at once, and the others to vote for it although they have a leader. */
struct TransferLeadership {
    Header header;
    ReplicaId successor;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.header, self.successor);
    }
};

/** @brief Payload of `MessageKind::Consensus`. The order of the alternatives is part of the wire format. */
using Message = std::variant<PreVoteRequest, PreVoteReply, VoteRequest, VoteReply, AppendEntries, AppendEntriesReply,
    InstallSnapshot, JoinRequest, Replaced, LeaveRequest, LeaveReply, TransferLeadership>;

[[nodiscard]] inline const Header& headerOf(const Message& message)
{
    return std::visit([](const auto& alternative) -> const Header& { return alternative.header; }, message);
}

} // namespace zinnia::consensus
