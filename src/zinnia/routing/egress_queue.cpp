#include "zinnia/routing/egress_queue.hpp"

#include <algorithm>
#include <utility>

namespace zinnia::routing {

namespace {

    [[nodiscard]] bool isRetransmission(const FlowPacket& packet, const FlowPacket& waiting) noexcept
    {
        return packet.sequence == waiting.sequence && packet.dataBytes == waiting.dataBytes && packet.syn == waiting.syn
            && packet.fin == waiting.fin;
    }

} // namespace

EgressOutcome EgressQueue::add(const FlowPacket& packet, BytesView bytes, TimePoint now)
{
    const FlowId id { packet.caller, packet.service };
    const auto [entry, isNew] = this->flows.try_emplace(id);
    FlowQueue& queue = entry->second;
    if (isNew)
        queue.rank = this->nextRank++;
    // Acknowledgements without data have equal sequence numbers and are all kept; callers count on each of them.
    if (packet.dataBytes > 0 || packet.syn || packet.fin) {
        for (QueuedPacket& waiting : queue.packets) {
            if (!isRetransmission(packet, waiting.packet))
                continue;
            const std::size_t previousSize = waiting.bytes.size();
            waiting.packet = packet;
            waiting.bytes.assign(bytes.begin(), bytes.end());
            queue.bytes += bytes.size() - previousSize;
            this->waitingBytes += bytes.size() - previousSize;
            return EgressOutcome::Replaced;
        }
    }
    if (queue.packets.empty()) {
        if (isNew || now - queue.lastPacketAt >= this->settings.firstTurnInterval)
            queue.firstTurnBytes = static_cast<std::int64_t>(this->settings.firstTurnBytes);
        this->enlist(id, queue);
    } else if (packet.rst) {
        // The abort is the only packet of the flow that is still of use.
        this->waitingBytes -= queue.bytes;
        queue.bytes = 0;
        queue.packets.clear();
    }
    queue.packets.push_back({ packet, Bytes { bytes.begin(), bytes.end() }, now });
    queue.bytes += bytes.size();
    queue.lastPacketAt = now;
    this->waitingBytes += bytes.size();
    while (this->waitingBytes > this->settings.maxBytes)
        this->dropOldestOfLargestFlow();
    return EgressOutcome::Queued;
}

void EgressQueue::enlist(const FlowId& id, FlowQueue& queue)
{
    // `take` gives a flow a rank when its first turn ends; until then it must have one place only.
    if (queue.inFirstTurn)
        return;
    if (queue.firstTurnBytes <= 0) {
        this->ranked.emplace(queue.rank, id);
        return;
    }
    queue.inFirstTurn = true;
    this->firstTurns.push_back(id);
}

std::optional<QueuedPacket> EgressQueue::take(TimePoint now)
{
    while (!this->firstTurns.empty()) {
        const FlowId id = this->firstTurns.front();
        FlowQueue& queue = this->flows.at(id);
        if (queue.firstTurnBytes > 0 && !queue.packets.empty()) {
            QueuedPacket result = this->takeFrom(queue, now);
            queue.firstTurnBytes -= static_cast<std::int64_t>(result.bytes.size());
            return result;
        }
        this->firstTurns.pop_front();
        queue.inFirstTurn = false;
        if (!queue.packets.empty())
            this->ranked.emplace(queue.rank, id);
    }
    if (this->ranked.empty())
        return std::nullopt;
    const FlowId id = this->ranked.begin()->second;
    FlowQueue& queue = this->flows.at(id);
    QueuedPacket result = this->takeFrom(queue, now);
    queue.sentBytes += result.bytes.size();
    const bool endsTurn = queue.sentBytes >= this->settings.turnBytes;
    if (endsTurn || queue.packets.empty())
        this->ranked.erase(this->ranked.begin());
    if (endsTurn) {
        queue.rank = this->nextRank++;
        queue.sentBytes = 0;
        if (!queue.packets.empty())
            this->ranked.emplace(queue.rank, id);
    }
    return result;
}

QueuedPacket EgressQueue::takeFrom(FlowQueue& queue, TimePoint now)
{
    QueuedPacket result = std::move(queue.packets.front());
    queue.packets.pop_front();
    queue.bytes -= result.bytes.size();
    queue.lastPacketAt = now;
    this->waitingBytes -= result.bytes.size();
    return result;
}

void EgressQueue::dropOldestOfLargestFlow()
{
    const auto largest = std::max_element(this->flows.begin(), this->flows.end(),
        [](const auto& left, const auto& right) { return left.second.bytes < right.second.bytes; });
    FlowQueue& queue = largest->second;
    const QueuedPacket dropped = this->takeFrom(queue, queue.lastPacketAt);
    ++this->droppedCounts[static_cast<std::size_t>(kindOf(dropped.packet))];
    if (queue.packets.empty() && !queue.inFirstTurn)
        this->ranked.erase(queue.rank);
}

void EgressQueue::expire(TimePoint now)
{
    std::erase_if(this->flows, [&](const auto& item) {
        const FlowQueue& queue = item.second;
        return queue.packets.empty() && !queue.inFirstTurn && now - queue.lastPacketAt >= this->settings.retention;
    });
}

} // namespace zinnia::routing
