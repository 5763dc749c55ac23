#pragma once

#include "zinnia/core/name_table.hpp"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace zinnia::runtime {

enum class HttpMethod : unsigned char { Get, Post, Put, Delete };

inline constexpr NameTable<HttpMethod, 4> httpMethodNames { {
    { HttpMethod::Get, "GET" },
    { HttpMethod::Post, "POST" },
    { HttpMethod::Put, "PUT" },
    { HttpMethod::Delete, "DELETE" },
} };
static_assert(isDense(httpMethodNames));

namespace http_status {
    inline constexpr int ok = 200;
    inline constexpr int temporaryRedirect = 307;
    inline constexpr int badRequest = 400;
    inline constexpr int unauthorized = 401;
    inline constexpr int notFound = 404;
    inline constexpr int methodNotAllowed = 405;
    inline constexpr int requestTimeout = 408;
    inline constexpr int conflict = 409;
    inline constexpr int lengthRequired = 411;
    inline constexpr int contentTooLarge = 413;
    inline constexpr int pathTooLong = 414;
    inline constexpr int headerTooLarge = 431;
    inline constexpr int internalError = 500;
    inline constexpr int serviceUnavailable = 503;
} // namespace http_status

/** @brief A request to an HTTP server of this process. */
struct HttpRequest {
    HttpMethod method {};
    /** Path with its query, as received. */
    std::string path;
    /** Value of the Authorization header; empty if there is none. */
    std::string authorization;
    std::string body;
};

/** @brief An answer of an HTTP server of this process. */
struct HttpResponse {
    int status = http_status::ok;
    std::string contentType = "text/plain; charset=utf-8";
    std::string body;
    /** Value of the Location header; empty for none. */
    std::string location {};

    /** @return An answer with a JSON body. */
    [[nodiscard]] static HttpResponse json(int status, const nlohmann::json& body);
    [[nodiscard]] static HttpResponse text(int status, std::string body);
};

} // namespace zinnia::runtime
