#pragma once

#include "zinnia/config/command.hpp"
#include "zinnia/config/config_error.hpp"

#include <variant>

namespace zinnia::config {

/** @brief The command is committed and applied. */
struct Accepted {
    /** Version that contains the command's change. */
    ConfigVersion version;
    /** False if the command had nothing to change; `version` is then the version that was already active. */
    bool changed {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.version, self.changed);
    }
    [[nodiscard]] friend bool operator==(const Accepted&, const Accepted&) = default;
};

/** @brief Another command has already replaced the base version. */
struct Conflict {
    /**
     * Operator whose command replaced the base version. If its result is no longer retained, this member and the next
     * two describe the latest change instead.
     */
    std::string winningOperator;
    CommandId winningCommand;
    /** Version that this other command produced. */
    ConfigVersion winningVersion;
    /** Version that was active when this command was refused. */
    ConfigVersion currentVersion;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.winningOperator, self.winningCommand, self.winningVersion, self.currentVersion);
    }
    [[nodiscard]] friend bool operator==(const Conflict&, const Conflict&) = default;
};

/** @brief The command is not valid; no part of it was applied. */
struct Rejected {
    ConfigErrors errors;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit) { visit(self.errors); }
    [[nodiscard]] friend bool operator==(const Rejected&, const Rejected&) = default;
};

/** @brief The operator has already used the command id for a different command. */
struct ReusedCommandId {
    std::string operatorName;
    CommandId id;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.operatorName, self.id);
    }
    [[nodiscard]] friend bool operator==(const ReusedCommandId&, const ReusedCommandId&) = default;
};

/** @brief Result of a command. The order of the alternatives is part of the snapshot format. */
using CommandOutcome = std::variant<Accepted, Conflict, Rejected, ReusedCommandId>;

} // namespace zinnia::config
