#pragma once

#include "zinnia/config/command.hpp"
#include "zinnia/config/config_error.hpp"
#include "zinnia/core/result.hpp"

namespace zinnia::config {

/** @brief A configuration and the inventory from which it was built. */
struct ChangedConfiguration {
    Configuration configuration;
    ApplyInventory inventory;
};

/**
 * @brief Applies a command to a configuration; does not compare or increase versions.
 * @return The validated new configuration, still with the old version number, or all errors found.
 */
[[nodiscard]] Result<ChangedConfiguration, ConfigErrors> applyCommand(
    const Configuration& current, const ApplyInventory& inventory, const Command& command);

} // namespace zinnia::config
