#include "zinnia/runtime/coap_adapter.hpp"

#include "zinnia/wire/coap_codec.hpp"

#include <utility>

namespace zinnia::runtime {

std::optional<CoapMessage> WireCoapCodec::decode(BytesView bytes) const
{
    auto message = wire::decodeCoap(bytes);
    if (!message)
        return std::nullopt;
    return std::move(message.value());
}

std::optional<Bytes> WireCoapCodec::encode(const CoapMessage& message) const
{
    auto bytes = wire::encodeCoap(message);
    if (!bytes)
        return std::nullopt;
    return std::move(bytes.value());
}

} // namespace zinnia::runtime
