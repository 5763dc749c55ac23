#pragma once

#include "zinnia/core/name_table.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace zinnia::runtime {

/** @brief What is wrong with one key of a settings file. */
enum class SettingsFault : std::uint8_t { Unreadable, Syntax, Missing, WrongType, NotAllowed, UnknownKey };

inline constexpr NameTable<SettingsFault, 6> settingsFaultNames { {
    { SettingsFault::Unreadable, "unreadable" },
    { SettingsFault::Syntax, "syntax" },
    { SettingsFault::Missing, "missing" },
    { SettingsFault::WrongType, "wrong_type" },
    { SettingsFault::NotAllowed, "not_allowed" },
    { SettingsFault::UnknownKey, "unknown_key" },
} };
static_assert(isDense(settingsFaultNames));

/** @brief One error of a settings file. */
struct SettingsError {
    SettingsFault fault {};
    std::string file;
    /** Line of the value; 0 when the error has no line. */
    std::uint32_t line {};
    /** Path of the key, such as "service[2].address". */
    std::string key;
    std::string value;
    /** What is allowed in place of the value. */
    std::string allowed;

    /** @return One line for the operator. */
    [[nodiscard]] std::string toString() const;

    [[nodiscard]] friend bool operator==(const SettingsError&, const SettingsError&) = default;
};

using SettingsErrors = std::vector<SettingsError>;

} // namespace zinnia::runtime
