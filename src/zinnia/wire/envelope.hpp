#pragma once

#include "zinnia/core/bytes.hpp"
#include "zinnia/core/ids.hpp"
#include "zinnia/core/reasons.hpp"
#include "zinnia/core/result.hpp"

#include <array>
#include <bitset>
#include <cstdint>
#include <unordered_map>

namespace zinnia::wire {

/** @brief Shared secret of all processes of one cluster. */
using ClusterKey = std::array<std::uint8_t, 32>;

/** @brief Kinds of messages between the processes of a cluster. Values are part of the protocol and never reused. */
enum class MessageKind : std::uint8_t {
    Heartbeat = 1,
    ForwardPacket = 2,
    ReplicateFlows = 3,
    ReplicateAck = 4,
    HandoverRequest = 5,
    HandoverRecords = 6,
    HandoverDone = 7,
    HandoverAck = 8,
    RecordRequest = 9,
    RecordRequestAck = 10,
    DispatchRequest = 11,
    RequestResult = 12,
    CancelRequest = 13,
    UpstreamUpdate = 14,
    ObservationRecord = 15,
    ObservationRecordAck = 16,
    ConfigPoll = 20,
    ConfigReply = 21,
    Consensus = 30,
    FeedRequest = 40,
    FeedReply = 41,
    Gossip = 42,
    GossipAck = 43,
    LoadReport = 44,
    LoadReply = 45,
    ZoneSummary = 46,
    StatePartsRequest = 47,
    StatePart = 48,
};

/** @brief Maximum size of a message between entry instances: one UDP datagram. Unit: bytes. */
inline constexpr std::size_t maxDatagramBytes = 65000;
/** @brief Size of tag, cluster, sender, epoch, sequence number and kind. Unit: bytes. */
inline constexpr std::size_t envelopeBytes = 16 + 8 + 4 + 8 + 8 + 1;

/** @brief An authenticated message. `body` refers to the received bytes. */
struct OpenedMessage {
    InstanceId sender;
    Epoch epoch;
    std::uint64_t sequence {};
    MessageKind kind {};
    BytesView body;
};

/** @brief Adds an envelope to the messages of one process: sender, sequence number and keyed hash. */
class Sealer {
public:
    Sealer(const ClusterKey& key, ClusterId cluster, InstanceId self, Epoch epoch);

    /** @return The bytes to send: the envelope, followed by the body. */
    [[nodiscard]] Bytes seal(MessageKind kind, BytesView body);

private:
    ClusterKey key;
    ClusterId cluster;
    InstanceId self;
    Epoch epoch;
    std::uint64_t nextSequence = 1;
};

/**
 * @brief Checks received messages: keyed hash, cluster and replay.
 *
 * Replay protection keeps, for each sender, the newest epoch and a window of the last 1,024 sequence
 * numbers. A sender numbers its messages to all receivers in one sequence, so the window has to be wide enough for
 * datagrams that are reordered while the sender forwards packets to many peers. Messages of an older epoch, below the
 * window or seen before are refused.
 */
class Opener {
public:
    /**
     * @param checkReplay False accepts repeated messages and older epochs, for messages that are merged by the version
     *        in their content. Epochs come from the wall clock, which may be set back while a process is restarted.
     */
    Opener(const ClusterKey& key, ClusterId cluster, bool checkReplay = true);

    /** @return The message, or BadTag, WrongCluster, Replayed, Malformed or Oversized. */
    [[nodiscard]] Result<OpenedMessage, RefusalReason> open(BytesView bytes);

private:
    static constexpr std::uint64_t windowSize = 1024;

    struct Window {
        Epoch epoch;
        std::uint64_t newest = 0;
        /** Bit (sequence number modulo window size): true if the sequence number was received. */
        std::bitset<windowSize> seen;
    };

    [[nodiscard]] bool admit(InstanceId sender, Epoch epoch, std::uint64_t sequence);

    ClusterKey key;
    ClusterId cluster;
    bool checkReplay;
    std::unordered_map<InstanceId, Window> windows;
};

} // namespace zinnia::wire
