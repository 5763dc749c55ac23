#pragma once

#include "zinnia/core/bytes.hpp"
#include "zinnia/core/coap_message.hpp"
#include "zinnia/core/name_table.hpp"
#include "zinnia/core/result.hpp"

namespace zinnia::wire {

/** @brief Why a CoAP message could not be decoded or encoded. */
enum class CoapError : unsigned char { Truncated, WrongVersion, Malformed, TokenTooLong, InvalidOption, TooLarge };

inline constexpr NameTable<CoapError, 6> coapErrorNames { {
    { CoapError::Truncated, "truncated" },
    { CoapError::WrongVersion, "wrong_version" },
    { CoapError::Malformed, "malformed" },
    { CoapError::TokenTooLong, "token_too_long" },
    { CoapError::InvalidOption, "invalid_option" },
    { CoapError::TooLarge, "too_large" },
} };
static_assert(isDense(coapErrorNames));

[[nodiscard]] constexpr std::string_view nameOf(CoapError error) noexcept { return nameIn(coapErrorNames, error); }

/** @brief Maximum size of a CoAP message: one UDP datagram that also holds a proxy header. Unit: bytes. */
inline constexpr std::size_t maxCoapBytes = 65000;

/**
 * @brief Decodes a CoAP message from a UDP datagram (RFC 7252, section 3).
 * @return The message, or the reason why the bytes are not a valid CoAP message.
 */
[[nodiscard]] Result<CoapMessage, CoapError> decodeCoap(BytesView bytes);

/**
 * @brief Encodes a CoAP message as a UDP datagram.
 * @param message Its options must be sorted by number; `CoapMessage::addOption` keeps the order.
 * @return The bytes, or the reason why the message cannot be encoded.
 */
[[nodiscard]] Result<Bytes, CoapError> encodeCoap(const CoapMessage& message);

} // namespace zinnia::wire
