#include "standin/entry_choice.hpp"

#include <algorithm>

namespace zinnia::standin {
namespace {

    constexpr Seconds exclusionDuration { 1 };

} // namespace

EntryChoice::EntryChoice(ChoiceRule rule, std::uint64_t seed, std::vector<FabricEntry> entries)
    : rule { rule }
    , random { seed }
    , entries { std::move(entries) }
{
    this->live.reserve(this->entries.size());
}

FabricEntry* EntryChoice::next(TimePoint now)
{
    this->live.clear();
    for (auto& entry : this->entries) {
        if (entry.refusedUntil <= now)
            this->live.push_back(&entry);
    }
    if (this->live.empty())
        return nullptr;
    if (this->rule == ChoiceRule::RoundRobin)
        return this->live[this->turn++ % this->live.size()];
    return this->live[std::uniform_int_distribution<std::size_t> { 0, this->live.size() - 1 }(this->random)];
}

void EntryChoice::refused(const Endpoint& address, TimePoint now)
{
    if (FabricEntry* entry = this->find(address)) {
        entry->refusedUntil = now + exclusionDuration;
        ++entry->refusals;
    }
}

FabricEntry* EntryChoice::find(const Endpoint& address)
{
    const auto at = std::find_if(
        this->entries.begin(), this->entries.end(), [&](const FabricEntry& entry) { return entry.address == address; });
    return at == this->entries.end() ? nullptr : &*at;
}

} // namespace zinnia::standin
