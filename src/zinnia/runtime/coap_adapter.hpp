#pragma once

#include "zinnia/entry/coap_codec.hpp"

namespace zinnia::runtime {

/** @brief The CoAP codec of `wire`, for entry nodes. */
class WireCoapCodec final : public entry::CoapCodec {
public:
    [[nodiscard]] std::optional<CoapMessage> decode(BytesView bytes) const override;
    [[nodiscard]] std::optional<Bytes> encode(const CoapMessage& message) const override;
};

} // namespace zinnia::runtime
