#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace zinnia {

using Bytes = std::vector<std::uint8_t>;
using BytesView = std::span<const std::uint8_t>;

} // namespace zinnia
