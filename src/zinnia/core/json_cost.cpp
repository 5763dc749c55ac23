#include "zinnia/core/json_cost.hpp"

#include <algorithm>

namespace zinnia {

JsonCost jsonCostOf(std::string_view text) noexcept
{
    JsonCost cost { 0, 1 };
    std::size_t depth = 0;
    bool inString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (inString && c == '\\')
            ++i;
        else if (c == '"')
            inString = !inString;
        else if (inString)
            continue;
        else if (c == '[' || c == '{')
            cost.depth = std::max(cost.depth, ++depth);
        else if (c == ']' || c == '}')
            depth -= depth > 0 ? 1 : 0;
        // Each value but the first one follows one of these.
        if (!inString && (c == ',' || c == ':' || c == '[' || c == '{'))
            ++cost.values;
    }
    return cost;
}

} // namespace zinnia
