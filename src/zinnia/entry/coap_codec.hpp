#pragma once

#include "zinnia/core/bytes.hpp"
#include "zinnia/core/coap_message.hpp"

#include <optional>

namespace zinnia::entry {

/** @brief Decodes and encodes CoAP datagrams; an interface, so that a node does not depend on an implementation. */
class CoapCodec {
public:
    virtual ~CoapCodec() = default;
    /** @return The message, or nothing if the bytes are not a valid CoAP message. */
    [[nodiscard]] virtual std::optional<CoapMessage> decode(BytesView bytes) const = 0;
    /** @return The datagram, or nothing if the message is too large or not valid. */
    [[nodiscard]] virtual std::optional<Bytes> encode(const CoapMessage& message) const = 0;

protected:
    CoapCodec() = default;
    CoapCodec(const CoapCodec&) = default;
    CoapCodec& operator=(const CoapCodec&) = default;
};

} // namespace zinnia::entry
