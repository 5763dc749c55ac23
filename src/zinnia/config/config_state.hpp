#pragma once

#include "zinnia/config/command_outcome.hpp"

namespace zinnia::config {

/** @brief Identity and result of a command, retained to answer a resent command. */
struct CommandRecord {
    std::string operatorName;
    CommandId id;
    /** Hash of the encoded command; a resent command must have the same hash. */
    std::uint64_t digest {};
    CommandOutcome outcome;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.operatorName, self.id, self.digest, self.outcome);
    }
    [[nodiscard]] friend bool operator==(const CommandRecord&, const CommandRecord&) = default;
};

/** @brief Replicated state of the configuration; its encoding is the content of a snapshot. */
struct ConfigState {
    Configuration configuration;
    /** Inventory before the rules are applied; removing a rule restores the value that it has here. */
    ApplyInventory inventory;
    /** Operator and id of the command that produced the active version. */
    std::string lastOperator;
    CommandId lastCommand;
    /** The most recent commands, oldest first. */
    std::vector<CommandRecord> records;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.configuration, self.inventory, self.lastOperator, self.lastCommand, self.records);
    }
    [[nodiscard]] friend bool operator==(const ConfigState&, const ConfigState&) = default;
};

} // namespace zinnia::config
