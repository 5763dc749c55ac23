#pragma once

#include "zinnia/runtime/drill_measures.hpp"

namespace zinnia::runtime {

/** @return The report as plain text. */
[[nodiscard]] std::string textReport(const DrillFile& drill);

/** @return The report as one self-contained HTML page with an SVG plot. */
[[nodiscard]] std::string htmlReport(const DrillFile& drill);

/** @return The plot of the samples and events as an SVG element. */
[[nodiscard]] std::string drillPlot(const DrillFile& drill);

/** @return The text with the special characters of HTML escaped. */
[[nodiscard]] std::string escapeHtml(std::string_view text);

} // namespace zinnia::runtime
