#pragma once

#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/result.hpp"
#include "zinnia/core/time.hpp"
#include "zinnia/runtime/http_message.hpp"

namespace zinnia::runtime {

/** @brief Why a request got no answer. */
enum class HttpClientError : unsigned char {
    /** No connection: the server has not received the request. */
    Unreachable,
    /** The connection failed after it was established: the server may have acted on the request. */
    AnswerLost,
};

inline constexpr NameTable<HttpClientError, 2> httpClientErrorNames { {
    { HttpClientError::Unreachable, "unreachable" },
    { HttpClientError::AnswerLost, "answer_lost" },
} };
static_assert(isDense(httpClientErrorNames));

[[nodiscard]] constexpr std::string_view nameOf(HttpClientError error) noexcept
{
    return nameIn(httpClientErrorNames, error);
}

/** @brief Timeouts of a request. */
struct HttpClientSettings {
    Milliseconds connectTimeout { 1000 };
    /** Longer than the 5 s that the operator interface waits for the result of a command. */
    Milliseconds answerTimeout { 7000 };
    /** For GET, which is answered at once: a paused instance must not delay the attempt at the next one for long. */
    Milliseconds readTimeout { 2000 };
};

/** @brief Sends one request over a new connection and reads the complete answer. Redirects are not followed. */
[[nodiscard]] Result<HttpResponse, HttpClientError> sendHttp(
    const Endpoint& server, const HttpRequest& request, const HttpClientSettings& settings);

} // namespace zinnia::runtime
