#pragma once

#include "zinnia/core/endpoint.hpp"

#include <netinet/in.h>

namespace zinnia::runtime::internal {

[[nodiscard]] inline sockaddr_in socketAddressOf(const Endpoint& endpoint)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(endpoint.address);
    address.sin_port = htons(endpoint.port);
    return address;
}

[[nodiscard]] inline Endpoint endpointOf(const sockaddr_in& address)
{
    return { ntohl(address.sin_addr.s_addr), ntohs(address.sin_port) };
}

} // namespace zinnia::runtime::internal
