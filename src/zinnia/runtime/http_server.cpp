#include "zinnia/runtime/http_server.hpp"

#include "zinnia/runtime/logger.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>
#include <array>
#include <nlohmann/json.hpp>
#include <optional>

namespace zinnia::runtime {

HttpResponse HttpResponse::json(int status, const nlohmann::json& body)
{
    return HttpResponse { status, "application/json",
        body.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n" };
}

HttpResponse HttpResponse::text(int status, std::string body)
{
    return HttpResponse { status, "text/plain; charset=utf-8", std::move(body) };
}

namespace {

    namespace net = Poco::Net;

    struct ServerContext {
        HttpServerSettings settings;
        std::vector<HttpRoute> routes;
    };

    Poco::Timespan timespan(Milliseconds duration)
    {
        return Poco::Timespan { std::chrono::microseconds { duration }.count() };
    }

    /** @return The status of a failed read, or nothing when `body` holds the complete body. */
    std::optional<int> readBody(net::HTTPServerRequest& request, const HttpServerSettings& settings, std::string& body)
    {
        const auto limit = settings.bodyBytes;
        if (request.hasContentLength() && static_cast<std::uint64_t>(request.getContentLength64()) > limit)
            return http_status::contentTooLarge;
        const auto deadline = std::chrono::steady_clock::now() + settings.bodyTimeout;
        std::array<char, 4096> chunk {};
        std::istream& stream = request.stream();
        while (stream.good()) {
            // `read` would wait for a full chunk, so the deadline would not apply to a slow sender.
            const int first = stream.get();
            if (first == std::istream::traits_type::eof())
                break;
            body += static_cast<char>(first);
            const auto ready = stream.readsome(chunk.data(), chunk.size());
            body.append(chunk.data(), static_cast<std::size_t>(ready));
            if (body.size() > limit)
                return http_status::contentTooLarge;
            if (std::chrono::steady_clock::now() > deadline)
                return http_status::requestTimeout;
        }
        if (request.hasContentLength() && static_cast<std::uint64_t>(request.getContentLength64()) != body.size())
            return http_status::requestTimeout;
        return std::nullopt;
    }

    /** Part of a refused body that is read; more is not worth the time. */
    constexpr std::size_t maxDiscardedBytes = 64 << 10;

    /**
     * @brief Reads the rest of a refused body.
     *
     * Closing a connection with unread bytes resets it, and the client may then lose the answer.
     */
    void discardBody(net::HTTPServerRequest& request, const HttpServerSettings& settings)
    {
        const auto deadline = std::chrono::steady_clock::now() + settings.bodyTimeout;
        std::istream& stream = request.stream();
        for (std::size_t discarded = 0; discarded < maxDiscardedBytes && stream.good(); ++discarded) {
            if (stream.get() == std::istream::traits_type::eof() || std::chrono::steady_clock::now() > deadline)
                return;
        }
    }

    void send(net::HTTPServerResponse& target, const HttpResponse& response)
    {
        target.setStatusAndReason(static_cast<net::HTTPResponse::HTTPStatus>(response.status));
        target.setContentType(response.contentType);
        if (!response.location.empty())
            target.set("Location", response.location);
        if (response.status == http_status::unauthorized)
            target.set("WWW-Authenticate", "Bearer");
        target.sendBuffer(response.body.data(), response.body.size());
    }

    class RequestHandler final : public net::HTTPRequestHandler {
    public:
        explicit RequestHandler(std::shared_ptr<const ServerContext> context)
            : context { std::move(context) }
        {
        }

        void handleRequest(net::HTTPServerRequest& request, net::HTTPServerResponse& response) override
        {
            const HttpResponse answer = this->answerOf(request);
            // An unread body would be parsed as the next request of the connection.
            if (answer.status >= http_status::badRequest)
                response.setKeepAlive(false);
            send(response, answer);
            if (answer.status == http_status::contentTooLarge)
                discardBody(request, this->context->settings);
        }

    private:
        HttpResponse answerOf(net::HTTPServerRequest& request) const
        {
            const std::string path = request.getURI().substr(0, request.getURI().find('?'));
            const auto method = valueIn(httpMethodNames, request.getMethod());
            const HttpRoute* found = nullptr;
            bool pathKnown = false;
            for (const auto& route : this->context->routes) {
                if (route.path != path)
                    continue;
                pathKnown = true;
                if (method == route.method)
                    found = &route;
            }
            if (!found) {
                const int status = pathKnown ? http_status::methodNotAllowed : http_status::notFound;
                return refuse(request, status, pathKnown ? "method not allowed" : "no such path");
            }
            HttpRequest received { *method, request.getURI(), request.get("Authorization", ""), "" };
            if (const auto status = readBody(request, this->context->settings, received.body))
                return refuse(request, *status, "body too large or too slow");
            try {
                return found->handler(received);
            } catch (const std::exception& failure) {
                log(Event::HttpHandlerFailed, Field { "path", path }, Field { "failure", failure.what() });
                return HttpResponse::json(http_status::internalError, { { "error", "internal error" } });
            }
        }

        static HttpResponse refuse(net::HTTPServerRequest& request, int status, const char* text)
        {
            log(Event::HttpRequestRefused, Field { "status", status }, Field { "path", request.getURI() },
                Field { "from", request.clientAddress().toString() });
            return HttpResponse::json(status, { { "error", text } });
        }

        std::shared_ptr<const ServerContext> context;
    };

    class HandlerFactory final : public net::HTTPRequestHandlerFactory {
    public:
        explicit HandlerFactory(std::shared_ptr<const ServerContext> context)
            : context { std::move(context) }
        {
        }

        net::HTTPRequestHandler* createRequestHandler(const net::HTTPServerRequest&) override
        {
            return new RequestHandler { this->context };
        }

    private:
        std::shared_ptr<const ServerContext> context;
    };

    net::HTTPServerParams::Ptr paramsOf(const HttpServerSettings& settings)
    {
        net::HTTPServerParams::Ptr params = new net::HTTPServerParams;
        params->setMaxThreads(static_cast<int>(settings.threads));
        params->setMaxQueued(static_cast<int>(settings.queuedConnections));
        params->setTimeout(timespan(settings.socketTimeout));
        params->setKeepAliveTimeout(timespan(settings.socketTimeout));
        return params;
    }

} // namespace

namespace internal {

    struct HttpServerParts {
        HttpServerParts(const HttpServerSettings& settings, std::vector<HttpRoute> routes)
            : context { std::make_shared<ServerContext>(ServerContext { settings, std::move(routes) }) }
            , pool { 1, static_cast<int>(settings.threads) }
            , socket { listenOn(settings.address) }
            , server { new HandlerFactory { this->context }, this->pool, this->socket, paramsOf(settings) }
        {
            this->server.start();
        }

        static net::ServerSocket listenOn(const Endpoint& address)
        {
            constexpr int backlog = 64;
            net::ServerSocket socket;
            // POCO shares the port by default, so that a second server on the address would take half of the requests.
            socket.bind(net::SocketAddress { address.toString() }, true, false);
            socket.listen(backlog);
            return socket;
        }

        std::shared_ptr<const ServerContext> context;
        Poco::ThreadPool pool;
        net::ServerSocket socket;
        net::HTTPServer server;
    };

} // namespace internal

Result<std::unique_ptr<HttpServer>, HttpServerError> HttpServer::create(
    const HttpServerSettings& settings, std::vector<HttpRoute> routes)
{
    try {
        auto parts = std::make_unique<internal::HttpServerParts>(settings, std::move(routes));
        std::unique_ptr<HttpServer> server { new HttpServer { std::move(parts) } };
        log(Event::HttpServerStarted, Field { "address", server->address() });
        return server;
    } catch (const Poco::Exception&) {
        return HttpServerError::AddressNotAvailable;
    }
}

HttpServer::HttpServer(std::unique_ptr<internal::HttpServerParts> parts)
    : parts { std::move(parts) }
{
}

HttpServer::~HttpServer()
{
    // Closes open connections: an idle keep-alive connection would hold a thread until its timeout.
    this->parts->server.stopAll(true);
    this->parts->pool.joinAll();
}

Endpoint HttpServer::address() const
{
    return Endpoint::parse(this->parts->socket.address().toString()).value_or(Endpoint {});
}

} // namespace zinnia::runtime
