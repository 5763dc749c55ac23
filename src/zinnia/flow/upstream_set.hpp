#pragma once

#include "zinnia/core/time.hpp"
#include "zinnia/flow/flow_table.hpp"
#include "zinnia/upstream/upstream_info.hpp"

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace zinnia::flow {

/**
 * @brief Allocates local port indices of one upstream; each active flow has its own.
 *
 * The index that has been free longest is reused first, so that a late answer to an ended flow is rarely
 * delivered to a new flow on the same port.
 */
class LocalPorts {
public:
    /** @return A port index below `limit`, or `noPort`. */
    std::uint16_t allocate(FlowIndex flow, std::uint32_t limit);
    void release(std::uint16_t port);
    /** @return The flow that holds the port, or `noFlow`. */
    [[nodiscard]] FlowIndex flowOf(std::uint16_t port) const noexcept;
    [[nodiscard]] std::uint32_t inUse() const noexcept { return this->count; }
    [[nodiscard]] std::size_t memoryBytes() const noexcept { return this->entries.capacity() * sizeof(FlowIndex); }

private:
    static constexpr FlowIndex freeFlag = 0x80000000;

    /** Flow that holds the port, or `freeFlag` combined with the next free port. */
    std::vector<FlowIndex> entries;
    std::uint16_t freeFirst = noPort;
    std::uint16_t freeLast = noPort;
    std::uint32_t count = 0;
};

/** @brief An upstream that is registered or that flow records refer to. */
struct UpstreamSlot {
    upstream::UpstreamInfo info;
    std::uint8_t service = 0xFF;
    /** True if packets may be sent to the upstream. */
    bool sendable = false;
    bool acceptsNew = false;
    /** True while only flow records refer to the upstream and its registration has not been seen. */
    bool unregistered = false;
    bool inUse = false;
    TimePoint unregisteredSince;
    /** Flows in the table that refer to the upstream, copies included. */
    std::uint32_t references = 0;
    /** Active flows of this entry. */
    std::uint32_t flows = 0;
    /** New flows in the current window of 1 s. */
    std::uint32_t newFlows = 0;
    LocalPorts ports;
};

/** @brief The upstreams of the own zone. An index is not reused while flows refer to it. */
class UpstreamSet {
public:
    /**
     * @brief Replaces the registered upstreams; those missing from `upstreams` become lost.
     * @return True if any upstream changed.
     */
    bool replace(std::span<const upstream::UpstreamInfo> upstreams, ZoneId zone);
    /** @return The slot of the upstream, or `noSlot` if there is none. */
    [[nodiscard]] SlotIndex find(UpstreamId id) const noexcept;
    /** @return The slot of the upstream, added as unregistered if necessary; `noSlot` if the set is full. */
    SlotIndex findOrAdd(UpstreamId id, TimePoint now);
    /** @return The slot of the upstream that currently uses the address, or `noSlot`. */
    [[nodiscard]] SlotIndex findByAddress(const Endpoint& address) const noexcept;
    /** @brief Marks upstreams unregistered for `limit` as lost, and frees the slots of lost upstreams without flows. */
    void removeLost(TimePoint now, Milliseconds limit);

    [[nodiscard]] UpstreamSlot& operator[](SlotIndex slot) noexcept { return this->slots[slot]; }
    [[nodiscard]] const UpstreamSlot& operator[](SlotIndex slot) const noexcept { return this->slots[slot]; }
    [[nodiscard]] SlotIndex size() const noexcept { return static_cast<SlotIndex>(this->slots.size()); }
    [[nodiscard]] std::size_t memoryBytes() const noexcept;

private:
    static constexpr std::size_t maxSlots = 8192; // bounds the memory that records of unregistered upstreams can use

    SlotIndex add(UpstreamId id);

    std::vector<UpstreamSlot> slots;
    std::vector<SlotIndex> freeSlots;
    std::unordered_map<UpstreamId, SlotIndex> byId;
    std::unordered_map<Endpoint, SlotIndex> byAddress;
};

} // namespace zinnia::flow
