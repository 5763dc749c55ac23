#pragma once

#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/name_table.hpp"
#include "zinnia/core/result.hpp"
#include "zinnia/runtime/event_loop.hpp"
#include "zinnia/runtime/http_server.hpp"

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace zinnia::standin {

/** @brief Why a control request was refused. */
enum class ControlError : unsigned char { InvalidBody, UnknownName, Stopping };

inline constexpr NameTable<ControlError, 3> controlErrorNames { {
    { ControlError::InvalidBody, "invalid_body" },
    { ControlError::UnknownName, "unknown_name" },
    { ControlError::Stopping, "stopping" },
} };
static_assert(isDense(controlErrorNames));

[[nodiscard]] constexpr std::string_view nameOf(ControlError error) noexcept
{
    return nameIn(controlErrorNames, error);
}

/** @brief JSON body of an answer. */
struct ControlAnswer {
    nlohmann::json body;
};

using ControlResult = Result<ControlAnswer, ControlError>;
/** @brief Handles a control request on the loop thread. Throwing a JSON exception means `InvalidBody`. */
using ControlHandler = std::function<ControlResult(const nlohmann::json& body)>;
/** @brief Handlers by method and path, such as "GET /v1/counters". */
using ControlRoutes = std::map<std::string, ControlHandler>;

/**
 * @brief HTTP and JSON control port of a stand-in.
 *
 * The HTTP server has its own threads; handlers run on the loop thread, one at a time. The loop has to outlive
 * the port.
 */
class ControlPort {
public:
    /** @return The open port, or nothing if the address cannot be bound. */
    [[nodiscard]] static std::unique_ptr<ControlPort> open(
        runtime::EventLoop& loop, const Endpoint& address, const ControlRoutes& routes);

    [[nodiscard]] Endpoint address() const { return this->server->address(); }

private:
    explicit ControlPort(std::unique_ptr<runtime::HttpServer> server)
        : server { std::move(server) }
    {
    }

    std::unique_ptr<runtime::HttpServer> server;
};

/**
 * @brief Sends a control request to a stand-in and waits for the answer, for at most two seconds.
 * @return The answer, or nothing if there was none or its status was not 200.
 */
[[nodiscard]] std::optional<nlohmann::json> callControlPort(
    const Endpoint& address, const std::string& method, const std::string& path, const nlohmann::json& body = {});

} // namespace zinnia::standin
