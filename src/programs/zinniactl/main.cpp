#include "actions.hpp"
#include "zinnia/runtime/command_line.hpp"

#include <iostream>

int main(int argc, char** argv)
{
    using namespace zinnia;
    runtime::CommandLineParser parser { { "zinniactl",
        "Changes and shows the configuration of zinniamount. "
        "Commands: "
            + ctl::commandList() } };
    TCLAP::SwitchArg wait { "", "wait", "waits until the change is active at every reachable instance" };
    TCLAP::ValueArg<std::uint64_t> commandId { "", "command-id", "id of a resent command", false, 0, "ID" };
    TCLAP::ValueArg<std::uint64_t> base { "", "base-version", "version that the command changes", false, 0, "VERSION" };
    TCLAP::ValueArg<std::string> html { "", "html", "file for the report as HTML", false, "", "FILE" };
    TCLAP::UnlabeledMultiArg<std::string> words { "command", "the command and its parameters", false, "COMMAND" };
    parser.command.add(wait);
    parser.command.add(commandId);
    parser.command.add(base);
    parser.command.add(html);
    parser.command.add(words);
    const auto line = parser.parse({ argv + 1, argv + argc });
    if (!line)
        return line.error().code;
    const auto settings = runtime::loadSettings(line.value().configFile, &ctl::readSettings);
    if (!settings) {
        runtime::printErrors(settings.error());
        return ctl::exit_code::usage;
    }
    if (line.value().checkConfig) {
        std::cout << line.value().configFile << ": ok\n";
        return ctl::exit_code::done;
    }
    ctl::Arguments arguments;
    arguments.words = words.getValue();
    arguments.wait = wait.getValue();
    arguments.html = html.getValue();
    if (commandId.isSet())
        arguments.commandId = commandId.getValue();
    if (base.isSet())
        arguments.baseVersion = base.getValue();
    return ctl::run(settings.value(), arguments);
}
