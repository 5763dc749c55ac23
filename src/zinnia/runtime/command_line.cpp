#include "zinnia/runtime/command_line.hpp"

#include "zinnia/runtime/version.hpp"

#include <tclap/StdOutput.h>

namespace zinnia::runtime {

namespace {

    /** @brief Prints the version on one line, so that scripts can parse it. */
    class Output : public TCLAP::StdOutput {
    public:
        explicit Output(std::string name)
            : name { std::move(name) }
        {
        }

        void version(TCLAP::CmdLineInterface& line) override
        {
            std::cout << this->name << " " << line.getVersion() << "\n";
        }

        void failure(TCLAP::CmdLineInterface&, TCLAP::ArgException& error) override
        {
            std::cerr << this->name << ": " << error.argId() << ": " << error.error() << "\n";
            throw TCLAP::ExitException { exit_code::usage };
        }

    private:
        std::string name;
    };

} // namespace

CommandLineParser::CommandLineParser(const ProgramDescription& description)
    : command { description.purpose, ' ', std::string { version() } }
    , name { description.name }
    , config { "", "config", "settings file (TOML)", true, "", "FILE" }
    , check { "", "check-config", "checks the settings file and exits" }
    , overrides { "", "set", "replaces a key of the settings file, such as group.catch_up_s=4", false, "KEY=VALUE" }
{
    this->command.add(this->config);
    this->command.add(this->check);
    this->command.add(this->overrides);
}

Result<CommandLine, CommandLineExit> CommandLineParser::parse(const std::vector<std::string>& arguments)
{
    Output output { this->name };
    this->command.setOutput(&output);
    this->command.setExceptionHandling(false);
    std::vector<std::string> all { this->name };
    all.insert(all.end(), arguments.begin(), arguments.end());
    try {
        this->command.parse(all);
    } catch (TCLAP::ArgException& error) {
        std::cerr << this->name << ": " << error.argId() << ": " << error.error() << "\n";
        return CommandLineExit { exit_code::usage };
    } catch (const TCLAP::ExitException& exit) {
        return CommandLineExit { exit.getExitStatus() };
    }
    return CommandLine { this->config.getValue(), this->check.getValue(), this->overrides.getValue() };
}

void printErrors(const SettingsErrors& errors)
{
    for (const auto& error : errors)
        std::cerr << error.toString() << "\n";
}

} // namespace zinnia::runtime
