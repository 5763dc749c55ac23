#pragma once

#include "zinnia/core/name_table.hpp"

#include <array>
#include <cstddef>

namespace zinnia {

/**
 * @brief What an input from outside a process may cost it.
 *
 * Anyone who reaches an address can send to it, so each input is bounded before it is stored or parsed, and what is
 * over a bound is refused at once with the reason. Five bounds hold.
 * - Bytes: each kind of input has its own. A listener knows the kind from the head of a request, and takes no more of a
 *   body than that kind allows.
 * - Depth and values: the brackets and separators of JSON are counted before a document is built from it. A document
 *   takes up to about 150 bytes for each value, whatever its size in the request.
 * - Fields: heads have a limited number of lines, and a path a limited length.
 * - Inputs at once: connections are limited in number; a new one takes the place of the one that is idle for longest.
 * - Sum: the bodies, and the answers that are still to be sent, of all connections of a listener share one
 * `ByteBudget`. The same holds for the streams between our own processes. What has been unfinished for longest makes
 * room. Changes that wait for their commit are bounded in sum by `consensus::Settings::maxPendingBytes`.
 */
enum class InputKind : unsigned char {
    /** A request without a body, or with a body that means nothing. */
    Order,
    /** The announcement of an upstream. */
    Heartbeat,
    /** A complete set of routes. */
    Configuration,
    /** A command to the operator interface of `zinnia-control`. */
    Command,
};

inline constexpr NameTable<InputKind, 4> inputKindNames { {
    { InputKind::Order, "order" },
    { InputKind::Heartbeat, "heartbeat" },
    { InputKind::Configuration, "configuration" },
    { InputKind::Command, "command" },
} };
static_assert(isDense(inputKindNames));

[[nodiscard]] constexpr std::string_view nameOf(InputKind kind) noexcept { return nameIn(inputKindNames, kind); }

/** @brief Limits of one input. */
struct InputLimits {
    /** Size of the body. Unit: bytes. */
    std::size_t bytes {};
    /** Nesting of its JSON objects and arrays. */
    std::size_t depth {};
    /** Number of its JSON values, keys included. */
    std::size_t values {};
};

/** A configuration of 5,000 routes has about 1.3 MB and 150,000 values. */
inline constexpr std::array<InputLimits, inputKindNames.size()> inputLimits { {
    { 1U << 10U, 1, 1 },
    { 16U << 10U, 8, 256 },
    { 4U << 20U, 8, 400'000 },
    { 1U << 20U, 32, 100'000 },
} };

[[nodiscard]] constexpr const InputLimits& limitsOf(InputKind kind) noexcept
{
    return inputLimits[static_cast<std::size_t>(kind)];
}

} // namespace zinnia
