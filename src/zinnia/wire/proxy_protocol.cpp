#include "zinnia/wire/proxy_protocol.hpp"

#include "zinnia/core/big_endian.hpp"

#include <algorithm>
#include <array>

namespace zinnia::wire {
namespace {

    constexpr std::array<std::uint8_t, 12> signature { 0x0D, 0x0A, 0x0D, 0x0A, 0x00, 0x0D, 0x0A, 0x51, 0x55, 0x49, 0x54,
        0x0A };
    constexpr std::size_t prefixBytes = 16;
    constexpr std::size_t addressBytes = 12;
    static_assert(prefixBytes + addressBytes == proxyHeaderBytes);
    constexpr std::uint8_t version = 2;
    constexpr std::uint8_t proxyCommand = 1;
    constexpr std::uint8_t udpOverIpv4 = 0x12;

} // namespace

void encodeProxyHeader(
    std::span<std::uint8_t, proxyHeaderBytes> target, const Endpoint& source, const Endpoint& destination) noexcept
{
    std::uint8_t* position = std::copy(signature.begin(), signature.end(), target.data());
    position[0] = (version << 4U) | proxyCommand;
    position[1] = udpOverIpv4;
    writeBigEndian(position + 2, static_cast<std::uint16_t>(addressBytes));
    writeBigEndian(position + 4, source.address);
    writeBigEndian(position + 8, destination.address);
    writeBigEndian(position + 12, source.port);
    writeBigEndian(position + 14, destination.port);
}

Result<ProxiedDatagram, ProxyError> decodeProxy(BytesView bytes) noexcept
{
    if (bytes.size() < prefixBytes)
        return ProxyError::Truncated;
    if (!std::equal(signature.begin(), signature.end(), bytes.begin()))
        return ProxyError::WrongSignature;
    const std::uint8_t* position = bytes.data() + signature.size();
    if (position[0] >> 4U != version)
        return ProxyError::WrongVersion;
    if ((position[0] & 0x0FU) != proxyCommand)
        return ProxyError::WrongCommand;
    if (position[1] != udpOverIpv4)
        return ProxyError::WrongFamily;
    const std::size_t length = readBigEndian<std::uint16_t>(position + 2);
    if (length < addressBytes || bytes.size() < prefixBytes + length)
        return ProxyError::Truncated;
    ProxiedDatagram datagram;
    datagram.source = { readBigEndian<std::uint32_t>(position + 4), readBigEndian<std::uint16_t>(position + 12) };
    datagram.destination = { readBigEndian<std::uint32_t>(position + 8), readBigEndian<std::uint16_t>(position + 14) };
    datagram.payload = bytes.subspan(prefixBytes + length);
    return datagram;
}

} // namespace zinnia::wire
