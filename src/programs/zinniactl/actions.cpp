#include "actions.hpp"

#include "report.hpp"
#include "zinnia/runtime/command_line.hpp"
#include "zinnia/runtime/inventory.hpp"
#include "zinnia/runtime/operator_token.hpp"
#include "zinnia/runtime/version_wait.hpp"

#include <array>
#include <charconv>
#include <iomanip>
#include <iostream>
#include <random>

namespace zinnia::ctl {

namespace {

    constexpr Milliseconds defaultTimeLimit { 30000 };

    using Words = std::vector<std::string>;

    /** @brief Settings, arguments and client of one invocation. */
    struct Session {
        const Settings& settings;
        const Arguments& arguments;
        runtime::OperatorClient client;
    };

    /** @brief Builds the command of a change; prints the errors and returns nothing if it is invalid. */
    using MakeCommand = std::optional<config::Command> (*)(const Words&);
    /** @brief Runs a command that is not a change. */
    using RunAction = int (*)(Session&, const Words&);

    /** @brief A row of the command table: exactly one of `make` and `action` is set. */
    struct CommandRow {
        std::string_view name;
        std::string_view parameters;
        std::size_t parameterCount;
        MakeCommand make;
        RunAction action;
    };

    /** @brief Prints the result of a command that did not succeed. @return The exit code. */
    struct PrintFailure {
        const config::CommandRequest* request = nullptr;

        int operator()(const config::Configuration&) const { return exit_code::done; }
        int operator()(const runtime::CommandDone&) const { return exit_code::done; }

        int operator()(const runtime::CommandConflicted& result) const
        {
            std::cerr << "conflict: " << result.text << "\n";
            return exit_code::conflict;
        }

        int operator()(const runtime::CommandRefused& result) const
        {
            std::cerr << "rejected:\n" << result.text << "\n";
            return exit_code::rejected;
        }

        int operator()(const runtime::CommandUnreachable&) const
        {
            std::cerr << "unreachable: no control instance accepted the request; nothing was changed\n";
            return exit_code::unreachable;
        }

        int operator()(const runtime::CommandUnknown&) const
        {
            std::cerr << "unknown: the command may or may not have run";
            if (this->request)
                std::cerr << "; to send it again, add --command-id " << this->request->id.value << " --base-version "
                          << this->request->baseVersion.value;
            std::cerr << "\n";
            return exit_code::unknown;
        }
    };

    void printInstances(const std::vector<runtime::InstanceStatus>& instances)
    {
        std::cout << "instance  zone  version  reachable  heard_ms\n";
        for (const auto& instance : instances) {
            std::cout << std::setw(8) << instance.id.value << std::setw(6) << instance.zone.value << std::setw(9)
                      << instance.version.value << std::setw(11) << (instance.reachable ? "yes" : "no") << std::setw(10)
                      << (instance.sinceLastReport ? std::to_string(instance.sinceLastReport->count()) : "never")
                      << "\n";
        }
    }

    /** @brief Prints what operators have changed: states of zones and drained upstreams. */
    void printOperatorState(const config::Configuration& configuration)
    {
        for (const auto& zone : configuration.zones)
            std::cout << "zone " << zone.id.value << " " << zone.name << ": "
                      << nameIn(config::zoneStateNames, zone.state) << "\n";
        for (const auto& upstream : configuration.drained)
            std::cout << "drained upstream of service " << upstream.service.value << ": " << upstream.name << "\n";
    }

    int waitFor(Session& session, ConfigVersion version)
    {
        const auto result = runtime::waitForVersion(session.client, version, session.settings.timeLimit);
        std::cout << "version " << version.value << ": " << nameIn(runtime::waitEndNames, result.end) << " after "
                  << result.waited.count() << " ms";
        if (result.slowest != InstanceId {})
            std::cout << ", slowest instance " << result.slowest.value;
        std::cout << "\n";
        constexpr std::array<int, runtime::waitEndNames.size()> codes { exit_code::done, exit_code::unknown,
            exit_code::unreachable };
        if (result.end != runtime::WaitEnd::Active)
            printInstances(result.instances);
        return codes.at(static_cast<std::size_t>(result.end));
    }

    config::CommandId newCommandId()
    {
        // 53 bits, which every JSON reader represents exactly.
        std::random_device random;
        std::uniform_int_distribution<std::uint64_t> ids { 1, (std::uint64_t { 1 } << 53U) - 1 };
        return config::CommandId { ids(random) };
    }

