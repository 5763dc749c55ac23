#pragma once

#include "zinnia/config/configuration.hpp"

#include <variant>

namespace zinnia::config {

/** @brief Command id that the operator's tool assigns; unique among the commands of one operator. */
using CommandId = StrongId<struct CommandTag, std::uint64_t>;

/** @brief Replaces services, zones, entry and control instances. Existing zones keep their state. */
struct ApplyInventory {
    ClusterId cluster;
    std::vector<Service> services;
    std::vector<Zone> zones;
    std::vector<Entry> entries;
    std::vector<Control> controls;

    /** Names of the fields in JSON, in the order of `describe`. */
    static constexpr std::array<std::string_view, 5> fieldNames { "cluster", "services", "zones", "entries",
        "controls" };

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.cluster, self.services, self.zones, self.entries, self.controls);
    }
    [[nodiscard]] friend bool operator==(const ApplyInventory&, const ApplyInventory&) = default;
};

/** @brief Replaces all operator rules. */
struct ApplyRules {
    Rules rules;

    /** Names of the fields in JSON, in the order of `describe`. */
    static constexpr std::array<std::string_view, 1> fieldNames { "rules" };

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit) { visit(self.rules); }
    [[nodiscard]] friend bool operator==(const ApplyRules&, const ApplyRules&) = default;
};

/** @brief Takes a zone out of service. */
struct WithdrawZone {
    std::string zone;

    /** Names of the fields in JSON, in the order of `describe`. */
    static constexpr std::array<std::string_view, 1> fieldNames { "zone" };

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit) { visit(self.zone); }
    [[nodiscard]] friend bool operator==(const WithdrawZone&, const WithdrawZone&) = default;
};

/** @brief Puts a withdrawn zone back into service. */
struct ReturnZone {
    std::string zone;

    /** Names of the fields in JSON, in the order of `describe`. */
    static constexpr std::array<std::string_view, 1> fieldNames { "zone" };

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit) { visit(self.zone); }
    [[nodiscard]] friend bool operator==(const ReturnZone&, const ReturnZone&) = default;
};

/** @brief Drains an upstream: it gets no new work. Upstreams are not configured, so the name is not checked. */
struct DrainUpstream {
    std::string service;
    std::string name;

    /** Names of the fields in JSON, in the order of `describe`. */
    static constexpr std::array<std::string_view, 2> fieldNames { "service", "name" };

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.service, self.name);
    }
    [[nodiscard]] friend bool operator==(const DrainUpstream&, const DrainUpstream&) = default;
};

/** @brief Ends the drain of an upstream, so that it gets new work again. */
struct UndrainUpstream {
    std::string service;
    std::string name;

    /** Names of the fields in JSON, in the order of `describe`. */
    static constexpr std::array<std::string_view, 2> fieldNames { "service", "name" };

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.service, self.name);
    }
    [[nodiscard]] friend bool operator==(const UndrainUpstream&, const UndrainUpstream&) = default;
};

/** @brief Any command. The order is part of the log format; new commands are appended at the end. */
using Command = std::variant<ApplyInventory, ApplyRules, WithdrawZone, ReturnZone, DrainUpstream, UndrainUpstream>;

/** @brief Type of a command; in the order of the alternatives of `Command`. */
enum class CommandType : std::uint8_t {
    ApplyInventory,
    ApplyRules,
    WithdrawZone,
    ReturnZone,
    DrainUpstream,
    UndrainUpstream,
};

inline constexpr NameTable<CommandType, std::variant_size_v<Command>> commandTypeNames { {
    { CommandType::ApplyInventory, "apply_inventory" },
    { CommandType::ApplyRules, "apply_rules" },
    { CommandType::WithdrawZone, "withdraw_zone" },
    { CommandType::ReturnZone, "return_zone" },
    { CommandType::DrainUpstream, "drain_upstream" },
    { CommandType::UndrainUpstream, "undrain_upstream" },
} };
static_assert(isDense(commandTypeNames));

[[nodiscard]] constexpr const auto& namesOf(CommandType) noexcept { return commandTypeNames; }
[[nodiscard]] constexpr std::string_view nameOf(CommandType type) noexcept { return nameIn(commandTypeNames, type); }

[[nodiscard]] inline CommandType typeOf(const Command& command) noexcept
{
    return static_cast<CommandType>(command.index());
}

/** @brief A command with its operator, its id and the version to which it applies. */
struct CommandRequest {
    std::string operatorName;
    CommandId id;
    /** Version that the operator has read and that the command changes; any other active version is a conflict. */
    ConfigVersion baseVersion;
    Command command;

    /** Names of the fields in JSON, in the order of `describe`. */
    static constexpr std::array<std::string_view, 4> fieldNames { "operator", "command_id", "base_version", "command" };

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.operatorName, self.id, self.baseVersion, self.command);
    }
    [[nodiscard]] friend bool operator==(const CommandRequest&, const CommandRequest&) = default;
};

} // namespace zinnia::config
