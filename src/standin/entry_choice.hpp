#pragma once

#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/ids.hpp"
#include "zinnia/core/name_table.hpp"
#include "zinnia/core/time.hpp"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace zinnia::standin {

/** @brief How the fabric distributes packets over the entries. */
enum class ChoiceRule : unsigned char { Random, RoundRobin };

inline constexpr NameTable<ChoiceRule, 2> choiceRuleNames { {
    { ChoiceRule::Random, "random" },
    { ChoiceRule::RoundRobin, "round_robin" },
} };
static_assert(isDense(choiceRuleNames));

/** @brief Address, state and counters of an entry. */
struct FabricEntry {
    InstanceId instance;
    std::string zone;
    Endpoint address;
    /** The entry gets no packets until this time, because its socket refused one. */
    TimePoint refusedUntil = TimePoint::min();
    std::uint64_t packetsTo = 0;
    std::uint64_t packetsFrom = 0;
    std::uint64_t refusals = 0;
};

/** @brief Chooses an entry for each packet independently of its flow. */
class EntryChoice {
public:
    EntryChoice(ChoiceRule rule, std::uint64_t seed, std::vector<FabricEntry> entries);

    /** @return The entry for the next packet, or nullptr if every entry is excluded. */
    [[nodiscard]] FabricEntry* next(TimePoint now);

    /** @brief Excludes the entry for a second after its socket refused a packet. */
    void refused(const Endpoint& address, TimePoint now);

    /** @return The entry with that address, or nullptr. */
    [[nodiscard]] FabricEntry* find(const Endpoint& address);

    [[nodiscard]] const std::vector<FabricEntry>& all() const noexcept { return this->entries; }

private:
    ChoiceRule rule;
    std::mt19937_64 random;
    std::vector<FabricEntry> entries;
    std::vector<FabricEntry*> live;
    std::size_t turn = 0;
};

} // namespace zinnia::standin
