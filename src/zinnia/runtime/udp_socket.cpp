#include "zinnia/runtime/udp_socket.hpp"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <cerrno>

namespace zinnia::runtime {

SocketError socketErrorOf(int number) noexcept
{
    switch (number) {
    case EADDRINUSE:
        return SocketError::AddressInUse;
    case EADDRNOTAVAIL:
        return SocketError::AddressNotAvailable;
    case EMFILE:
    case ENFILE:
        return SocketError::TooManyOpenFiles;
    default:
        return SocketError::Other;
    }
}

Result<UdpSocket, SocketError> UdpSocket::bind(const Endpoint& local, int bufferBytes)
{
    try {
        UdpSocket opened;
        opened.socket = Poco::Net::DatagramSocket { Poco::Net::SocketAddress::IPv4 };
        opened.socket.bind(Poco::Net::SocketAddress { local.toString() }, false);
        opened.socket.setBlocking(false);
        opened.socket.setReceiveBufferSize(bufferBytes);
        opened.socket.setSendBufferSize(bufferBytes);
        return opened;
    } catch (const Poco::Net::NetException& error) {
        return socketErrorOf(error.code());
    } catch (const Poco::IOException& error) {
        return socketErrorOf(error.code());
    }
}

int UdpSocket::descriptor() const { return this->socket.impl()->sockfd(); }

Endpoint UdpSocket::localAddress() const
{
    const auto parsed = Endpoint::parse(this->socket.address().toString());
    return parsed.value_or(Endpoint {});
}

} // namespace zinnia::runtime
