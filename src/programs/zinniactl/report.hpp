#pragma once

#include <string>

namespace zinnia::ctl {

/**
 * @brief Prints the report of a drill file.
 * @param html File for the HTML report; empty for none.
 * @return The exit code.
 */
[[nodiscard]] int report(const std::string& file, const std::string& html);

} // namespace zinnia::ctl
