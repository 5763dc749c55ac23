#pragma once

#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/input_limits.hpp"
#include "zinnia/core/result.hpp"
#include "zinnia/core/time.hpp"
#include "zinnia/runtime/http_message.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace zinnia::runtime {

/** @brief Limits of an HTTP server. */
struct HttpServerSettings {
    /** TCP address; port 0 lets the system choose. */
    Endpoint address;
    unsigned threads = 4;
    /** Connections that wait for a thread; more are closed. */
    unsigned queuedConnections = 64;
    /** Maximum size of an accepted body. Unit: bytes. */
    std::size_t bodyBytes = limitsOf(InputKind::Command).bytes;
    /** Timeout of one read from or write to the socket. */
    Milliseconds socketTimeout { 5000 };
    /** Timeout for receiving the complete body of a request. */
    Milliseconds bodyTimeout { 10000 };
};

using HttpHandler = std::function<HttpResponse(const HttpRequest&)>;

/** @brief A handler and the path and method it serves. Handlers are called by several threads. */
struct HttpRoute {
    HttpMethod method {};
    std::string path;
    HttpHandler handler;
};

/** @brief Why an HTTP server could not be started. */
enum class HttpServerError : unsigned char { AddressNotAvailable };

inline constexpr NameTable<HttpServerError, 1> httpServerErrorNames { {
    { HttpServerError::AddressNotAvailable, "address_not_available" },
} };
static_assert(isDense(httpServerErrorNames));

[[nodiscard]] constexpr std::string_view nameOf(HttpServerError error) noexcept
{
    return nameIn(httpServerErrorNames, error);
}

namespace internal {
    struct HttpServerParts;
} // namespace internal

/** @brief Serves routes over HTTP/1.1 with a bounded number of threads, until it is destroyed. */
class HttpServer {
public:
    [[nodiscard]] static Result<std::unique_ptr<HttpServer>, HttpServerError> create(
        const HttpServerSettings& settings, std::vector<HttpRoute> routes);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /** @return The address with the actual port. */
    [[nodiscard]] Endpoint address() const;

private:
    explicit HttpServer(std::unique_ptr<internal::HttpServerParts> parts);

    std::unique_ptr<internal::HttpServerParts> parts;
};

} // namespace zinnia::runtime
