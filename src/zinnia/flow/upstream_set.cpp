#include "zinnia/flow/upstream_set.hpp"

#include "zinnia/flow/placement.hpp"

#include <algorithm>

namespace zinnia::flow {

std::uint16_t LocalPorts::allocate(FlowIndex flow, std::uint32_t limit)
{
    if (this->count >= limit)
        return noPort;
    ++this->count;
    if (this->freeFirst != noPort) {
        const std::uint16_t port = this->freeFirst;
        this->freeFirst = static_cast<std::uint16_t>(this->entries[port] & 0xFFFFU);
        if (this->freeFirst == noPort)
            this->freeLast = noPort;
        this->entries[port] = flow;
        return port;
    }
    if (this->entries.size() >= noPort) {
        --this->count;
        return noPort;
    }
    // Doubling the capacity would waste up to half of the memory at full size.
    if (this->entries.size() == this->entries.capacity())
        this->entries.reserve(this->entries.size() + this->entries.size() / 8 + 16);
    this->entries.push_back(flow);
    return static_cast<std::uint16_t>(this->entries.size() - 1);
}

void LocalPorts::release(std::uint16_t port)
{
    this->entries[port] = freeFlag | noPort;
    if (this->freeLast != noPort)
        this->entries[this->freeLast] = freeFlag | port;
    else
        this->freeFirst = port;
    this->freeLast = port;
    --this->count;
}

FlowIndex LocalPorts::flowOf(std::uint16_t port) const noexcept
{
    if (port >= this->entries.size() || (this->entries[port] & freeFlag) != 0)
        return noFlow;
    return this->entries[port];
}

bool UpstreamSet::replace(std::span<const upstream::UpstreamInfo> upstreams, ZoneId zone)
{
    bool changed = false;
    std::vector<bool> present(this->slots.size(), false);
    for (const upstream::UpstreamInfo& info : upstreams) {
        if (info.zone != zone || info.id.value == 0)
            continue;
        SlotIndex index = this->find(info.id);
        if (index == noSlot) {
            if (this->slots.size() >= maxSlots && this->freeSlots.empty())
                continue;
            index = this->add(info.id);
            changed = true;
        }
        if (present.size() < this->slots.size())
            present.resize(this->slots.size(), false);
        present[index] = true;
        UpstreamSlot& slot = this->slots[index];
        changed = changed || slot.unregistered || !(slot.info == info);
        slot.info = info;
        slot.unregistered = false;
    }
    this->byAddress.clear();
    for (std::size_t i = 0; i < this->slots.size(); ++i) {
        UpstreamSlot& slot = this->slots[i];
        if (!slot.inUse || slot.unregistered)
            continue;
        if (!present[i] && slot.info.state != upstream::UpstreamState::Lost) {
            slot.info.state = upstream::UpstreamState::Lost;
            changed = true;
        }
        if (!acceptsPackets(slot.info))
            continue;
        // Of two registrations at one address, the one with the higher incarnation is current.
        const auto [found, added] = this->byAddress.try_emplace(slot.info.address, static_cast<SlotIndex>(i));
        if (!added && this->slots[found->second].info.incarnation < slot.info.incarnation)
            found->second = static_cast<SlotIndex>(i);
    }
    return changed;
}

SlotIndex UpstreamSet::find(UpstreamId id) const noexcept
{
    const auto found = this->byId.find(id);
    return found == this->byId.end() ? noSlot : found->second;
}

SlotIndex UpstreamSet::add(UpstreamId id)
{
    SlotIndex index = 0;
    if (!this->freeSlots.empty()) {
        index = this->freeSlots.back();
        this->freeSlots.pop_back();
    } else {
        index = static_cast<SlotIndex>(this->slots.size());
        this->slots.emplace_back();
    }
    this->slots[index] = UpstreamSlot {};
    this->slots[index].inUse = true;
    this->slots[index].info.id = id;
    this->byId[id] = index;
    return index;
}

SlotIndex UpstreamSet::findOrAdd(UpstreamId id, TimePoint now)
{
    const SlotIndex known = this->find(id);
    if (known != noSlot || (this->slots.size() >= maxSlots && this->freeSlots.empty()))
        return known;
    const SlotIndex index = this->add(id);
    this->slots[index].unregistered = true;
    this->slots[index].unregisteredSince = now;
    return index;
}

SlotIndex UpstreamSet::findByAddress(const Endpoint& address) const noexcept
{
    const auto found = this->byAddress.find(address);
    return found == this->byAddress.end() ? noSlot : found->second;
}

void UpstreamSet::removeLost(TimePoint now, Milliseconds limit)
{
    for (std::size_t i = 0; i < this->slots.size(); ++i) {
        UpstreamSlot& slot = this->slots[i];
        if (slot.inUse && slot.unregistered && now - slot.unregisteredSince >= limit) {
            slot.unregistered = false;
            slot.info.state = upstream::UpstreamState::Lost;
        }
        if (!slot.inUse || slot.unregistered || slot.references != 0
            || slot.info.state != upstream::UpstreamState::Lost)
            continue;
        this->byId.erase(slot.info.id);
        slot = UpstreamSlot {};
        this->freeSlots.push_back(static_cast<SlotIndex>(i));
    }
}

std::size_t UpstreamSet::memoryBytes() const noexcept
{
    std::size_t bytes = sizeof(*this) + this->slots.capacity() * sizeof(UpstreamSlot)
        + (this->byId.size() + this->byAddress.size()) * 48; // about one node of a hash map
    for (const UpstreamSlot& slot : this->slots)
        bytes += slot.ports.memoryBytes();
    return bytes;
}

} // namespace zinnia::flow
