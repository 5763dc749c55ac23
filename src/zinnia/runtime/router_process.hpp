#pragma once

#include "zinnia/feed/feed_client.hpp"
#include "zinnia/feed/state_transfer.hpp"
#include "zinnia/load/load_client.hpp"
#include "zinnia/routing/egress_queue.hpp"
#include "zinnia/routing/flow_router.hpp"
#include "zinnia/routing/link_pacer.hpp"
#include "zinnia/runtime/connection_check.hpp"
#include "zinnia/runtime/datagram_batch.hpp"
#include "zinnia/runtime/event_loop.hpp"
#include "zinnia/runtime/fleet_link.hpp"
#include "zinnia/runtime/http_listener.hpp"
#include "zinnia/runtime/metrics.hpp"
#include "zinnia/runtime/packet_format.hpp"
#include "zinnia/runtime/router_settings.hpp"
#include "zinnia/runtime/udp_socket.hpp"

#include <array>
#include <memory>
#include <unordered_map>

namespace zinnia::runtime {

/** @brief A configured address that a router could not open. */
struct RouterError {
    /** Settings key. */
    std::string_view key;
    Endpoint address;
    SocketError cause {};
};

/** @brief Makes the handler of the readiness endpoint; `isReady` returns the current state. */
using ReadinessApi = std::function<HttpRequestHandler(std::function<bool()> isReady)>;

/** @brief One router: forwards packets from callers to upstreams as decided by `routing::FlowRouter`. */
class RouterProcess {
public:
    /** @param format, loop Must outlive the process. */
    [[nodiscard]] static Result<std::unique_ptr<RouterProcess>, RouterError> create(const RouterSettings& settings,
        const PacketFormat& format, const ReadinessApi& api, Epoch epoch, EventLoop& loop);
    ~RouterProcess();
    RouterProcess(const RouterProcess&) = delete;
    RouterProcess& operator=(const RouterProcess&) = delete;

    /** @brief Applies reloaded settings; only the seeds can change. */
    void reload(const RouterSettings& changed);
    /** @brief Reports "not ready", keeps forwarding packets for the stop delay, then stops the loop. */
    void stop();

private:
    RouterProcess(const RouterSettings& settings, const PacketFormat& format, Epoch epoch, EventLoop& loop);

    [[nodiscard]] std::optional<RouterError> start(const ReadinessApi& api);
    /** @brief A packet held until the router has received routes and upstreams. */
    struct HeldPacket {
        Bytes bytes;
        routing::FlowPacket packet;
        TimePoint since;
    };

    void receivePackets();
    /** @brief Handles a received packet at once, or queues it until the outgoing link has room for it. */
    void accept(BytesView bytes);
    /** @brief Handles queued packets while the outgoing link has room, and schedules the next call. */
    void drainEgressQueue();
    void handle(BytesView bytes, const routing::FlowPacket& packet, TimePoint since);
    void handleHeldPackets();
    void sendReset(const routing::FlowPacket& packet);
    void sendResets();
    void logHealthChanges();
    void startHealthChecks();
    void reportUnreachable();
    void sendToControl(InstanceId control, const feed::FeedRequest& request);
    void sendRequests(std::vector<feed::OutgoingRequest> requests);
    void finishHealthCheck(routing::RoutingToken token, bool connected);
    void observe(BytesView bytes, const routing::FlowPacket& packet, const routing::RoutingDecision& decision);
    void report(const routing::FlowPacket& packet, const routing::RoutingDecision& decision);
    void receiveMessage(const wire::OpenedMessage& message);
    void receiveFeed(const wire::OpenedMessage& message);
    void receiveLoadReply(const wire::OpenedMessage& message);
    void receiveStatePart(const wire::OpenedMessage& message);
    /** @brief A control instance has a newer state than this router and has not sent it. */
    void requestState(feed::StateSubject subject, InstanceId control, std::uint64_t revision);
    void sendPartsRequest(const std::optional<feed::OutgoingPartsRequest>& request);
    void finishTransfer(feed::StateSubject subject, InstanceId control);
    void adopt(const feed::RoutingState& state, InstanceId control);
    [[nodiscard]] feed::StateTransfer& transferOf(feed::StateSubject subject)
    {
        return this->stateTransfers[static_cast<std::size_t>(subject)];
    }
    void reportLoad();
    /** @brief Keeps the bytes of an opening until it is released. */
    void keepWaiting(BytesView bytes, const routing::FlowPacket& packet, TimePoint now);
    /** @brief Removes waiting openings whose callers have given up. */
    void expireWaiting(TimePoint now);
    /** @brief Sends or refuses the openings that waited. */
    void handleReleased();
    /** @brief Logs that load information became stale, or is fresh again. */
    void checkLoadAge(TimePoint now);
    /** @brief Sends a packet to its upstream, or a reset to its caller. */
    void perform(BytesView bytes, const routing::FlowPacket& packet, const routing::RoutingDecision& decision);
    void pollControls();
    void checkOverdueAnswers();
    /** @brief Keeps an opening that was sent to an upstream until its answer is overdue. */
    void keepSent(BytesView bytes, const routing::FlowPacket& packet, TimePoint now);
    /** @brief Sends openings once more whose upstream has not answered. */
    void repeatOpenings(TimePoint now);
    void expireAndPublishGauges();
    /** @brief Publishes the counts of openings sent to other zones and of choices of avoided upstreams. */
    void publishPlacement();
    [[nodiscard]] bool isReady() const;

