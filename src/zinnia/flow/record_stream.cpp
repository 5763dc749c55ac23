#include "zinnia/flow/record_stream.hpp"

#include <algorithm>

namespace zinnia::flow {

namespace {

    [[nodiscard]] bool isBarrier(StreamItemKind kind) noexcept
    {
        return kind == StreamItemKind::Default || kind == StreamItemKind::Done;
    }

} // namespace

ControlRateLimiter::ControlRateLimiter(std::uint32_t bytesPerSecond, std::uint32_t burst, TimePoint now)
    : bytesPerSecond { static_cast<double>(bytesPerSecond) }
    , burst { static_cast<double>(burst) }
    , tokens { static_cast<double>(burst) }
    , last { now }
{
}

void ControlRateLimiter::refill(TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - this->last).count();
    this->last = now;
    this->tokens = std::min(this->burst, this->tokens + seconds * this->bytesPerSecond);
}

std::uint64_t RecordStream::push(const StreamItem& item)
{
    this->queue.push_back(item);
    return this->pushed();
}

std::uint64_t RecordStream::acknowledgedThrough() const noexcept
{
    // `unacknowledged` is in the order in which the items were taken.
    return this->unacknowledged.empty() ? this->takenItems : this->unacknowledged.front().lastItemBefore;
}

bool RecordStream::take(std::vector<StreamItem>& items)
{
    items.clear();
    if (this->queue.empty() || this->unacknowledged.size() >= window)
        return false;
    const StreamItem first = this->queue.front();
    const bool barrier = isBarrier(first.kind);
    if (barrier && !this->unacknowledged.empty())
        return false;
    const std::size_t limit = barrier ? bucketsPerMessage : recordsPerMessage;
    while (!this->queue.empty() && items.size() < limit) {
        const StreamItem& item = this->queue.front();
        if (item.service != first.service || (barrier ? item.kind != first.kind : isBarrier(item.kind)))
            break;
        items.push_back(item);
        this->queue.pop_front();
    }
    this->takenItemsBefore = this->takenItems;
    this->takenItems += items.size();
    return true;
}

void RecordStream::trackSent(std::uint64_t sequence, PeerMessage message, std::size_t bytes, TimePoint now)
{
    this->unacknowledged.push_back({ sequence, this->takenItemsBefore, now, bytes, std::move(message) });
}

bool RecordStream::acknowledge(std::uint64_t sequence)
{
    return std::erase_if(this->unacknowledged, [&](const Unacknowledged& message) {
        return message.sequence == sequence;
    }) != 0;
}

RecordStream::Unacknowledged* RecordStream::overdue(TimePoint limit)
{
    const auto found = std::find_if(this->unacknowledged.begin(), this->unacknowledged.end(),
        [&](const Unacknowledged& message) { return message.sentAt <= limit; });
    return found == this->unacknowledged.end() ? nullptr : &*found;
}

std::size_t RecordStream::memoryBytes() const noexcept
{
    std::size_t bytes = sizeof(*this) + this->queue.size() * sizeof(StreamItem);
    for (const Unacknowledged& message : this->unacknowledged)
        bytes += sizeof(message) + message.bytes;
    return bytes;
}

} // namespace zinnia::flow
