#pragma once

#include "zinnia/core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>

namespace zinnia::standin {

/** @brief Delay, loss and partition of the link from one zone to another. */
struct LinkRule {
    Microseconds delay {};
    /** Share of datagrams that are lost, 0 to 1. */
    double drop = 0;
    /** A partitioned link drops all datagrams and keeps its other properties. */
    bool partitioned = false;
};

struct LinkCounters {
    std::uint64_t passed = 0;
    std::uint64_t dropped = 0;
};

/** @brief Delay, loss and partitions by direction between zones; the fabric itself counts as a zone. */
class LinkTable {
public:
    using Key = std::pair<std::string, std::string>;

    /** @brief Name of the fabric in rules: the links between the fabric and the entries of a zone. */
    static constexpr const char* fabric = "fabric";

    explicit LinkTable(std::uint64_t seed)
        : random { seed }
    {
    }

    void set(const std::string& from, const std::string& to, const LinkRule& rule) { this->rules[{ from, to }] = rule; }
    void setPartitioned(const std::string& from, const std::string& to, bool partitioned)
    {
        this->rules[{ from, to }].partitioned = partitioned;
    }
    /** @brief Ends all partitions. */
    void endPartitions();

    /** @return The delay of the next datagram of the link, or nothing if it is lost. */
    [[nodiscard]] std::optional<Microseconds> pass(const std::string& from, const std::string& to);

    [[nodiscard]] bool isPartitioned(const std::string& from, const std::string& to) const;

    [[nodiscard]] const std::map<Key, LinkRule>& all() const noexcept { return this->rules; }
    [[nodiscard]] const std::map<Key, LinkCounters>& counters() const noexcept { return this->counts; }

private:
    std::mt19937_64 random;
    std::map<Key, LinkRule> rules;
    std::map<Key, LinkCounters> counts;
};

} // namespace zinnia::standin
