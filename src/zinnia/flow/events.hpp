#pragma once

#include "zinnia/config/configuration.hpp"
#include "zinnia/core/event.hpp"
#include "zinnia/core/reasons.hpp"
#include "zinnia/core/time.hpp"
#include "zinnia/flow/messages.hpp"
#include "zinnia/membership/view.hpp"
#include "zinnia/upstream/upstream_info.hpp"

#include <array>
#include <variant>
#include <vector>

namespace zinnia::flow {

/** @brief A packet from a caller, delivered by the fabric. */
struct CallerPacket {
    ServiceId service;
    Endpoint caller;
    BytesView payload;
};
/** @brief A packet from an upstream, received on a local port. */
struct UpstreamPacket {
    Endpoint upstream;
    std::uint16_t localPort {};
    BytesView payload;
};
struct ViewChanged {
    membership::View view;
};
struct ConfigurationChanged {
    config::Configuration configuration;
};
/** @brief All known upstreams of this zone; an upstream missing from the list counts as lost. */
struct UpstreamsChanged {
    std::vector<upstream::UpstreamInfo> upstreams;
};
struct PeerMessageReceived {
    InstanceId from;
    PeerMessage message;
};
struct Tick { };
/** @brief The process is about to stop: a packet that no other entry can take is refused as `Stopping`. */
struct Stop { };
using Input = std::variant<CallerPacket, UpstreamPacket, PeerMessageReceived, Tick, ViewChanged, ConfigurationChanged,
    UpstreamsChanged, Stop>;

struct SendToUpstream {
    UpstreamId upstream;
    Endpoint endpoint;
    /** Index of the local port; each active flow of the upstream at this owner has its own. */
    std::uint16_t localPort {};
    BytesView payload;
};
struct SendToCaller {
    ServiceId service;
    Endpoint caller;
    BytesView payload;
};
struct SendToPeer {
    InstanceId to;
    PeerMessage message;
};
/** @brief Hands a packet of a request service to the request layer of the bucket's owner. */
struct DeliverRequestPacket {
    ServiceId service;
    Endpoint caller;
    FlowKey key;
    UpstreamId upstream;
    /** Deputy of the bucket; id 0 if there is none. */
    InstanceId deputy;
    BytesView payload;
};
/** @brief Answers a packet with a refusal, because it cannot be served or forwarded. */
struct Refuse {
    ServiceId service;
    Endpoint caller;
    RefusalReason reason {};
    BytesView payload;
};
struct ReportEvent {
    Event event;
    InstanceId peer;
    std::uint64_t count {};
};
using Action = std::variant<SendToUpstream, SendToCaller, SendToPeer, DeliverRequestPacket, Refuse, ReportEvent>;
using Actions = std::vector<Action>;

/** @brief Protocol mechanisms. Tests and experiments disable them to show which failures they prevent. */
struct Policies {
    /** Replicate records of off-default flows to the deputy. */
    bool offDefaultRecords = true;
    /** Hand flow records over to the new owner of a bucket. */
    bool handover = true;
    /** After a takeover, keep using the previous owner's default until its flows must have expired. */
    bool inheritedDefault = true;
    /** Of two placements of the same flow, keep the one that began earlier. */
    bool keepEarlierPlacement = true;
    /** After a process pause, request the buckets' records from the deputies. */
    bool syncAfterFreeze = true;
};

struct Settings {
    /** Keys the flow hash; the same on every entry of a cluster. */
    std::uint64_t seed = 0;
    std::uint32_t maxFlows = 500000;
    std::uint8_t maxHops = 3;
    /** Upper bound on the number of buckets that default to an upstream, as a multiple of its fair share. */
    double defaultLoadBound = 1.02;
    /**
     * A new flow is placed off its default when the default upstream would exceed this multiple of its fair share
     * of flows. With 1.05, one of eight benchmark seeds exceeded an imbalance of 1.10, because the zones' shares
     * differ by up to 6%.
     */
    double flowLoadBound = 1.03;
    /** Replication backlog above which new flows stay on their default even if it is overloaded. Unit: records. */
    std::uint32_t maxSkipBacklog = 512;
    /**
     * Rate limit of this module: half of the target for all control traffic. Heartbeats need most of the other
     * half. Unit: bytes per second.
     */
    std::uint32_t controlBytesPerSecond = 2048;
    std::uint32_t controlBurstBytes = 16384;
    /** A change of a bucket's default waits at most this long for the acknowledgement of the deputy. */
    Milliseconds deputyAckTimeout { 2000 };
    /** The new owner takes the bucket over after this long without a message from the previous owner. */
    Milliseconds handoverTimeout { 10000 };
    Milliseconds retransmitInterval { 300 };
    Milliseconds handoverRequestInterval { 1000 };
    /** Retention of copies at a former deputy, in case the owner dies before the new deputy has received them. */
    Milliseconds copyRetention { 30000 };
    /** A record may arrive before the registration of its upstream; after this long the upstream counts as lost. */
    Milliseconds unregisteredUpstreamTimeout { 4000 };
    /**
     * Gap between two inputs that counts as a process pause. Equals the time after which entries of the same zone
     * declare a peer dead, so after a longer gap the deputies may have taken the buckets over.
     */
    Milliseconds freezeThreshold { 1000 };
    Policies policies;
};

struct Counters {
    std::uint64_t flowsCreated {};
    /** New flows that were not placed on the default upstream of their bucket. */
    std::uint64_t offDefault {};
    std::uint64_t expired {};
    /** Flows that were placed again because their upstream or zone was lost. */
    std::uint64_t broken {};
    /** Flows given up, that is, dropped because operators withdrew this zone. */
    std::uint64_t givenUp {};
    /** Flows that moved to another, usually earlier, placement of the same flow when a record was merged. */
    std::uint64_t movedByMerge {};
    std::uint64_t forwarded {};
    std::uint64_t controlMessages {};
    std::array<std::uint64_t, refusalReasonNames.size()> refused {};
};

} // namespace zinnia::flow
