#include "zinnia/runtime/operator_interface.hpp"

#include "zinnia/runtime/json_archive.hpp"
#include "zinnia/runtime/logger.hpp"

#include <future>

namespace zinnia::runtime {

namespace {

    HttpResponse redirectTo(const Endpoint& leader, const std::string& path)
    {
        HttpResponse response = HttpResponse::json(
            http_status::temporaryRedirect, { { "error", "not_leader" }, { "leader", leader.toString() } });
        response.location = "http://" + leader.toString() + path;
        return response;
    }

    HttpResponse badRequest(const SettingsErrors& errors)
    {
        nlohmann::json failures = nlohmann::json::array();
        for (const SettingsError& error : errors)
            failures.push_back({ { "fault", nameIn(settingsFaultNames, error.fault) }, { "field", error.key },
                { "value", error.value }, { "allowed", error.allowed } });
        return HttpResponse::json(
            http_status::badRequest, { { "error", "rejected" }, { "failures", std::move(failures) } });
    }

    /** @brief The answer for each result of a command. */
    struct AnswerOf {
        const HttpRequest& request;

        HttpResponse operator()(const config::CommandOutcome& outcome) const { return std::visit(*this, outcome); }

        HttpResponse operator()(const NotLeader& result) const
        {
            if (result.leader)
                return redirectTo(*result.leader, this->request.path);
            return HttpResponse::json(http_status::serviceUnavailable, { { "error", "no_leader" } });
        }

        HttpResponse operator()(const OutcomeUnknown&) const
        {
            return HttpResponse::json(http_status::serviceUnavailable, { { "error", "outcome_unknown" } });
        }

        HttpResponse operator()(const config::Accepted& outcome) const
        {
            return HttpResponse::json(http_status::ok,
                { { "result", "accepted" }, { "version", outcome.version.value }, { "changed", outcome.changed } });
        }

        HttpResponse operator()(const config::Conflict& outcome) const
        {
            return HttpResponse::json(http_status::conflict,
                { { "error", "conflict" },
                    { "winner",
                        { { "operator", outcome.winningOperator }, { "command_id", outcome.winningCommand.value },
                            { "version", outcome.winningVersion.value } } },
                    { "current_version", outcome.currentVersion.value } });
        }

        HttpResponse operator()(const config::Rejected& outcome) const
        {
            return HttpResponse::json(
                http_status::badRequest, { { "error", "rejected" }, { "failures", toJson(outcome.errors) } });
        }

        HttpResponse operator()(const config::ReusedCommandId& outcome) const
        {
            return HttpResponse::json(http_status::conflict,
                { { "error", "reused_command_id" }, { "operator", outcome.operatorName },
                    { "command_id", outcome.id.value } });
        }
    };

} // namespace

OperatorInterface::OperatorInterface(
    const OperatorInterfaceSettings& settings, ControlBackend& backend, MetricsRegistry& metrics)
    : settings { settings }
    , backend { &backend }
    , metrics { &metrics }
{
}

std::vector<HttpRoute> OperatorInterface::routes()
{
    return {
        { HttpMethod::Post, "/v1/commands", this->authorized(&OperatorInterface::postCommand) },
        { HttpMethod::Get, "/v1/config", this->authorized(&OperatorInterface::getConfig) },
        { HttpMethod::Get, "/v1/status", this->authorized(&OperatorInterface::getStatus) },
        { HttpMethod::Get, "/health", [this](const HttpRequest&) { return this->getHealth(); } },
        { HttpMethod::Get, "/metrics",
            [this](const HttpRequest&) {
                return HttpResponse { http_status::ok, "text/plain; version=0.0.4", this->metrics->prometheusText() };
            } },
    };
}

HttpHandler OperatorInterface::authorized(HttpResponse (OperatorInterface::*handler)(const HttpRequest&))
{
    return [this, handler](const HttpRequest& request) {
        if (this->settings.token.permits(request.authorization))
            return (this->*handler)(request);
        log(Event::OperatorRefused, Field { "path", request.path });
        this->metrics->counter({ "zinnia_operator_requests_refused_total" }).add();
        return HttpResponse::json(http_status::unauthorized, { { "error", "no valid operator token" } });
    };
}

HttpResponse OperatorInterface::postCommand(const HttpRequest& request)
{
    const auto command = parseJson<config::CommandRequest>(request.body, "request");
    if (!command)
        return badRequest(command.error());
    log(Event::OperatorCommand, Field { "operator", command.value().operatorName },
        Field { "command", command.value().id }, Field { "base", command.value().baseVersion },
        Field { "type", config::typeOf(command.value().command) });
    const SubmitResult result = this->submitAndWait(command.value());
    HttpResponse response = std::visit(AnswerOf { request }, result);
    this->metrics->counter({ "zinnia_operator_commands_total", "status", std::to_string(response.status) }).add();
    if (std::holds_alternative<NotLeader>(result))
        log(Event::OperatorRedirected, Field { "command", command.value().id }, Field { "to", response.location });
    if (std::holds_alternative<OutcomeUnknown>(result))
        log(Event::OperatorOutcomeUnknown, Field { "operator", command.value().operatorName },
            Field { "command", command.value().id });
    return response;
}

SubmitResult OperatorInterface::submitAndWait(const config::CommandRequest& request)
{
    // Shared, because the backend may call back after the wait of this function has timed out.
    const auto promise = std::make_shared<std::promise<SubmitResult>>();
    std::future<SubmitResult> result = promise->get_future();
    this->backend->submit(request, [promise](SubmitResult value) { promise->set_value(std::move(value)); });
    if (result.wait_for(std::chrono::milliseconds { this->settings.commandTimeout }) != std::future_status::ready)
        return OutcomeUnknown {};
    return result.get();
}

HttpResponse OperatorInterface::getConfig(const HttpRequest& request)
{
    // A base version from a replica that lags would only lead to a conflict, so the leader answers if it is known.
    const ClusterStatus status = this->backend->status();
    if (status.role != ReplicaRole::Leader && status.leader)
        return redirectTo(*status.leader, request.path);
    return HttpResponse::json(http_status::ok, toJson(this->backend->configuration()));
}

HttpResponse OperatorInterface::getStatus(const HttpRequest&)
{
    return HttpResponse::json(http_status::ok, toJson(this->backend->status()));
}

HttpResponse OperatorInterface::getHealth() const
{
    const ClusterStatus status = this->backend->status();
    return HttpResponse::json(
        http_status::ok, { { "status", "ok" }, { "role", nameOf(status.role) }, { "version", status.version.value } });
}

} // namespace zinnia::runtime
