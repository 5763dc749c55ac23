#include "standin/control_port.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <array>
#include <chrono>
#include <future>
#include <utility>

namespace zinnia::standin {
namespace {

    namespace net = Poco::Net;

    constexpr long clientTimeoutSeconds = 2;
    /** Longer than any handler takes; ends the wait when the loop has stopped. */
    constexpr std::chrono::seconds handlerTimeout { 2 };
    constexpr unsigned serverThreads = 2;

    int statusOf(ControlError error)
    {
        constexpr std::array table { runtime::http_status::badRequest, runtime::http_status::notFound,
            runtime::http_status::serviceUnavailable };
        return table.at(static_cast<std::size_t>(error));
    }

    ControlResult handleOnLoop(runtime::EventLoop& loop, const ControlHandler& handler, const std::string& text)
    {
        const auto body = text.empty() ? nlohmann::json::object()
                                       : nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
        if (!body.is_object())
            return ControlError::InvalidBody;
        const auto answer = std::make_shared<std::promise<ControlResult>>();
        auto future = answer->get_future();
        loop.post([answer, body, handler] {
            try {
                answer->set_value(handler(body));
            } catch (const nlohmann::json::exception&) {
                answer->set_value(ControlError::InvalidBody);
            }
        });
        if (future.wait_for(handlerTimeout) != std::future_status::ready)
            return ControlError::Stopping;
        return future.get();
    }

    runtime::HttpResponse respond(const ControlResult& result)
    {
        if (result.has_value())
            return runtime::HttpResponse::json(runtime::http_status::ok, result.value().body);
        return runtime::HttpResponse::json(
            statusOf(result.error()), nlohmann::json { { "error", nameOf(result.error()) } });
    }

} // namespace

std::unique_ptr<ControlPort> ControlPort::open(
    runtime::EventLoop& loop, const Endpoint& address, const ControlRoutes& routes)
{
    std::vector<runtime::HttpRoute> served;
    for (const auto& [route, handler] : routes) {
        const std::size_t space = route.find(' ');
        const auto method = valueIn(runtime::httpMethodNames, std::string_view { route }.substr(0, space));
        if (!method)
            return nullptr;
        served.push_back(
            { *method, route.substr(space + 1), [&loop, handler = handler](const runtime::HttpRequest& request) {
                 return respond(handleOnLoop(loop, handler, request.body));
             } });
    }
    runtime::HttpServerSettings settings;
    settings.address = address;
    settings.threads = serverThreads;
    auto server = runtime::HttpServer::create(settings, std::move(served));
    if (!server)
        return nullptr;
    return std::unique_ptr<ControlPort> { new ControlPort { std::move(server.value()) } };
}

std::optional<nlohmann::json> callControlPort(
    const Endpoint& address, const std::string& method, const std::string& path, const nlohmann::json& body)
{
    try {
        net::HTTPClientSession session { net::SocketAddress { address.toString() } };
        session.setTimeout(Poco::Timespan { clientTimeoutSeconds, 0 });
        net::HTTPRequest request { method, path, net::HTTPMessage::HTTP_1_1 };
        const std::string text = body.is_null() ? std::string {} : body.dump();
        request.setContentType("application/json");
        request.setContentLength(static_cast<std::streamsize>(text.size()));
        session.sendRequest(request) << text << std::flush;
        net::HTTPResponse response;
        std::string answer;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), answer);
        auto parsed = nlohmann::json::parse(answer, nullptr, /*allow_exceptions=*/false);
        if (response.getStatus() != net::HTTPResponse::HTTP_OK || parsed.is_discarded())
            return std::nullopt;
        return parsed;
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
}

} // namespace zinnia::standin
