#include "zinnia/consensus/log.hpp"

namespace zinnia::consensus {

Log::Log(const DurableState& state)
{
    if (state.snapshot)
        this->install(*state.snapshot, false);
    for (const auto& entry : state.entries) {
        if (entry.index > this->baseIndex)
            this->append(entry);
    }
}

std::optional<Term> Log::termAt(LogIndex index) const noexcept
{
    if (index < this->baseIndex || index > this->lastIndex())
        return std::nullopt;
    return index == this->baseIndex ? this->baseTerm : this->at(index).term;
}

std::vector<LogEntry> Log::slice(LogIndex from, std::size_t maxEntries, std::size_t maxBytes) const
{
    std::vector<LogEntry> result;
    std::size_t size = 0;
    for (LogIndex index = from; index <= this->lastIndex() && result.size() < maxEntries; ++index) {
        const LogEntry& entry = this->at(index);
        if (const auto* command = std::get_if<Command>(&entry.payload))
            size += command->bytes.size();
        if (!result.empty() && size > maxBytes)
            break;
        result.push_back(entry);
    }
    return result;
}

LogIndex Log::indexBeforeTermOf(LogIndex index) const
{
    const auto term = this->termAt(index);
    while (index > this->baseIndex && this->termAt(index) == term)
        --index;
    return index;
}

void Log::append(LogEntry entry)
{
    if (const auto* membership = std::get_if<Membership>(&entry.payload))
        this->memberships.push_back(IndexedMembership { entry.index, *membership });
    this->entries.push_back(std::move(entry));
}

void Log::truncateFrom(LogIndex index)
{
    while (this->lastIndex() >= index && !this->entries.empty())
        this->entries.pop_back();
    while (this->memberships.size() > 1 && this->memberships.back().index >= index)
        this->memberships.pop_back();
}

void Log::install(Snapshot snapshot, bool keepLaterEntries)
{
    if (keepLaterEntries) {
        this->dropUpTo(snapshot.index);
    } else {
        this->entries.clear();
        this->memberships.clear();
        this->baseIndex = snapshot.index;
        this->baseTerm = snapshot.term;
    }
    std::erase_if(this->memberships, [&](const auto& other) { return other.index <= snapshot.index; });
    this->memberships.insert(
        this->memberships.begin(), IndexedMembership { snapshot.membershipIndex, snapshot.membership });
    this->latestSnapshot = std::move(snapshot);
}

void Log::compact(LogIndex index, Bytes data, std::uint64_t retainedEntries, std::size_t retainedBytes)
{
    const std::size_t maxBytes = std::max(retainedBytes, data.size());
    const IndexedMembership current = this->membershipAt(index);
    this->latestSnapshot
        = Snapshot { index, this->termAt(index).value_or(0), current.membership, current.index, std::move(data) };
    std::erase_if(this->memberships, [&](const auto& other) { return other.index < current.index; });
    LogIndex firstRetained = index + 1;
    std::size_t size = 0;
    while (firstRetained > this->baseIndex + 1 && index + 1 - firstRetained < retainedEntries) {
        if (const auto* command = std::get_if<Command>(&this->at(firstRetained - 1).payload))
            size += command->bytes.size();
        if (size > maxBytes)
            break;
        --firstRetained;
    }
    this->dropUpTo(firstRetained - 1);
}

void Log::dropUpTo(LogIndex index)
{
    while (this->baseIndex < index && !this->entries.empty()) {
        this->baseTerm = this->entries.front().term;
        ++this->baseIndex;
        this->entries.pop_front();
    }
}

const IndexedMembership& Log::membershipAt(LogIndex index) const noexcept
{
    for (auto membership = this->memberships.rbegin(); membership != this->memberships.rend(); ++membership) {
        if (membership->index <= index)
            return *membership;
    }
    return this->memberships.front();
}

} // namespace zinnia::consensus
