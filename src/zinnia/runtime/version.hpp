#pragma once

#include <string_view>

namespace zinnia::runtime {

/** @return The version of the product, as printed by `--version`. */
[[nodiscard]] std::string_view version() noexcept;

} // namespace zinnia::runtime
