#pragma once

#include "zinnia/core/name_table.hpp"

namespace zinnia::runtime {

/** @brief Why a stream could not be used, or a request got no answer. */
enum class StreamError : unsigned char { CannotListen, QueueFull, TimedOut, ConnectionLost, Refused };

inline constexpr NameTable<StreamError, 5> streamErrorNames { {
    { StreamError::CannotListen, "cannot_listen" },
    { StreamError::QueueFull, "queue_full" },
    { StreamError::TimedOut, "timed_out" },
    { StreamError::ConnectionLost, "connection_lost" },
    { StreamError::Refused, "refused" },
} };
static_assert(isDense(streamErrorNames));

[[nodiscard]] constexpr std::string_view nameOf(StreamError error) noexcept { return nameIn(streamErrorNames, error); }

/** @brief Maximum size of a request's or answer's body; larger ones are reset. Unit: bytes. */
inline constexpr std::size_t maxStreamBodyBytes = (16U << 20U) + 4096;

} // namespace zinnia::runtime
