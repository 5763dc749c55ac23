#pragma once

#include "zinnia/config/command.hpp"
#include "zinnia/runtime/operator_client.hpp"
#include "zinnia/runtime/settings.hpp"

#include <optional>
#include <string>
#include <vector>

namespace zinnia::ctl {

/** @brief Exit codes of zinniactl; docs/operators.md lists them. */
namespace exit_code {
    inline constexpr int done = 0;
    inline constexpr int failed = 1;
    inline constexpr int usage = 2;
    inline constexpr int conflict = 3;
    inline constexpr int rejected = 4;
    inline constexpr int unreachable = 5;
    inline constexpr int unknown = 6;
} // namespace exit_code

/** @brief Settings file of zinniactl. */
struct Settings {
    std::string operatorName;
    runtime::OperatorClientSettings client;
    /** Maximum wait until a version is active. */
    Milliseconds timeLimit {};
};

/** @brief Parsed command line: the command with its parameters, and the options. */
struct Arguments {
    std::vector<std::string> words;
    bool wait {};
    /** Id of a resent command whose outcome is unknown; a new id if absent. */
    std::optional<std::uint64_t> commandId;
    /** Version that the command changes; the active version if absent. */
    std::optional<std::uint64_t> baseVersion;
    /** File for the HTML report; empty for none. */
    std::string html;
};

[[nodiscard]] Settings readSettings(runtime::TableReader& root);

/** @brief Runs the command that `arguments.words` names. @return The exit code. */
[[nodiscard]] int run(const Settings& settings, const Arguments& arguments);

/** @return The commands with their parameters, separated by commas. */
[[nodiscard]] std::string commandList();

} // namespace zinnia::ctl
