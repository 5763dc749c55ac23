#pragma once

#include "zinnia/config/command.hpp"
#include "zinnia/runtime/settings.hpp"

namespace zinnia::runtime {

/**
 * @brief Reads an inventory file, as an asset register exports it, and validates it as a whole.
 *
 * Entries and control instances name their zone; the file's structure is in docs/operators.md.
 */
[[nodiscard]] Result<config::ApplyInventory, SettingsErrors> loadInventory(const std::string& file);

/** @brief As `loadInventory`, from a text. @param file Name for error messages. */
[[nodiscard]] Result<config::ApplyInventory, SettingsErrors> parseInventory(
    std::string_view text, const std::string& file);

/** @brief Reads a rules file. Whether its targets exist is decided where the rules are applied. */
[[nodiscard]] Result<config::ApplyRules, SettingsErrors> loadRules(const std::string& file);

/** @brief As `loadRules`, from a text. @param file Name for error messages. */
[[nodiscard]] Result<config::ApplyRules, SettingsErrors> parseRules(std::string_view text, const std::string& file);

} // namespace zinnia::runtime
