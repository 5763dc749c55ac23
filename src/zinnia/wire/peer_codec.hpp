#pragma once

#include "zinnia/core/result.hpp"
#include "zinnia/entry/peer_message.hpp"
#include "zinnia/wire/archive.hpp"
#include "zinnia/wire/envelope.hpp"

namespace zinnia::wire {

/** @return The message kind for the envelope of the message. */
[[nodiscard]] MessageKind kindOf(const entry::PeerMessage& message) noexcept;

/** @brief Appends the encoded body of a message between entry instances. */
void encodePeerBody(Bytes& target, const entry::PeerMessage& message);

/**
 * @brief Decodes the body of a message between entry instances.
 * @return The message, UnknownKind for a kind that entries do not exchange, or Malformed.
 *         Payloads in it refer to `body`.
 */
[[nodiscard]] Result<entry::PeerMessage, RefusalReason> decodePeerBody(MessageKind kind, BytesView body);

} // namespace zinnia::wire