    int change(Session& session, const config::Command& command)
    {
        config::CommandRequest request;
        request.operatorName = session.settings.operatorName;
        request.id = session.arguments.commandId ? config::CommandId { *session.arguments.commandId } : newCommandId();
        request.command = command;
        if (session.arguments.baseVersion)
            request.baseVersion = ConfigVersion { *session.arguments.baseVersion };
        else {
            const auto current = session.client.configuration();
            const auto* configuration = std::get_if<config::Configuration>(&current);
            if (!configuration)
                return std::visit(PrintFailure {}, current);
            request.baseVersion = configuration->version;
        }
        const runtime::CommandResult result = session.client.submit(request);
        const auto* done = std::get_if<runtime::CommandDone>(&result);
        if (!done)
            return std::visit(PrintFailure { &request }, result);
        std::cout << "version " << done->version.value << ": " << (done->changed ? "accepted" : "already so") << "\n";
        return session.arguments.wait ? waitFor(session, done->version) : exit_code::done;
    }

    template <class T, Result<T, runtime::SettingsErrors> (*Load)(const std::string&)>
    std::optional<config::Command> loadCommand(const Words& words)
    {
        auto loaded = Load(words[1]);
        if (loaded)
            return std::move(loaded.value());
        runtime::printErrors(loaded.error());
        return std::nullopt;
    }

    template <class T> std::optional<config::Command> zoneCommand(const Words& words) { return T { words[1] }; }

    template <class T> std::optional<config::Command> upstreamCommand(const Words& words)
    {
        return T { words[1], words[2] };
    }

    int showStatus(Session& session, const Words&)
    {
        const auto statuses = session.client.statuses();
        if (statuses.empty()) {
            // Distinguishes a refused token from control instances that do not answer.
            const auto reason = session.client.configuration();
            const bool refused = std::holds_alternative<runtime::CommandRefused>(reason);
            return refused ? std::visit(PrintFailure {}, reason) : PrintFailure {}(runtime::CommandUnreachable {});
        }
        for (const auto& status : statuses)
            std::cout << "control " << status.self.value << ": " << nameOf(status.role) << ", version "
                      << status.version.value << ", leader " << (status.leader ? status.leader->toString() : "unknown")
                      << "\n";
        printInstances(runtime::mergedInstances(statuses));
        const auto current = session.client.configuration();
        if (const auto* configuration = std::get_if<config::Configuration>(&current))
            printOperatorState(*configuration);
        return exit_code::done;
    }

    int wait(Session& session, const Words& words)
    {
        std::uint64_t version = 0;
        const std::string& text = words[1];
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), version);
        if (error != std::errc {} || end != text.data() + text.size()) {
            std::cerr << "zinniactl: wait: '" << text << "' is not a version\n";
            return exit_code::usage;
        }
        return waitFor(session, ConfigVersion { version });
    }

    int showReport(Session& session, const Words& words) { return report(words[1], session.arguments.html); }

    constexpr std::array<CommandRow, 9> commands { {
        { "apply-inventory", "FILE", 1, &loadCommand<config::ApplyInventory, &runtime::loadInventory>, nullptr },
        { "apply-rules", "FILE", 1, &loadCommand<config::ApplyRules, &runtime::loadRules>, nullptr },
        { "withdraw-zone", "NAME", 1, &zoneCommand<config::WithdrawZone>, nullptr },
        { "return-zone", "NAME", 1, &zoneCommand<config::ReturnZone>, nullptr },
        { "drain-upstream", "SERVICE NAME", 2, &upstreamCommand<config::DrainUpstream>, nullptr },
        { "undrain-upstream", "SERVICE NAME", 2, &upstreamCommand<config::UndrainUpstream>, nullptr },
        { "status", "", 0, nullptr, &showStatus },
        { "wait", "VERSION", 1, nullptr, &wait },
        { "report", "FILE", 1, nullptr, &showReport },
    } };

} // namespace

Settings readSettings(runtime::TableReader& root)
{
    Settings settings;
    settings.operatorName = root.text("operator");
    settings.client.controls = root.endpoints("controls");
    settings.client.token = runtime::readOperatorToken(root);
    settings.timeLimit = root.milliseconds(
        "time_limit_ms", { Milliseconds { 1 }, Milliseconds { std::chrono::hours { 1 } } }, defaultTimeLimit);
    if (settings.client.controls.empty())
        root.reject("controls", "", "at least one address of a control instance");
    return settings;
}

std::string commandList()
{
    std::string list;
    for (const CommandRow& row : commands) {
        list.append(list.empty() ? "" : ", ").append(row.name);
        if (!row.parameters.empty())
            list.append(" ").append(row.parameters);
    }
    return list;
}

int run(const Settings& settings, const Arguments& arguments)
{
    const Words& words = arguments.words;
    for (const CommandRow& row : commands) {
        if (words.empty() || words.front() != row.name || words.size() != row.parameterCount + 1)
            continue;
        Session session { settings, arguments, { settings.client, runtime::httpTransport() } };
        if (row.action)
            return row.action(session, words);
        const auto command = row.make(words);
        return command ? change(session, *command) : exit_code::rejected;
    }
    std::cerr << "zinniactl: the commands are: " << commandList() << "\n";
    return exit_code::usage;
}

} // namespace zinnia::ctl
