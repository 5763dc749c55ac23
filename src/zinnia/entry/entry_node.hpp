#pragma once

#include "zinnia/core/name_table.hpp"
#include "zinnia/core/result.hpp"
#include "zinnia/entry/coap_codec.hpp"
#include "zinnia/entry/event.hpp"
#include "zinnia/entry/node_settings.hpp"
#include "zinnia/entry/ownership.hpp"
#include "zinnia/flow/flow_engine.hpp"
#include "zinnia/membership/membership.hpp"
#include "zinnia/request/home.hpp"
#include "zinnia/request/owner.hpp"
#include "zinnia/upstream/registry.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace zinnia::entry {

/** @brief Why a node could not be created. */
enum class NodeError : unsigned char { NoInstance, NoZone, NoEpoch, NoCluster };

inline constexpr NameTable<NodeError, 4> nodeErrorNames { {
    { NodeError::NoInstance, "no_instance" },
    { NodeError::NoZone, "no_zone" },
    { NodeError::NoEpoch, "no_epoch" },
    { NodeError::NoCluster, "no_cluster" },
} };
static_assert(isDense(nodeErrorNames));

[[nodiscard]] constexpr std::string_view nameOf(NodeError error) noexcept { return nameIn(nodeErrorNames, error); }

/**
 * @brief All decisions of one entry instance, without I/O.
 *
 * Composes membership, flows, the upstream registry and both sides of the request layer, and passes events
 * between them. An adapter decodes datagrams into events, calls `handle` and performs the actions in order.
 */
class EntryNode {
public:
    /** @param codec Has to outlive the node. */
    [[nodiscard]] static Result<std::unique_ptr<EntryNode>, NodeError> create(
        const NodeSettings& settings, const CoapCodec& codec, TimePoint now);

    /**
     * @brief Handles one event.
     * @param actions Receives the actions at its end. Their payloads refer to the payload of the event.
     */
    void handle(const Event& event, TimePoint now, Actions& actions);

    /** @brief Handles the packets of one receive call in order, at a lower cost than one `handle` call per packet. */
    void handleBatch(std::span<const FabricPacket> packets, TimePoint now, Actions& actions);

    [[nodiscard]] const config::Configuration& configuration() const noexcept { return *this->activeConfiguration; }
    [[nodiscard]] const membership::View& view() const noexcept { return this->membership.view(); }
    [[nodiscard]] const flow::FlowEngine& flows() const noexcept { return this->flowEngine; }
    [[nodiscard]] std::vector<upstream::UpstreamInfo> upstreams() const { return this->registry.upstreams(); }
    [[nodiscard]] const request::RequestHome& home() const noexcept { return this->requestHome; }
    [[nodiscard]] const request::RequestOwner& owner() const noexcept { return this->requestOwner; }

private:
    EntryNode(const NodeSettings& settings, const CoapCodec& codec, TimePoint now);

    // Event handlers, in entry_node.cpp
    void on(const FabricPacket& event);
    void on(const UpstreamPacket& event);
    void on(const RequestPortPacket& event);
    void on(const RegistrationPacket& event);
    void on(const PeerPacket& event);
    void on(const ConfigurationOffered& event);
    void on(const Tick& event);
    void on(const StopRequested& event);
    void deliver(InstanceId from, const membership::Heartbeat& message);
    void deliver(InstanceId from, const request::RecordRequest& message);
    void deliver(InstanceId from, const request::RecordRequestAck& message);
    void deliver(InstanceId from, const request::ObservationRecord& message);
    void deliver(InstanceId from, const request::ObservationRecordAck& message);
    void deliver(InstanceId from, const request::DispatchRequest& message);
    void deliver(InstanceId from, const request::RequestResult& message);
    void deliver(InstanceId from, const request::CancelRequest& message);
    void deliver(InstanceId from, const upstream::UpstreamUpdate& message);
    void deliverFlow(InstanceId from, flow::PeerMessage message);
    void deliverLocalMessages();
    void extendLease();
    void continueStop();

    // Actions of the components, in entry_node_actions.cpp
    void runMembership(const membership::Input& input);
    void runFlow(const flow::Input& input);
    void performFlowActions();
    void runRegistry(const upstream::RegistryEvent& event);
    void runOwner(const request::OwnerEvent& event);
    void runHome(const request::HomeEvent& event);
    void perform(const membership::SendHeartbeat& action);
    void perform(const membership::ViewChanged& action);
    void perform(const membership::FetchConfiguration& action);
    void perform(const membership::ReportEvent& action);
    void perform(const flow::SendToUpstream& action);
    void perform(const flow::SendToCaller& action);
    void perform(const flow::SendToPeer& action);
    void perform(const flow::DeliverRequestPacket& action);
    void perform(const flow::Refuse& action);
    void perform(const flow::ReportEvent& action);
    void perform(const upstream::AnswerRegistration& action);
    void perform(const upstream::SendUpdate& action);
    void perform(const upstream::UpstreamsChanged& action);
    void perform(const upstream::LogUpstream& action);
    void perform(const request::SendToCaller& action);
    void perform(const request::SendToPeer& action);
    void perform(const request::RequestEnded& action);
    void perform(const request::RequestRetried& action);
    void perform(const request::LogOwnerEvent& action);
    void perform(const request::SendToUpstream& action);
    void perform(const request::SendResult& action);
    void perform(const request::ReportHealthSignal& action);
    void perform(const request::LogHomeEvent& action);
    void sendToPeer(InstanceId to, PeerMessage message);
    void submitRequest(const flow::DeliverRequestPacket& packet, CoapMessage message);
    void answerUnknownOutcome(const flow::Refuse& refused, const CoapMessage& message);
    void assignHomes(bool afterViewChange);
    void updateOwnership();
    void updateUpstreams(const upstream::UpstreamsChanged& change);
    [[nodiscard]] bool isWithdrawn() const noexcept;
    [[nodiscard]] std::vector<UpstreamId> candidatesFor(const flow::DeliverRequestPacket& packet) const;
    [[nodiscard]] const config::Service* serviceById(ServiceId id) const noexcept;

    NodeSettings settings;
    const CoapCodec* codec;
    std::shared_ptr<const config::Configuration> activeConfiguration;
    std::unordered_map<Endpoint, ServiceId> servicesByAddress;
    membership::Membership membership;
    flow::FlowEngine flowEngine;
    upstream::UpstreamRegistry registry;
    request::RequestOwner requestOwner;
    request::RequestHome requestHome;
    OwnershipTracker ownership;
    membership::View lastView;
    /** Homes of the registered upstreams of this zone; instance 0 if an upstream has no home. */
    std::map<UpstreamId, request::PeerProcess> upstreamHomes;
    /** Upstreams whose home is this entry, and whether another entry may have been their home before. */
    std::map<UpstreamId, bool> homedUpstreams;
    /** Upstreams that accept new flows, by service; the candidates for retries. */
    std::map<ServiceId, std::vector<UpstreamId>> acceptingUpstreams;
    /** Messages that this node has sent to itself. */
    std::deque<PeerMessage> localMessages;
    /** True if operators have withdrawn this zone from service. */
    bool withdrawn = false;
    std::optional<TimePoint> stopStartedAt;
    bool stopped = false;

    // Valid only during `handle` and `handleBatch`.
    TimePoint now;
    Actions* outputActions = nullptr;
    flow::Actions flowActions;
    std::vector<flow::Input> flowBatch;
};

} // namespace zinnia::entry
