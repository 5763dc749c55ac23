#include "standin/link_table.hpp"

namespace zinnia::standin {

void LinkTable::endPartitions()
{
    for (auto& [key, rule] : this->rules)
        rule.partitioned = false;
}

bool LinkTable::isPartitioned(const std::string& from, const std::string& to) const
{
    const auto rule = this->rules.find({ from, to });
    return rule != this->rules.end() && rule->second.partitioned;
}

std::optional<Microseconds> LinkTable::pass(const std::string& from, const std::string& to)
{
    const Key key { from, to };
    LinkCounters& counter = this->counts[key];
    const auto rule = this->rules.find(key);
    if (rule == this->rules.end()) {
        ++counter.passed;
        return Microseconds { 0 };
    }
    const bool lost = rule->second.partitioned
        || (rule->second.drop > 0 && std::uniform_real_distribution<double> {}(this->random) < rule->second.drop);
    ++(lost ? counter.dropped : counter.passed);
    if (lost)
        return std::nullopt;
    return rule->second.delay;
}

} // namespace zinnia::standin
