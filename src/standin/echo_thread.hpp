#pragma once

#include "standin/registrar.hpp"
#include "zinnia/runtime/udp_socket.hpp"

#include <atomic>
#include <optional>
#include <thread>

namespace zinnia::standin {

/** @brief Sends every datagram back to its sender, on its own thread; serves as the upstream in measurements. */
class EchoThread {
public:
    /** @brief Registration of the echo with an entry, for a measurement through that entry. */
    struct Registration {
        Registrar::Settings registrar;
        Announcement announcement;
    };

    /** @param socket Has to be bound; the announcement's address is replaced by its address. */
    explicit EchoThread(runtime::UdpSocket socket, std::optional<Registration> registration = {});
    ~EchoThread();
    EchoThread(const EchoThread&) = delete;
    EchoThread& operator=(const EchoThread&) = delete;

    /** @return True if an entry has accepted the registration. */
    [[nodiscard]] bool isRegistered() const noexcept { return this->registered.load(); }

private:
    void run(std::optional<Registration> registration);

    runtime::UdpSocket socket;
    std::atomic<bool> stopping { false };
    std::atomic<bool> registered { false };
    std::thread thread;
};

} // namespace zinnia::standin
