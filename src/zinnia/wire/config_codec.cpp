#include "zinnia/wire/config_codec.hpp"

#include "zinnia/core/hash.hpp"

namespace zinnia::wire {

Bytes encodeCommand(const config::CommandRequest& request) { return encode(request); }

Result<config::CommandRequest, DecodeError> decodeCommand(BytesView bytes)
{
    return decode<config::CommandRequest>(bytes);
}

std::uint64_t commandDigest(const config::CommandRequest& request)
{
    constexpr std::uint64_t domain = 0x636D64; // separates command digests from the other uses of the hash
    const Bytes bytes = encode(request.command);
    const std::string_view text { reinterpret_cast<const char*>(bytes.data()), bytes.size() };
    return hashOfText(domain + request.baseVersion.value, text);
}

Bytes encodeState(const config::ConfigState& state) { return encode(state); }

Result<config::ConfigState, DecodeError> decodeState(BytesView bytes) { return decode<config::ConfigState>(bytes); }

Bytes encodeConfiguration(const config::Configuration& configuration) { return encode(configuration); }

Result<config::Configuration, DecodeError> decodeConfiguration(BytesView bytes)
{
    return decode<config::Configuration>(bytes);
}

} // namespace zinnia::wire
