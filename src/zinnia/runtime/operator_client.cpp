#include "zinnia/runtime/operator_client.hpp"

#include "zinnia/runtime/json_archive.hpp"

#include <algorithm>
#include <map>
#include <thread>

namespace zinnia::runtime {

namespace {

    constexpr unsigned maxRedirects = 3;

    nlohmann::json jsonOf(const HttpResponse& response) { return nlohmann::json::parse(response.body, nullptr, false); }

    std::string errorOf(const nlohmann::json& json)
    {
        return json.is_object() && json.contains("error") && json["error"].is_string()
            ? json["error"].get<std::string>()
            : "";
    }

    /** @return The address in a Location header of the form "http://a.b.c.d:port/path". */
    std::optional<Endpoint> leaderAddressOf(const std::string& location)
    {
        constexpr std::string_view scheme = "http://";
        if (!location.starts_with(scheme))
            return std::nullopt;
        const auto end = location.find('/', scheme.size());
        return Endpoint::parse(location.substr(scheme.size(), end - scheme.size()));
    }

    CommandRefused unexpectedAnswer(const HttpResponse& response)
    {
        return CommandRefused { "unexpected answer " + std::to_string(response.status) + ": " + response.body };
    }

    CommandResult acceptedOf(const HttpResponse& response)
    {
        const auto json = jsonOf(response);
        if (!json.is_object() || !json.contains("version") || !json["version"].is_number_unsigned())
            return unexpectedAnswer(response);
        return CommandDone { ConfigVersion { json["version"].get<std::uint64_t>() }, json.value("changed", true) };
    }

    CommandResult conflictOf(const HttpResponse& response)
    {
        const auto json = jsonOf(response);
        if (errorOf(json) == "reused_command_id")
            return CommandRefused { "the command id was used before for another command" };
        if (!json.is_object() || !json.contains("winner") || !json["winner"].is_object())
            return unexpectedAnswer(response);
        const auto& winner = json["winner"];
        const auto number = [&](const char* key) { return std::to_string(winner.value(key, std::uint64_t { 0 })); };
        return CommandConflicted { "operator " + winner.value("operator", std::string {}) + " with command "
            + number("command_id") + " has made version " + number("version") };
    }

    CommandResult rejectedOf(const HttpResponse& response)
    {
        const auto json = jsonOf(response);
        if (!json.is_object() || !json.contains("failures") || !json["failures"].is_array())
            return unexpectedAnswer(response);
        std::string text;
        for (const auto& failure : json["failures"]) {
            const auto field = [&](const char* key) { return failure.value(key, std::string {}); };
            text += field("field") + ": " + field("fault") + ": '" + field("value") + "'; allowed: " + field("allowed")
                + "\n";
        }
        return CommandRefused { text };
    }

} // namespace

OperatorTransport httpTransport()
{
    return { [](const Endpoint& server, const HttpRequest& request) { return sendHttp(server, request, {}); },
        [](Milliseconds pause) { std::this_thread::sleep_for(pause); },
        [] {
            const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
            return TimePoint { std::chrono::duration_cast<Microseconds>(sinceStart) };
        } };
}

OperatorClient::OperatorClient(OperatorClientSettings settings, OperatorTransport transport)
    : settings { std::move(settings) }
    , transport { std::move(transport) }
{
}

Result<HttpResponse, HttpClientError> OperatorClient::sendFollowing(const Endpoint& control, HttpRequest request)
{
    request.authorization = "Bearer " + this->settings.token;
    auto answer = this->transport.send(control, request);
    for (unsigned i = 0; i < maxRedirects && answer && answer.value().status == http_status::temporaryRedirect; ++i) {
        const auto leader = leaderAddressOf(answer.value().location);
        // The token goes only to control instances of the settings, not to any address an answer names.
        if (!leader || std::ranges::find(this->settings.controls, *leader) == this->settings.controls.end())
            return HttpClientError::Unreachable;
        answer = this->transport.send(*leader, request);
    }
    return answer;
}

Result<HttpResponse, NoAnswer> OperatorClient::sendToLeader(const HttpRequest& request)
{
    bool mayHaveRun = false;
    for (unsigned round = 0; round < this->settings.rounds; ++round) {
        if (round > 0)
            this->transport.pause(this->settings.pauseBetweenRounds);
        for (const Endpoint& control : this->settings.controls) {
            const auto answer = this->sendFollowing(control, request);
            if (!answer) {
                mayHaveRun = mayHaveRun || answer.error() == HttpClientError::AnswerLost;
                continue;
            }
            const int status = answer.value().status;
            if (status == http_status::serviceUnavailable || status == http_status::internalError) {
                mayHaveRun = mayHaveRun || errorOf(jsonOf(answer.value())) != "no_leader";
                continue;
            }
            if (status != http_status::temporaryRedirect)
                return answer.value();
        }
    }
    return mayHaveRun ? NoAnswer::Unknown : NoAnswer::Unreachable;
}

CommandResult OperatorClient::submit(const config::CommandRequest& request)
{
    const auto answer = this->sendToLeader({ HttpMethod::Post, "/v1/commands", "", toJson(request).dump() });
    if (!answer) {
        if (answer.error() == NoAnswer::Unknown)
            return CommandUnknown {};
        return CommandUnreachable {};
    }
    const std::map<int, CommandResult (*)(const HttpResponse&)> results {
        { http_status::ok, &acceptedOf },
        { http_status::conflict, &conflictOf },
        { http_status::badRequest, &rejectedOf },
    };
    const auto found = results.find(answer.value().status);
    return found == results.end() ? CommandResult { unexpectedAnswer(answer.value()) } : found->second(answer.value());
}

ConfigurationResult OperatorClient::configuration()
{
    const auto answer = this->sendToLeader({ HttpMethod::Get, "/v1/config", "", "" });
    // A read-only request cannot have an unknown outcome.
    if (!answer)
        return CommandUnreachable {};
    if (answer.value().status != http_status::ok)
        return unexpectedAnswer(answer.value());
    auto configuration = parseJson<config::Configuration>(answer.value().body, "configuration");
    if (!configuration)
        return CommandRefused { configuration.error().front().toString() };
    return std::move(configuration.value());
}

std::vector<ClusterStatus> OperatorClient::statuses()
{
    std::vector<ClusterStatus> found;
    for (const Endpoint& control : this->settings.controls) {
        const auto answer = this->sendFollowing(control, { HttpMethod::Get, "/v1/status", "", "" });
        if (!answer || answer.value().status != http_status::ok)
            continue;
        auto status = parseJson<ClusterStatus>(answer.value().body, "status");
        if (status)
            found.push_back(std::move(status.value()));
    }
    return found;
}

std::vector<InstanceStatus> mergedInstances(const std::vector<ClusterStatus>& statuses)
{
    std::map<InstanceId, InstanceStatus> merged;
    for (const ClusterStatus& status : statuses) {
        for (const InstanceStatus& instance : status.instances) {
            const auto [place, added] = merged.emplace(instance.id, instance);
            if (added)
                continue;
            InstanceStatus& known = place->second;
            known.version = std::max(known.version, instance.version);
            known.reachable = known.reachable || instance.reachable;
            if (instance.sinceLastReport
                && (!known.sinceLastReport || *instance.sinceLastReport < *known.sinceLastReport))
                known.sinceLastReport = instance.sinceLastReport;
        }
    }
    std::vector<InstanceStatus> instances;
    instances.reserve(merged.size());
    for (const auto& [id, status] : merged)
        instances.push_back(status);
    return instances;
}

} // namespace zinnia::runtime
