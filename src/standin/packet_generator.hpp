#pragma once

#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/time.hpp"
#include "zinnia/runtime/datagram_batch.hpp"
#include "zinnia/runtime/udp_socket.hpp"
#include "zinnia/wire/proxy_protocol.hpp"

#include <array>
#include <cstdint>
#include <vector>

namespace zinnia::standin {

struct PacketGeneratorSettings {
    /** Where the packets go: a relay, or an entry's address for the fabric. */
    Endpoint target;
    /** Address of the service in the PROXY protocol header. */
    Endpoint service;
    /** Number of callers in the headers. */
    std::uint32_t flows = 1000;
    std::size_t payloadBytes = 64;
    /** Maximum of unanswered packets; bounds the queues of all sockets on the path. */
    std::uint32_t inFlight = 256;
};

/** @brief Results of one run of the generator. */
struct PacketRate {
    std::uint64_t answers = 0;
    std::uint64_t lost = 0;
    Microseconds duration {};

    [[nodiscard]] double packetsPerSecond() const noexcept;
};

/**
 * @brief Sends packets of many flows with PROXY protocol headers, as the fabric does, as fast as answers return.
 *
 * Blocks the calling thread; meant for measurements only.
 */
class PacketGenerator {
public:
    [[nodiscard]] static Result<PacketGenerator, runtime::SocketError> create(
        const Endpoint& local, const PacketGeneratorSettings& settings);

    /** @brief Runs for the given duration. @param clock Real time. */
    [[nodiscard]] PacketRate run(const Clock& clock, Microseconds duration);

private:
    using Header = std::array<std::uint8_t, wire::proxyHeaderBytes>;

    PacketGenerator(runtime::UdpSocket socket, const PacketGeneratorSettings& settings);

    PacketGeneratorSettings settings;
    runtime::UdpSocket socket;
    std::vector<Header> headers;
    Bytes payload;
    std::size_t nextFlow = 0;
};

/** @brief Waits until the descriptor is readable or the timeout expires. */
void waitReadable(int descriptor, Milliseconds timeout);

} // namespace zinnia::standin
