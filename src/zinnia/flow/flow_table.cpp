#include "zinnia/flow/flow_table.hpp"

#include <algorithm>
#include <bit>
#include <cstddef>
#include <utility>

namespace zinnia::flow {

namespace {

    constexpr unsigned firstCellBits = 10;
    // Value of `timerPrevious` if the timer is not in the wheel. The first flow of a wheel slot has noFlow - 1 - slot.
    constexpr FlowIndex notScheduled = noFlow;

} // namespace

FlowTable::FlowTable(std::uint32_t maxFlows)
    : maxFlows { std::min<std::uint32_t>(maxFlows, 1U << 28U) }
    , positionMask { std::bit_ceil(this->maxFlows + 2) - 1 }
    , cellShift { 64 - firstCellBits }
    , cells(std::size_t { 1 } << firstCellBits, emptyCell)
{
    this->wheel.fill(noFlow);
}

std::uint8_t FlowTable::addService(std::uint32_t buckets)
{
    this->bucketHeads.emplace_back(buckets, noFlow);
    return static_cast<std::uint8_t>(this->bucketHeads.size() - 1);
}

// Nearly all flows are found in the first four cells. Comparing these without branches avoids a mispredicted branch
// on the length of the probe sequence, which would stall until the cell is loaded.
FlowIndex FlowTable::matchFirstCells(FlowKey key) const noexcept
{
    constexpr std::uint32_t firstCells = 4;
    const std::uint32_t positions = this->positionMask;
    const std::uint32_t tag = static_cast<std::uint32_t>(key.value) & ~positions;
    const std::uint32_t home = this->homeCell(key);
    if (home + firstCells > this->cells.size())
        return noFlow;
    const std::uint32_t* first = this->cells.data() + home;
    std::uint32_t matches = 0;
    for (std::uint32_t i = 0; i < firstCells; ++i)
        matches |= static_cast<std::uint32_t>((first[i] & ~positions) == tag && first[i] != emptyCell) << i;
    return matches == 0 ? noFlow : (first[std::countr_zero(matches)] & positions) - 1;
}

void FlowTable::prefetchFlow(FlowKey key) const noexcept
{
    const FlowIndex index = this->matchFirstCells(key);
    if (index == noFlow)
        return;
    const auto* flow = reinterpret_cast<const char*>(&(*this)[index]);
    constexpr std::size_t frequentBytes = offsetof(Flow, start);
    __builtin_prefetch(flow, 1);
    __builtin_prefetch(flow + frequentBytes - 1, 1); // the fields may span two cache lines
}

FlowIndex FlowTable::find(FlowKey key) const noexcept
{
    const FlowIndex likely = this->matchFirstCells(key);
    if (likely != noFlow && (*this)[likely].key() == key) [[likely]]
        return likely;
    const auto mask = static_cast<std::uint32_t>(this->cells.size() - 1);
    const std::uint32_t positions = this->positionMask;
    const std::uint32_t tag = static_cast<std::uint32_t>(key.value) & ~positions;
    std::uint32_t cell = this->homeCell(key);
    for (;; cell = (cell + 1) & mask) {
        const std::uint32_t content = this->cells[cell];
        if (content == emptyCell)
            return noFlow;
        if ((content & ~positions) != tag)
            continue;
        const FlowIndex index = (content & positions) - 1;
        if ((*this)[index].key() == key)
            return index;
    }
}

FlowIndex FlowTable::insert(FlowKey key, std::uint8_t service)
{
    if (this->isFull())
        return noFlow;
    if ((this->count + 1) * std::uint64_t { 4 } > this->cells.size() * std::uint64_t { 3 })
        this->grow();
    FlowIndex index = this->freeHead;
    if (index != noFlow)
        this->freeHead = (*this)[index].timerNext;
    else {
        index = this->allocatedFlows++;
        if ((index >> blockBits) >= this->blocks.size())
            this->blocks.push_back(std::make_unique_for_overwrite<Flow[]>(std::size_t { 1 } << blockBits));
    }
    ++this->count;
    const auto mask = static_cast<std::uint32_t>(this->cells.size() - 1);
    std::uint32_t cell = this->homeCell(key);
    while (this->cells[cell] != emptyCell)
        cell = (cell + 1) & mask;
    this->cells[cell] = this->cellOf(key, index);

    Flow& flow = (*this)[index];
    flow = Flow { static_cast<std::uint32_t>(key.value), static_cast<std::uint32_t>(key.value >> 32U), 0, 0, 0, noSlot,
        noPort, service, false, 0, noFlow, notScheduled, noFlow, noFlow };
    FlowIndex& head = this->bucketHeads[service][this->bucketOf(flow).value];
    flow.bucketNext = head;
    if (head != noFlow)
        (*this)[head].bucketPrevious = index;
    head = index;
    return index;
}

void FlowTable::erase(FlowIndex index)
{
    Flow& flow = (*this)[index];
    this->unlinkTimer(index);
    if (flow.bucketPrevious != noFlow)
        (*this)[flow.bucketPrevious].bucketNext = flow.bucketNext;
    else
        this->bucketHeads[flow.service][this->bucketOf(flow).value] = flow.bucketNext;
    if (flow.bucketNext != noFlow)
        (*this)[flow.bucketNext].bucketPrevious = flow.bucketPrevious;

    // Backward-shift deletion keeps probe sequences contiguous without tombstones.
    const auto mask = static_cast<std::uint32_t>(this->cells.size() - 1);
    const std::uint32_t content = this->cellOf(flow.key(), index);
    std::uint32_t hole = this->homeCell(flow.key());
    while (this->cells[hole] != content)
        hole = (hole + 1) & mask;
    for (std::uint32_t next = (hole + 1) & mask; this->cells[next] != emptyCell; next = (next + 1) & mask) {
        const std::uint32_t home = this->homeCell((*this)[(this->cells[next] & this->positionMask) - 1].key());
        if (((next - home) & mask) >= ((next - hole) & mask)) {
            this->cells[hole] = this->cells[next];
            hole = next;
        }
    }
    this->cells[hole] = emptyCell;
    flow.timerNext = this->freeHead;
    this->freeHead = index;
    --this->count;
}

void FlowTable::grow()
{
    --this->cellShift;
    const std::vector<std::uint32_t> old
        = std::exchange(this->cells, std::vector<std::uint32_t>(this->cells.size() * 2, emptyCell));
    const auto mask = static_cast<std::uint32_t>(this->cells.size() - 1);
    for (const std::uint32_t content : old) {
        if (content == emptyCell)
            continue;
        std::uint32_t cell = this->homeCell((*this)[(content & this->positionMask) - 1].key());
        while (this->cells[cell] != emptyCell)
            cell = (cell + 1) & mask;
        this->cells[cell] = content;
    }
}

void FlowTable::schedule(FlowIndex index, std::uint32_t due) noexcept
{
    this->unlinkTimer(index);
    const std::uint32_t earliest = this->wheelTime + 1;
    const std::uint32_t slotTime
        = std::clamp((due + wheelStep - 1) / wheelStep, earliest, this->wheelTime + wheelSlots - 1);
    const std::uint32_t slot = slotTime % wheelSlots;
    Flow& flow = (*this)[index];
    flow.timerNext = this->wheel[slot];
    flow.timerPrevious = noFlow - 1 - slot;
    if (flow.timerNext != noFlow)
        (*this)[flow.timerNext].timerPrevious = index;
    this->wheel[slot] = index;
}

void FlowTable::unlinkTimer(FlowIndex index) noexcept
{
    Flow& flow = (*this)[index];
    if (flow.timerPrevious == notScheduled)
        return;
    if (flow.timerPrevious >= noFlow - wheelSlots)
        this->wheel[noFlow - 1 - flow.timerPrevious] = flow.timerNext;
    else
        (*this)[flow.timerPrevious].timerNext = flow.timerNext;
    if (flow.timerNext != noFlow)
        (*this)[flow.timerNext].timerPrevious = flow.timerPrevious;
    flow.timerPrevious = notScheduled;
    flow.timerNext = noFlow;
}

void FlowTable::takeDue(std::uint32_t now, std::vector<FlowIndex>& due)
{
    const std::uint32_t end = now / wheelStep;
    // After a long pause it is enough to visit each slot once.
    if (end > this->wheelTime + wheelSlots)
        this->wheelTime = end - wheelSlots;
    while (this->wheelTime < end) {
        ++this->wheelTime;
        const std::uint32_t slot = this->wheelTime % wheelSlots;
        while (this->wheel[slot] != noFlow) {
            due.push_back(this->wheel[slot]);
            this->unlinkTimer(this->wheel[slot]);
        }
    }
}

std::size_t FlowTable::memoryBytes() const noexcept
{
    std::size_t bytes = sizeof(*this) + this->cells.capacity() * sizeof(std::uint32_t)
        + this->blocks.capacity() * sizeof(this->blocks[0])
        + this->blocks.size() * (std::size_t { 1 } << blockBits) * sizeof(Flow);
    for (const auto& service : this->bucketHeads)
        bytes += service.capacity() * sizeof(FlowIndex);
    return bytes;
}

} // namespace zinnia::flow
