#pragma once

#include "zinnia/core/result.hpp"
#include "zinnia/entry/entry_node.hpp"
#include "zinnia/runtime/coap_adapter.hpp"
#include "zinnia/runtime/datagram_batch.hpp"
#include "zinnia/runtime/entry_settings.hpp"
#include "zinnia/runtime/local_ports.hpp"
#include "zinnia/runtime/metrics.hpp"
#include "zinnia/runtime/poller.hpp"
#include "zinnia/runtime/udp_socket.hpp"
#include "zinnia/wire/envelope.hpp"

#include <functional>
#include <memory>
#include <unordered_map>

namespace zinnia::runtime {

/** @brief A listening address that an entry instance could not open. */
struct ListenError {
    std::string_view key;
    Endpoint address;
    SocketError cause {};
};

/**
 * @brief Connects an entry node to its sockets.
 *
 * It decodes datagrams into events, passes them to the node and performs the actions. All work is done on the
 * poller's thread.
 */
class EntryAdapter {
public:
    /** @brief Callbacks for actions that the adapter does not perform itself. */
    struct Hooks {
        /** Fetches a newer configuration from this entry instance. */
        std::function<void(InstanceId, Endpoint)> fetchConfiguration;
        /** A configuration became active. */
        std::function<void(const config::Configuration&)> adopted;
        /** The graceful shutdown is complete. */
        std::function<void()> stopped;
    };

    /** @param epoch Start epoch of this process; must be higher than at the previous start of the instance. */
    [[nodiscard]] static Result<std::unique_ptr<EntryAdapter>, ListenError> create(
        const EntrySettings& settings, Epoch epoch, Poller& poller, MetricsRegistry& metrics, Hooks hooks);
    ~EntryAdapter();
    EntryAdapter(const EntryAdapter&) = delete;
    EntryAdapter& operator=(const EntryAdapter&) = delete;

    /** @brief Offers a configuration to the node, which adopts it if it is newer. */
    void offer(config::Configuration configuration);
    /** @brief Begins a graceful shutdown. */
    void stop();

    [[nodiscard]] const entry::EntryNode& node() const noexcept { return *this->entryNode; }
    /** @brief Publishes gauges, such as the number of flows. */
    void publishGauges();

private:
    struct Sockets {
        UdpSocket fabric;
        UdpSocket peer;
        UdpSocket registration;
        UdpSocket request;
    };
    using Receive = void (EntryAdapter::*)(const ReceivedDatagram&);

    EntryAdapter(const EntrySettings& settings, Epoch epoch, Poller& poller, MetricsRegistry& metrics, Hooks hooks,
        Sockets sockets);

    void listen(const UdpSocket& socket, Receive receive);
    void receiveFromFabric(const ReceivedDatagram& datagram);
    void handleFabricBatch();
    void receiveFromPeer(const ReceivedDatagram& datagram);
    void receiveRegistration(const ReceivedDatagram& datagram);
    void receiveFromRequestPort(const ReceivedDatagram& datagram);
    void receiveFromUpstream(std::uint16_t localPort);
    void tick();
    void handle(const entry::Event& event);
    void performActions();
    void refuse(RefusalReason reason, const Endpoint& source);
    void flush();

    void perform(const entry::SendToCaller& action);
    void perform(const entry::SendToUpstream& action);
    void perform(const entry::SendRequestPacket& action);
    void perform(const entry::SendRegistrationAnswer& action);
    void perform(const entry::SendToPeer& action);
    void perform(const entry::FetchConfiguration& action);
    void perform(const entry::Report& action);
    void perform(const entry::CountRefusal& action);
    void perform(const entry::CountRetry& action);
    void perform(const entry::Adopted& action);
    void perform(const entry::Stopped& action);

    EntrySettings settings;
    Poller* poller;
    MetricsRegistry* metrics;
    Hooks hooks;
    Sockets sockets;
    LocalPorts localPorts;
    WireCoapCodec codec;
    wire::Sealer sealer;
    wire::Opener opener;
    std::unique_ptr<entry::EntryNode> entryNode;
    DatagramReceiver receiver;
    DatagramSender sender;
    entry::Actions actions;
    /** Packets received by the current system call. */
    std::vector<entry::FabricPacket> fabricBatch;
    Bytes body;
    std::unordered_map<InstanceId, Endpoint> peerAddresses;
    std::unordered_map<InstanceId, Endpoint> streamAddresses;
    TimerId timer;
    Counter* packetsIn;
    Counter* packetsToUpstreams;
    Counter* packetsToCallers;
    Counter* controlBytes;
    Counter* forwardBytes;
};

} // namespace zinnia::runtime
