#pragma once

#include "zinnia/core/bytes.hpp"
#include "zinnia/core/endpoint.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <sys/socket.h>
#include <vector>

namespace zinnia::runtime {

/** @brief A received datagram; the bytes are valid until the next call of `receive`. */
struct ReceivedDatagram {
    Endpoint source;
    BytesView bytes;
};

/** @brief Receives up to 64 datagrams in one system call. One receiver serves all sockets of a loop. */
class DatagramReceiver {
public:
    DatagramReceiver();
    ~DatagramReceiver();
    DatagramReceiver(const DatagramReceiver&) = delete;
    DatagramReceiver& operator=(const DatagramReceiver&) = delete;

    /** @return The datagrams that were waiting at the socket, at most one batch; empty if there was none. */
    [[nodiscard]] std::span<const ReceivedDatagram> receive(int descriptor);

    /** @return Number of `receive` errors other than an empty socket. */
    [[nodiscard]] std::uint64_t errors() const noexcept { return this->errorCount; }

private:
    struct Buffers;

    std::unique_ptr<Buffers> buffers;
    std::vector<ReceivedDatagram> received;
    std::uint64_t errorCount = 0;
};

/**
 * @brief Collects outgoing datagrams and sends them with one system call for each socket.
 *
 * Datagrams of one socket keep their order. A datagram that the kernel does not accept is dropped and counted:
 * the protocols above retransmit what must arrive.
 */
class DatagramSender {
public:
    /** @brief Adds a datagram made of a header and a payload; both are copied. */
    void add(int descriptor, const Endpoint& destination, BytesView header, BytesView payload);

    /** @brief Sends all added datagrams. */
    void flush();

    [[nodiscard]] std::uint64_t sent() const noexcept { return this->sentCount; }
    [[nodiscard]] std::uint64_t dropped() const noexcept { return this->droppedCount; }

private:
    struct Pending {
        int descriptor;
        Endpoint destination;
        std::size_t offset;
        std::size_t size;
    };

    void sendRun(std::span<const Pending> run);

    Bytes arena;
    std::vector<Pending> pending;
    std::uint64_t sentCount = 0;
    std::uint64_t droppedCount = 0;
};

} // namespace zinnia::runtime
