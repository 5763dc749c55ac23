#pragma once

#include "standin/control_port.hpp"
#include "standin/emulated_upstream.hpp"
#include "standin/registrar.hpp"
#include "standin/start_error.hpp"
#include "standin/upstream_settings.hpp"
#include "zinnia/runtime/datagram_batch.hpp"
#include "zinnia/runtime/udp_socket.hpp"

#include <memory>
#include <string>
#include <vector>

namespace zinnia::standin {

/** @brief Runs the emulated upstreams of one zone and service on UDP sockets. */
class UpstreamProcess {
public:
    /** @param loop Has to outlive the process. */
    [[nodiscard]] static Result<std::unique_ptr<UpstreamProcess>, StartError> create(
        runtime::EventLoop& loop, const UpstreamSettings& settings);

    ~UpstreamProcess();
    UpstreamProcess(const UpstreamProcess&) = delete;
    UpstreamProcess& operator=(const UpstreamProcess&) = delete;

    /** @brief Removes all registrations, for a planned stop. */
    void removeRegistrations();
    [[nodiscard]] ControlRoutes routes();

private:
    struct Member {
        EmulatedUpstream upstream;
        Registrar registrar;
        runtime::UdpSocket socket;
        bool registering = true;
    };

    using Fault = void (UpstreamProcess::*)(Member& member, const nlohmann::json& body);

    UpstreamProcess(runtime::EventLoop& loop, const UpstreamSettings& settings, runtime::UdpSocket registration);

    [[nodiscard]] bool addMember(const UpstreamSpec& spec, const UpstreamSettings& settings);
    void tick();
    void receive(Member& member);
    void receiveRegistrationAnswers();
    void send(int descriptor, const std::vector<Outgoing>& datagrams);
    [[nodiscard]] Announcement announcementOf(Member& member) const;

    [[nodiscard]] nlohmann::json counters();
    [[nodiscard]] nlohmann::json countersOf(Member& member);
    [[nodiscard]] nlohmann::json runs() const;
    [[nodiscard]] ControlResult setFault(const nlohmann::json& body);
    void cold(Member& member, const nlohmann::json& body);
    void drain(Member& member, const nlohmann::json& body);
    void undrain(Member& member, const nlohmann::json& body);
    void silence(Member& member, const nlohmann::json& body);
    void answer(Member& member, const nlohmann::json& body);
    void shed(Member& member, const nlohmann::json& body);
    void restart(Member& member, const nlohmann::json& body);
    void move(Member& member, const nlohmann::json& body);

    runtime::EventLoop* loop;
    std::string zone;
    runtime::UdpSocket registration;
    runtime::DatagramReceiver receiver;
    runtime::DatagramSender sender;
    std::vector<std::unique_ptr<Member>> members;
    runtime::TimerId timer;
};

} // namespace zinnia::standin
