#pragma once

#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/name_table.hpp"
#include "zinnia/core/result.hpp"

#include <Poco/Net/DatagramSocket.h>

namespace zinnia::runtime {

/** @brief Why a socket could not be opened. */
enum class SocketError : unsigned char { AddressInUse, AddressNotAvailable, TooManyOpenFiles, Other };

inline constexpr NameTable<SocketError, 4> socketErrorNames { {
    { SocketError::AddressInUse, "address_in_use" },
    { SocketError::AddressNotAvailable, "address_not_available" },
    { SocketError::TooManyOpenFiles, "too_many_open_files" },
    { SocketError::Other, "other" },
} };
static_assert(isDense(socketErrorNames));

[[nodiscard]] constexpr std::string_view nameOf(SocketError error) noexcept { return nameIn(socketErrorNames, error); }

/** @param number A value of `errno`. */
[[nodiscard]] SocketError socketErrorOf(int number) noexcept;

/** @brief A bound, non-blocking UDP socket over IPv4. Copies share the socket. */
class UdpSocket {
public:
    /**
     * @brief Opens and binds a socket.
     * @param local Address to bind; port 0 takes a free port.
     * @param bufferBytes Size of the kernel's receive and send buffers.
     */
    [[nodiscard]] static Result<UdpSocket, SocketError> bind(const Endpoint& local, int bufferBytes = 1 << 20);

    [[nodiscard]] int descriptor() const;
    [[nodiscard]] Endpoint localAddress() const;

private:
    UdpSocket() = default;

    Poco::Net::DatagramSocket socket;
};

} // namespace zinnia::runtime
