#pragma once

#include "zinnia/core/bytes.hpp"
#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/name_table.hpp"
#include "zinnia/core/result.hpp"

#include <cstddef>
#include <cstdint>
#include <span>

namespace zinnia::wire {

/** @brief Why a datagram does not start with a PROXY protocol version 2 header for UDP over IPv4. */
enum class ProxyError : unsigned char { Truncated, WrongSignature, WrongVersion, WrongCommand, WrongFamily };

inline constexpr NameTable<ProxyError, 5> proxyErrorNames { {
    { ProxyError::Truncated, "truncated" },
    { ProxyError::WrongSignature, "wrong_signature" },
    { ProxyError::WrongVersion, "wrong_version" },
    { ProxyError::WrongCommand, "wrong_command" },
    { ProxyError::WrongFamily, "wrong_family" },
} };
static_assert(isDense(proxyErrorNames));

[[nodiscard]] constexpr std::string_view nameOf(ProxyError error) noexcept { return nameIn(proxyErrorNames, error); }

/** @brief Size of the header that `encodeProxyHeader` writes. Unit: bytes. */
inline constexpr std::size_t proxyHeaderBytes = 28;

/** @brief A datagram without its header, and the addresses from it. `payload` refers to the decoded bytes. */
struct ProxiedDatagram {
    Endpoint source;
    Endpoint destination;
    BytesView payload;
};

/** @brief Encodes the header, which precedes the datagram in the same buffer. */
void encodeProxyHeader(
    std::span<std::uint8_t, proxyHeaderBytes> target, const Endpoint& source, const Endpoint& destination) noexcept;

/**
 * @brief Decodes the header in front of a datagram. Type-length-value fields after the addresses are skipped.
 * @return Addresses and datagram, or the reason why the bytes do not start with such a header.
 */
[[nodiscard]] Result<ProxiedDatagram, ProxyError> decodeProxy(BytesView bytes) noexcept;

} // namespace zinnia::wire
