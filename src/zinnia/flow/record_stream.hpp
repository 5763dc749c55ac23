#pragma once

#include "zinnia/core/ids.hpp"
#include "zinnia/core/time.hpp"
#include "zinnia/flow/messages.hpp"

#include <cstdint>
#include <deque>
#include <vector>

namespace zinnia::flow {

/** @brief Token bucket that limits the rate of control messages in bytes. A message may overdraw it. */
class ControlRateLimiter {
public:
    ControlRateLimiter(std::uint32_t bytesPerSecond, std::uint32_t burst, TimePoint now);
    void refill(TimePoint now);
    [[nodiscard]] bool hasTokens() const noexcept { return this->tokens > 0.0; }
    void spend(std::size_t bytes) noexcept { this->tokens -= static_cast<double>(bytes); }

private:
    double bytesPerSecond;
    double burst;
    double tokens;
    TimePoint last;
};

/** @brief Content of a stream item: a flow record, an ended flow, a default of a bucket, or the end of its handover. */
enum class StreamItemKind : std::uint8_t { Record, Ended, Default, Done };

/** @brief An item queued for a peer. Flow records are looked up only when the message is built. */
struct StreamItem {
    /** Flow key of a record or ended item; upstream id of a default or done item. */
    std::uint64_t value {};
    BucketIndex bucket;
    std::uint8_t service {};
    StreamItemKind kind {};
    bool complete {};
    InstanceId nextSource;
};

/**
 * @brief Ordered items for one peer, sent in messages that the peer acknowledges.
 *
 * Records may arrive in any order. A default or done item is a barrier: it is sent only when all earlier items have
 * been acknowledged, so the receiver has every record before it processes the barrier.
 */
class RecordStream {
public:
    /** @return Number of the item; items are numbered from 1. */
    std::uint64_t push(const StreamItem& item);
    /** @return Number of the last item that was pushed. */
    [[nodiscard]] std::uint64_t pushed() const noexcept { return this->takenItems + this->queue.size(); }
    /** @return The highest item number up to which all items have been acknowledged. */
    [[nodiscard]] std::uint64_t acknowledgedThrough() const noexcept;
    [[nodiscard]] std::size_t backlog() const noexcept { return this->queue.size(); }
    [[nodiscard]] bool isIdle() const noexcept { return this->queue.empty() && this->unacknowledged.empty(); }

    /**
     * @brief Takes the items of the next message out of the queue.
     * @param items Receives the items.
     * @return False if the queue is empty, or the window or a barrier does not allow a message.
     */
    [[nodiscard]] bool take(std::vector<StreamItem>& items);
    /** @brief Stores the message built from the last `take` for retransmission until it is acknowledged. */
    void trackSent(std::uint64_t sequence, PeerMessage message, std::size_t bytes, TimePoint now);
    /** @return True if the sequence number belongs to an unacknowledged message of this stream. */
    bool acknowledge(std::uint64_t sequence);

    struct Unacknowledged {
        std::uint64_t sequence;
        /** Number of the last item before the message. */
        std::uint64_t lastItemBefore;
        TimePoint sentAt;
        std::size_t bytes;
        PeerMessage message;
    };
    /** @return The first unacknowledged message last sent at or before `limit`, or nullptr. */
    [[nodiscard]] Unacknowledged* overdue(TimePoint limit);

    [[nodiscard]] std::size_t memoryBytes() const noexcept;

private:
    static constexpr std::size_t window = 8; // messages in flight
    static constexpr std::size_t recordsPerMessage = 40; // keeps a message below 1,200 bytes
    static constexpr std::size_t bucketsPerMessage = 256;

    std::deque<StreamItem> queue;
    std::deque<Unacknowledged> unacknowledged;
    std::uint64_t takenItems = 0;
    /** Value of `taken` before the last `take`. */
    std::uint64_t takenItemsBefore = 0;
};

} // namespace zinnia::flow
