#pragma once

#include <cstddef>
#include <string_view>

namespace zinnia {

/** @brief Upper bounds of what a text costs to parse as JSON, whether it is valid or not. */
struct JsonCost {
    /** Nesting of objects and arrays. */
    std::size_t depth {};
    /** Number of values, keys included. */
    std::size_t values {};
};

/**
 * @return The cost of a text, from its brackets and separators alone. A parser would take the time of many heartbeats
 * for a large text.
 */
[[nodiscard]] JsonCost jsonCostOf(std::string_view text) noexcept;

} // namespace zinnia
