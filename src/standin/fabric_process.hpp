#pragma once

#include "standin/control_port.hpp"
#include "standin/delay_line.hpp"
#include "standin/fabric_settings.hpp"
#include "standin/start_error.hpp"
#include "standin/stream_relay.hpp"
#include "zinnia/runtime/udp_socket.hpp"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace zinnia::standin {

/** @brief Runs the fabric: sockets, with `EntryChoice`, `LinkTable` and `DelayLine` to forward between them. */
class FabricProcess {
public:
    /** @param loop Has to outlive the process. */
    [[nodiscard]] static Result<std::unique_ptr<FabricProcess>, StartError> create(
        runtime::EventLoop& loop, const FabricSettings& settings);

    ~FabricProcess();
    FabricProcess(const FabricProcess&) = delete;
    FabricProcess& operator=(const FabricProcess&) = delete;

    [[nodiscard]] nlohmann::json counters() const;
    [[nodiscard]] ControlRoutes routes();

private:
    struct ServicePort {
        FabricService service;
        runtime::UdpSocket socket;
        std::uint64_t fromCallers = 0;
        std::uint64_t toCallers = 0;
    };
    struct EntryPort {
        Endpoint entry;
        runtime::UdpSocket socket;
    };
    struct RelayPort {
        FabricRelay relay;
        runtime::UdpSocket socket;
    };

    FabricProcess(runtime::EventLoop& loop, const FabricSettings& settings);

    [[nodiscard]] bool openSockets(const FabricSettings& settings);
    [[nodiscard]] bool watch(
        const runtime::UdpSocket& socket, std::function<void()> onReadable, std::function<void()> onError);
    void fromCallers(ServicePort& port);
    void fromEntries(int descriptor);
    void toCaller(const Endpoint& entry, BytesView bytes);
    void entryRefused(const EntryPort& port);
    void relay(const RelayPort& port);
    [[nodiscard]] std::string zoneOf(const Endpoint& sender) const;
    [[nodiscard]] ControlResult setLink(const nlohmann::json& body);
    [[nodiscard]] ControlResult setPartitioned(const nlohmann::json& body, bool partitioned);

    runtime::EventLoop* loop;
    runtime::DatagramReceiver receiver;
    DelayLine delayLine;
    EntryChoice choice;
    LinkTable links;
    std::vector<ZoneNetwork> networks;
    std::vector<std::unique_ptr<ServicePort>> services;
    std::vector<std::unique_ptr<EntryPort>> entries;
    std::vector<std::unique_ptr<RelayPort>> relays;
    std::vector<std::unique_ptr<StreamRelay>> streamRelays;
    std::vector<runtime::UdpSocket> watched;
    std::optional<runtime::UdpSocket> answers;
    std::map<std::string, TimePoint> lastPacketToZone;
    std::uint64_t withoutEntry = 0;
    std::uint64_t malformed = 0;
};

} // namespace zinnia::standin
