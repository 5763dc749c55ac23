#pragma once

#include "zinnia/core/name_table.hpp"

namespace zinnia::standin {

/** @brief Why a stand-in could not start. */
enum class StartError : unsigned char { ListenFailed, ControlFailed, OutputFailed };

inline constexpr NameTable<StartError, 3> startErrorNames { {
    { StartError::ListenFailed, "listen_failed" },
    { StartError::ControlFailed, "control_failed" },
    { StartError::OutputFailed, "output_failed" },
} };
static_assert(isDense(startErrorNames));

[[nodiscard]] constexpr std::string_view nameOf(StartError error) noexcept { return nameIn(startErrorNames, error); }

} // namespace zinnia::standin
