#pragma once

#include "zinnia/core/time.hpp"
#include "zinnia/routing/flow_id.hpp"
#include "zinnia/routing/flow_packet.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace zinnia::routing {

/**
 * @brief The openings refused recently.
 *
 * Their retransmissions are refused as well: a caller that has received the first refusal would not use a flow that
 * another transmission opens, which would take a slot.
 */
class AdmissionRefusals {
public:
    /** Time for which a refusal is kept; callers send the last transmission of an opening after 600 ms. */
    static constexpr Milliseconds retention { 1400 };
    /** Maximum number of refusals; the oldest is forgotten first. */
    static constexpr std::size_t maxRefusals = 1024;

    void add(const FlowPacket& packet, TimePoint now)
    {
        this->expire(now);
        if (this->order.size() >= maxRefusals)
            this->removeOldest();
        const FlowId id { packet.caller, packet.service };
        this->refused.insert_or_assign(id, Refusal { packet.sequence, now });
        this->order.push_back({ id, now });
    }

    /** @return True if the packet is a transmission of a refused opening. */
    [[nodiscard]] bool contains(const FlowPacket& packet, TimePoint now) const
    {
        const auto found = this->refused.find({ packet.caller, packet.service });
        return found != this->refused.end() && found->second.sequence == packet.sequence
            && now - found->second.at <= retention;
    }

    [[nodiscard]] std::size_t size() const noexcept { return this->refused.size(); }

private:
    struct Refusal {
        std::uint32_t sequence {};
        TimePoint at;
    };
    struct Entry {
        FlowId id;
        TimePoint at;
    };

    void expire(TimePoint now)
    {
        while (!this->order.empty() && now - this->order.front().at > retention)
            this->removeOldest();
    }

    void removeOldest()
    {
        const auto found = this->refused.find(this->order.front().id);
        // The flow may have been refused again since.
        if (found != this->refused.end() && found->second.at == this->order.front().at)
            this->refused.erase(found);
        this->order.pop_front();
    }

    std::unordered_map<FlowId, Refusal, FlowIdHash> refused;
    std::deque<Entry> order;
};

} // namespace zinnia::routing
