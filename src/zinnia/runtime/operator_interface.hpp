#pragma once

#include "zinnia/core/time.hpp"
#include "zinnia/runtime/control_backend.hpp"
#include "zinnia/runtime/http_server.hpp"
#include "zinnia/runtime/metrics.hpp"
#include "zinnia/runtime/operator_token.hpp"

#include <memory>

namespace zinnia::runtime {

/** @brief Limits and secrets of the operator interface. */
struct OperatorInterfaceSettings {
    OperatorToken token;
    /** Time that a request waits for the result of its command; then the outcome is unknown. */
    Milliseconds commandTimeout { 5000 };
};

/** @brief Maximum size of a command's body: an inventory of 4,000 entries takes about 1 MB. Unit: bytes. */
inline constexpr std::size_t maxCommandBytes = std::size_t { 8 } << 20U;

/**
 * @brief The HTTP interface of a control instance for operators: commands, configuration and status.
 *
 * Paths below /v1 need the operator token; /health and /metrics do not.
 */
class OperatorInterface {
public:
    /** @param backend, metrics Must live as long as the HTTP server that has the routes. */
    OperatorInterface(const OperatorInterfaceSettings& settings, ControlBackend& backend, MetricsRegistry& metrics);

    /** @return The routes for an `HttpServer`; they keep using this object. */
    [[nodiscard]] std::vector<HttpRoute> routes();

private:
    [[nodiscard]] HttpHandler authorized(HttpResponse (OperatorInterface::*handler)(const HttpRequest&));
    [[nodiscard]] HttpResponse postCommand(const HttpRequest& request);
    [[nodiscard]] HttpResponse getConfig(const HttpRequest& request);
    [[nodiscard]] HttpResponse getStatus(const HttpRequest& request);
    [[nodiscard]] HttpResponse getHealth() const;
    [[nodiscard]] SubmitResult submitAndWait(const config::CommandRequest& request);

    OperatorInterfaceSettings settings;
    ControlBackend* backend;
    MetricsRegistry* metrics;
};

} // namespace zinnia::runtime
