#include "standin/duplicate_filter.hpp"

namespace zinnia::standin {

std::uint64_t DuplicateFilter::keyOf(const Endpoint& source, std::uint16_t messageId) noexcept
{
    return (std::uint64_t { source.address } << 32U) | (std::uint64_t { source.port } << 16U) | messageId;
}

const Bytes* DuplicateFilter::seen(const Endpoint& source, std::uint16_t messageId, TimePoint now)
{
    for (; !this->order.empty() && this->order.front().first <= now; this->order.pop_front())
        this->entries.erase(this->order.front().second);
    const std::uint64_t key = keyOf(source, messageId);
    const auto [at, isNew] = this->entries.try_emplace(key, Entry { now + lifetime, {} });
    if (!isNew)
        return &at->second.answer;
    this->order.emplace_back(now + lifetime, key);
    return nullptr;
}

void DuplicateFilter::answered(const Endpoint& source, std::uint16_t messageId, const Bytes& bytes)
{
    const auto at = this->entries.find(keyOf(source, messageId));
    if (at != this->entries.end())
        at->second.answer = bytes;
}

void DuplicateFilter::clear()
{
    this->entries.clear();
    this->order.clear();
}

} // namespace zinnia::standin
