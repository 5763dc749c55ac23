#pragma once

#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/ids.hpp"
#include "zinnia/core/time.hpp"

#include <array>
#include <cstdint>
#include <memory>
#include <vector>

namespace zinnia::flow {

/** @brief Index of a flow in the table. */
using FlowIndex = std::uint32_t;
inline constexpr FlowIndex noFlow = 0xFFFFFFFF;
/** @brief Index of an upstream in `UpstreamSet`. */
using SlotIndex = std::uint16_t;
inline constexpr SlotIndex noSlot = 0xFFFF;
inline constexpr std::uint16_t noPort = 0xFFFF;

/** @brief Unit of table times, which count from the start of the engine. */
inline constexpr Milliseconds tableTimeUnit { 100 };

/** @brief One flow, 44 bytes. */
struct Flow {
    // Fields that a packet of a known flow accesses come first, so that they mostly share one cache line.
    std::uint32_t keyLow;
    std::uint32_t keyHigh;
    /** Last packet, or last record from another entry. Table time. */
    std::uint32_t lastActive;
    std::uint32_t callerAddress;
    std::uint16_t callerPort;
    /** Upstream slot, or `noSlot` if the flow's upstream is in another zone. */
    SlotIndex upstream;
    /** Local port index, or the zone of the upstream if that is another zone. */
    std::uint16_t port;
    std::uint8_t service;
    /** True if this entry has sent packets of the flow; false for a copy of another entry's record. */
    bool active;
    /** Table time at which the flow began; negative if it began before this engine. */
    std::int32_t start;
    FlowIndex timerNext;
    FlowIndex timerPrevious;
    FlowIndex bucketNext;
    FlowIndex bucketPrevious;

    [[nodiscard]] FlowKey key() const noexcept
    {
        return FlowKey { (std::uint64_t { this->keyHigh } << 32U) | this->keyLow };
    }
    [[nodiscard]] Endpoint caller() const noexcept { return { this->callerAddress, this->callerPort }; }
    [[nodiscard]] bool isInOtherZone() const noexcept { return this->upstream == noSlot; }
};
static_assert(sizeof(Flow) == 44);

/**
 * @brief Bounded hash table of flows with open addressing, a list for each bucket and a timer wheel.
 *
 * The index holds one 32-bit cell for each flow (part of the hash and the position). The flows are allocated in
 * blocks, so memory grows with the number of flows.
 */
class FlowTable {
public:
    explicit FlowTable(std::uint32_t maxFlows);

    /** @brief Adds the lists for a service. @return The index of the service in this table. */
    std::uint8_t addService(std::uint32_t buckets);

    [[nodiscard]] FlowIndex find(FlowKey key) const noexcept;
    /** @brief Prefetches the index cell of the key. */
    void prefetchCell(FlowKey key) const noexcept { __builtin_prefetch(this->cells.data() + this->homeCell(key)); }
    /** @brief Prefetches the flow that probably has the key. */
    void prefetchFlow(FlowKey key) const noexcept;
    /** @return The new flow, without caller, upstream and times; `noFlow` if the table is full. */
    FlowIndex insert(FlowKey key, std::uint8_t service);
    void erase(FlowIndex index);

    [[nodiscard]] Flow& operator[](FlowIndex index) noexcept
    {
        return this->blocks[index >> blockBits][index & blockMask];
    }
    [[nodiscard]] const Flow& operator[](FlowIndex index) const noexcept
    {
        return this->blocks[index >> blockBits][index & blockMask];
    }

    [[nodiscard]] FlowIndex firstOf(std::uint8_t service, BucketIndex bucket) const noexcept
    {
        return this->bucketHeads[service][bucket.value];
    }
    [[nodiscard]] BucketIndex bucketOf(const Flow& flow) const noexcept
    {
        return BucketIndex { static_cast<std::uint16_t>(flow.key().value % this->bucketHeads[flow.service].size()) };
    }

    /** @brief Sets the timer of a flow; it expires at about `due`, in table time. */
    void schedule(FlowIndex index, std::uint32_t due) noexcept;
    /**
     * @brief Removes expired timers from the wheel.
     * @param now Table time.
     * @param due The indices of their flows are appended; the caller must schedule or erase each of them.
     */
    void takeDue(std::uint32_t now, std::vector<FlowIndex>& due);

    [[nodiscard]] std::uint32_t size() const noexcept { return this->count; }
    [[nodiscard]] bool isFull() const noexcept { return this->count >= this->maxFlows; }
    [[nodiscard]] std::size_t memoryBytes() const noexcept;

private:
    static constexpr unsigned blockBits = 12;
    static constexpr std::uint32_t blockMask = (1U << blockBits) - 1;
    static constexpr std::uint32_t wheelSlots = 256;
    static constexpr std::uint32_t wheelStep = 10; // table time units: 1 s
    static constexpr std::uint32_t emptyCell = 0;

    [[nodiscard]] std::uint32_t homeCell(FlowKey key) const noexcept
    {
        return static_cast<std::uint32_t>(key.value >> this->cellShift);
    }
    [[nodiscard]] std::uint32_t cellOf(FlowKey key, FlowIndex index) const noexcept
    {
        return (static_cast<std::uint32_t>(key.value) & ~this->positionMask) | (index + 1);
    }
    /** @return The flow of the first matching cell at the start of the probe sequence, or `noFlow`. Not verified. */
    [[nodiscard]] FlowIndex matchFirstCells(FlowKey key) const noexcept;
    void grow();
    void unlinkTimer(FlowIndex index) noexcept;

    std::uint32_t maxFlows;
    std::uint32_t positionMask;
    unsigned cellShift;
    std::uint32_t count = 0;
    std::uint32_t allocatedFlows = 0;
    FlowIndex freeHead = noFlow;
    std::uint32_t wheelTime = 0;
    std::vector<std::uint32_t> cells;
    std::vector<std::unique_ptr<Flow[]>> blocks;
    std::vector<std::vector<FlowIndex>> bucketHeads;
    std::array<FlowIndex, wheelSlots> wheel;
};

} // namespace zinnia::flow
