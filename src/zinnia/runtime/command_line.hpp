#pragma once

#include "zinnia/core/result.hpp"
#include "zinnia/runtime/settings.hpp"

#include <functional>
#include <iostream>
#include <string>
#include <tclap/CmdLine.h>
#include <vector>

namespace zinnia::runtime {

/** @brief Exit codes that all programs share. */
namespace exit_code {
    inline constexpr int done = 0;
    inline constexpr int failed = 1;
    inline constexpr int usage = 2;
} // namespace exit_code

/** @brief Name and one-line purpose of a program, for `--help` and `--version`. */
struct ProgramDescription {
    std::string name;
    std::string purpose;
};

/** @brief Values of the options that all programs share. */
struct CommandLine {
    std::string configFile;
    bool checkConfig {};
    SettingsOverrides overrides;
};

/** @brief The program has to exit after parsing: help or version was printed (code 0), or an error (code 2). */
struct CommandLineExit {
    int code {};
};

/** @brief Command-line parser of a program; add further TCLAP arguments to `command` before `parse`. */
class CommandLineParser {
public:
    explicit CommandLineParser(const ProgramDescription& description);

    /** @brief Parses the arguments, the program's path excluded. Prints help, version and errors. */
    [[nodiscard]] Result<CommandLine, CommandLineExit> parse(const std::vector<std::string>& arguments);

    TCLAP::CmdLine command;

private:
    std::string name;
    TCLAP::ValueArg<std::string> config;
    TCLAP::SwitchArg check;
    TCLAP::MultiArg<std::string> overrides;
};

/** @brief Prints each error as a line on the standard error stream. */
void printErrors(const SettingsErrors& errors);

/**
 * @brief The `main` of a program with the shared options only.
 * @param read Reads the settings from the root table.
 * @param run Runs the program with the settings and their source, and returns its exit code.
 */
template <class T>
[[nodiscard]] int runProgram(const ProgramDescription& description, int argc, const char* const* argv,
    T (*read)(TableReader&), const std::function<int(const T&, const SettingsSource& source)>& run)
{
    CommandLineParser parser { description };
    const auto line = parser.parse({ argv + 1, argv + argc });
    if (!line)
        return line.error().code;
    const auto settings = loadSettings(line.value().configFile, read, line.value().overrides);
    if (!settings) {
        printErrors(settings.error());
        return exit_code::usage;
    }
    if (line.value().checkConfig) {
        std::cout << line.value().configFile << ": ok\n";
        return exit_code::done;
    }
    return run(settings.value(), SettingsSource { line.value().configFile, line.value().overrides });
}

/** @brief As above, for a program that does not reload its settings. */
template <class T>
[[nodiscard]] int runProgram(const ProgramDescription& description, int argc, const char* const* argv,
    T (*read)(TableReader&), int (*run)(const T&))
{
    const std::function<int(const T&, const SettingsSource&)> withSource
        = [run](const T& settings, const SettingsSource&) { return run(settings); };
    return runProgram<T>(description, argc, argv, read, withSource);
}

} // namespace zinnia::runtime