    RouterSettings settings;
    const PacketFormat* format;
    EventLoop* loop;
    MetricsRegistry metrics;
    wire::Sealer sealer;
    routing::FlowRouter router;
    feed::FeedClient feed;
    /** What is received in parts, by subject. */
    std::array<feed::StateTransfer, feed::stateSubjectNames.size()> stateTransfers {
        feed::StateTransfer { feed::StateSubject::Routing }, feed::StateTransfer { feed::StateSubject::RouteFacts }
    };
    load::LoadClient load;
    std::unique_ptr<UdpSocket> packets;
    std::vector<HeldPacket> heldQueue;
    /** Openings that were sent to an upstream a short time ago, by flow; its answer may be overdue. */
    std::unordered_map<routing::FlowId, HeldPacket, routing::FlowIdHash> sentOpenings;
    /** The openings that wait, by flow, with the time at which each last arrived; a retransmission replaces them. */
    std::unordered_map<routing::FlowId, HeldPacket, routing::FlowIdHash> waitingOpenings;
    /** Control instance whose replies are used. */
    InstanceId collector;
    bool hadFreshLoad {};
    routing::LinkPacer linkPacer;
    routing::EgressQueue egressQueue;
    bool drainScheduled {};
    ConnectionCheck connections;
    /** Upstreams that this router's own health checks found unreachable. */
    upstream::SuspicionTable suspicions;
    bool reportScheduled {};
    DatagramReceiver receiver;
    DatagramSender sender;
    std::unique_ptr<FleetLink> link;
    std::unique_ptr<HttpListener> readiness;
    std::unique_ptr<HttpListener> metricsServer;
    std::array<Counter*, routing::packetActionNames.size()> actionCounters {};
    std::array<Counter*, routing::routingReasonNames.size()> reasonCounters {};
    std::array<Counter*, 3> checkResults {};
    std::array<Counter*, routing::packetKindNames.size()> egressDrops {};
    /** Drops already added to `egressDrops`. */
    std::array<std::uint64_t, routing::packetKindNames.size()> countedDrops {};
    Counter* egressQueued {};
    Counter* egressReplaced {};
    LatencyHistogram* egressWaits {};
    LatencyHistogram* openingWaits {};
    Counter* loadReports {};
    Counter* malformed {};
    Counter* openings {};
    Counter* repeatedOpenings {};
    LatencyHistogram* handshakes {};
    LatencyHistogram* answers {};
    /** Flows reset together with the flow that revealed that their upstream is dead. */
    Counter* deadResets {};
    TimePoint lastTick;
    TimePoint lastOverdueCheck;
    bool stopping {};
    bool wasReady {};
    bool hadLeaderContact {};
};

} // namespace zinnia::runtime
