#pragma once

#include "zinnia/core/bytes.hpp"
#include "zinnia/core/name_table.hpp"
#include "zinnia/core/time.hpp"
#include "zinnia/routing/flow_id.hpp"
#include "zinnia/routing/flow_packet.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

namespace zinnia::routing {

/** @brief Kind of a packet, by which drops and waiting times are counted. */
enum class PacketKind : std::uint8_t { Opening, Signal, Data };

inline constexpr NameTable<PacketKind, 3> packetKindNames { {
    { PacketKind::Opening, "opening" },
    { PacketKind::Signal, "signal" },
    { PacketKind::Data, "data" },
} };
static_assert(isDense(packetKindNames));

[[nodiscard]] constexpr std::string_view nameOf(PacketKind kind) noexcept { return nameIn(packetKindNames, kind); }

/** @return The kind of a packet; a packet without data that opens no flow is a signal. */
[[nodiscard]] constexpr PacketKind kindOf(const FlowPacket& packet) noexcept
{
    if (packet.syn)
        return PacketKind::Opening;
    return packet.dataBytes > 0 ? PacketKind::Data : PacketKind::Signal;
}

/** @brief Limits of an `EgressQueue`. */
struct EgressQueueSettings {
    /** Bytes that a flow may send before the data of uploads; two full packets, enough for most requests. */
    std::size_t firstTurnBytes = 2600;
    /** Pause after which a flow gets a first turn again. */
    Milliseconds firstTurnInterval { 100 };
    /** Bytes that a flow may send before flows that opened later have their turn. */
    std::size_t turnBytes = 256 << 10;
    /** Time without a packet after which the place of a flow in the order is forgotten. */
    Milliseconds retention { 1000 };
    /** Maximum size of all waiting packets. Unit: bytes. */
    std::size_t maxBytes = 1 << 20;
};

/** @brief What happened to a packet offered to an `EgressQueue`. */
enum class EgressOutcome : std::uint8_t { Queued, Replaced };

/** @brief A packet that waits for the outgoing link. */
struct QueuedPacket {
    FlowPacket packet;
    Bytes bytes;
    TimePoint arrivedAt;
};

/**
 * @brief Packets that wait for the outgoing link.
 *
 * The first packets of a flow after a pause come first, so openings, acknowledgements and short requests do not wait
 * behind the data of uploads, as in FQ-CoDel (RFC 8290). Uploads are sent one after the other, the oldest first, which
 * finishes more of them in time than equal shares. A long one gives way after `turnBytes`.
 *
 * A retransmission of a packet that still waits takes its place instead of a second one. Packets are not dropped to
 * slow callers down, because callers have a fixed window.
 */
class EgressQueue {
public:
    explicit EgressQueue(const EgressQueueSettings& settings)
        : settings { settings }
    {
    }

    /**
     * @brief Adds a packet, or replaces the waiting transmission of the same packet.
     *
     * If the limit is exceeded, the oldest packet of the flow with the most waiting bytes is dropped. A packet by which
     * the caller gives up its flow replaces all waiting packets of the flow.
     */
    EgressOutcome add(const FlowPacket& packet, BytesView bytes, TimePoint now);

    /** @brief Removes and returns the next packet, or nothing if none waits. */
    [[nodiscard]] std::optional<QueuedPacket> take(TimePoint now);

    /** @brief Forgets flows without packets; to be called about once a second. */
    void expire(TimePoint now);

    [[nodiscard]] bool isEmpty() const noexcept { return this->waitingBytes == 0; }
    /** @return Size of all waiting packets. Unit: bytes. */
    [[nodiscard]] std::size_t size() const noexcept { return this->waitingBytes; }
    /** @return Number of flows with packets beyond their first turn, that is, of uploads that wait. */
    [[nodiscard]] std::size_t uploadCount() const noexcept { return this->ranked.size(); }
    [[nodiscard]] std::size_t flowCount() const noexcept { return this->flows.size(); }
    /** @return Number of packets dropped since the start, by kind. */
    [[nodiscard]] const std::array<std::uint64_t, packetKindNames.size()>& dropped() const noexcept
    {
        return this->droppedCounts;
    }

private:
    struct FlowQueue {
        std::deque<QueuedPacket> packets;
        std::size_t bytes {};
        /** Bytes left of the first turn. */
        std::int64_t firstTurnBytes {};
        bool inFirstTurn {};
        /** Place among the flows after their first turn; the lowest is sent first. */
        std::uint64_t rank {};
        /** Bytes sent with this rank. */
        std::size_t sentBytes {};
        TimePoint lastPacketAt;
    };

    [[nodiscard]] QueuedPacket takeFrom(FlowQueue& queue, TimePoint now);
    /** @brief Places a flow that has packets waiting in the order. */
    void enlist(const FlowId& id, FlowQueue& queue);
    void dropOldestOfLargestFlow();

    EgressQueueSettings settings;
    std::unordered_map<FlowId, FlowQueue, FlowIdHash> flows;
    /** Flows in their first turn; may contain flows without packets. */
    std::deque<FlowId> firstTurns;
    /** Other flows with packets, by rank. */
    std::map<std::uint64_t, FlowId> ranked;
    std::uint64_t nextRank {};
    std::size_t waitingBytes {};
    std::array<std::uint64_t, packetKindNames.size()> droppedCounts {};
};

} // namespace zinnia::routing
