#pragma once

#include "zinnia/runtime/http_message.hpp"

#include <cstddef>
#include <string_view>

namespace zinnia::runtime {

/** @brief Bounds of a request head, which are checked before it is parsed. */
struct HttpHeadLimits {
    /** Unit: bytes. */
    std::size_t bytes = 16U << 10U;
    /** Request line and header fields. */
    std::size_t lines = 64;
    /** Path with its query. Unit: bytes. */
    std::size_t pathBytes = 1U << 10U;
};

/** @brief A parsed request head, or the status with which it is refused. */
struct HttpHead {
    int status = http_status::ok;
    HttpRequest request;
    std::size_t bodyBytes {};
    bool keepAlive {};
};

/** The end of a request head. */
inline constexpr std::string_view httpHeadEnd = "\r\n\r\n";

/** @param text The head with the empty line at its end. */
[[nodiscard]] HttpHead parseHttpHead(std::string_view text, const HttpHeadLimits& limits);

} // namespace zinnia::runtime
