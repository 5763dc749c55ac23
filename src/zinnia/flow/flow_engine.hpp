#pragma once

#include "zinnia/flow/events.hpp"
#include "zinnia/flow/flow_table.hpp"
#include "zinnia/flow/placement.hpp"
#include "zinnia/flow/record_stream.hpp"
#include "zinnia/flow/upstream_set.hpp"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace zinnia::flow {

namespace internal {

    /** @brief What an entry knows of one bucket. Local owner and deputy are those of the own zone. */
    struct Bucket {
        ZoneId zone;
        /** Owner in the zone of the bucket; it takes the bucket's new flows. */
        InstanceId globalOwner;
        BucketAssignment local;
        /** Previous owner that has not finished the handover; id 0 if there is none. */
        InstanceId waitFrom;
        TimePoint waitDeadline;
        /** Default of flows without a record. */
        UpstreamId current;
        /** Default that the owner told this entry while it was the deputy. */
        UpstreamId told;
        /** The owner that did, since this entry became its deputy: it has then sent all off-default records. */
        InstanceId toldBy;
        /** Next default, which the deputy has not acknowledged yet. */
        UpstreamId pending;
        TimePoint pendingSince;
        std::uint64_t pendingItem {};
        /** Until then an unknown flow may be an old one on the inherited default. */
        TimePoint inheritedUntil;
        /** Entry whose remaining records end that time early. */
        InstanceId inheritedFrom;
        /** Receiver of the bucket, and the item that ends the handover. */
        InstanceId handTo;
        std::uint64_t handItem {};
        /** Entry that still owed the bucket to this one when it was handed over. */
        InstanceId handNext;
        /** When copies are dropped that this entry holds neither as owner nor as deputy. */
        std::optional<TimePoint> dropCopiesAt;
    };

    struct ServiceState {
        config::Service config;
        bool present = true;
        std::vector<Bucket> buckets;
        /** Default of each bucket that follows from the known upstreams. */
        std::vector<UpstreamId> targets;
        std::uint32_t flows = 0;
        double weights = 0.0;
        std::uint32_t candidates = 0;
        /** New flows in the current and in the last window of 1 s. */
        std::uint32_t fresh = 0;
        std::uint32_t freshBefore = 0;
    };

} // namespace internal

/**
 * @brief Places flows on upstreams at one entry instance.
 *
 * See docs/modules/flow.md for the protocol between the engines of a cluster.
 */
class FlowEngine {
public:
    /** @param epoch Start of this process; grows with each restart. */
    FlowEngine(InstanceId self, ZoneId zone, Epoch epoch, TimePoint now, const Settings& settings = {});

    /**
     * @brief Handles one event.
     * @param actions Actions are appended. Payloads in them refer to the payload of the input.
     */
    void handle(const Input& input, TimePoint now, Actions& actions);

    /**
     * @brief Handles a batch, such as the datagrams of one system call, in order.
     *
     * The same as `handle` for each, but the table is loaded ahead for a group of packets, so that their
     * cache misses overlap.
     */
    void handleBatch(std::span<const Input> inputs, TimePoint now, Actions& actions);

    [[nodiscard]] const Counters& counters() const noexcept { return this->counts; }
    [[nodiscard]] std::uint32_t flows() const noexcept { return this->table.size(); }
    /** @return Live flows on an upstream at this owner. */
    [[nodiscard]] std::uint32_t flowsOn(UpstreamId upstream) const noexcept;
    /** @return Whether every handover and replication that this entry has started is acknowledged. */
    [[nodiscard]] bool isInSync() const noexcept;
    [[nodiscard]] std::size_t memoryBytes() const noexcept;
    /** @return Flow key of a caller. */
    [[nodiscard]] FlowKey keyOf(ServiceId service, const Endpoint& caller) const noexcept
    {
        return flowKeyOf(this->settings.seed, service, caller);
    }

private:
    using Bucket = internal::Bucket;
    using ServiceState = internal::ServiceState;

    struct Packet {
        std::uint8_t service;
        BucketIndex bucket;
        FlowKey key;
        Endpoint caller;
        std::uint8_t hops;
        BytesView payload;
    };
    struct StreamKey {
        InstanceId peer;
        bool handover;
        [[nodiscard]] friend auto operator<=>(const StreamKey&, const StreamKey&) = default;
    };

    // flow_engine.cpp: events and packets
    void checkFreeze(TimePoint now);
    void on(const CallerPacket& input, TimePoint now, Actions& actions);
    void enter(const CallerPacket& input, FlowKey key, TimePoint now, Actions& actions);
    void on(const UpstreamPacket& input, TimePoint now, Actions& actions);
    void on(const PeerMessageReceived& input, TimePoint now, Actions& actions);
    void on(const Tick& input, TimePoint now, Actions& actions);
    void on(const ViewChanged& input, TimePoint now, Actions& actions);
    void on(const ConfigurationChanged& input, TimePoint now, Actions& actions);
    void on(const UpstreamsChanged& input, TimePoint now, Actions& actions);
    void on(const Stop& input, TimePoint now, Actions& actions);
    void route(const Packet& packet, ForwardMode mode, TimePoint now, Actions& actions);
    void serve(const Packet& packet, ForwardMode mode, TimePoint now, Actions& actions);
    void forward(const Packet& packet, InstanceId to, ForwardMode mode, Actions& actions);
    void refuse(const Packet& packet, RefusalReason reason, Actions& actions);
    void transmit(const Packet& packet, FlowIndex index, TimePoint now, Actions& actions);

    // flow_engine_placing.cpp: new flows, records and expiry
    void placeNew(const Packet& packet, TimePoint now, Actions& actions);
    [[nodiscard]] SlotIndex chooseUpstream(const Packet& packet, TimePoint now, RefusalReason& reason);
    [[nodiscard]] bool hasRoom(SlotIndex slot) const noexcept;
    [[nodiscard]] bool overFairShare(const ServiceState& state, SlotIndex slot) const noexcept;
    [[nodiscard]] bool warmingLimitReached(const ServiceState& state, SlotIndex slot) const noexcept;
    /** @return Whether packets of the flow may be sent to its upstream from here. */
    [[nodiscard]] bool reachable(const Flow& flow) const noexcept
    {
        if (flow.elsewhere())
            return false;
        // A record of another entry may name an upstream that turns out to belong to another service.
        const UpstreamSlot& slot = this->upstreams[flow.upstream];
        return slot.sendable && slot.service == flow.service;
    }
    bool makeLive(FlowIndex index);
    void setUpstream(FlowIndex index, SlotIndex slot);
    void unplace(FlowIndex index);
    void remove(FlowIndex index);
    void merge(const FlowRecord& record, std::uint8_t service, bool authoritative, TimePoint now);
    [[nodiscard]] bool offDefault(const Flow& flow, const Bucket& bucket) const noexcept;
    [[nodiscard]] FlowRecord recordOf(const Flow& flow, TimePoint now) const;
    void expire(TimePoint now);
    void refreshUpstreams(TimePoint now);
    [[nodiscard]] std::uint32_t tableTime(TimePoint now) const noexcept;
    [[nodiscard]] std::uint32_t idleOf(const ServiceState& state) const noexcept;

    // flow_engine_buckets.cpp: views, defaults and takeover
    void replan(TimePoint now, Actions& actions);
    void gain(ServiceState& state, std::uint8_t service, BucketIndex bucket, const Bucket& old, TimePoint now);
    void takeOver(ServiceState& state, std::uint8_t service, BucketIndex bucket, bool unknownFlows, TimePoint now);
    void recover(ServiceState& state, std::uint8_t service, BucketIndex bucket, TimePoint now);
    void startReplication(ServiceState& state, std::uint8_t service, BucketIndex bucket);
    void advance(ServiceState& state, std::uint8_t service, BucketIndex bucket, TimePoint now, Actions& actions);
    void replicate(std::uint8_t service, BucketIndex bucket, FlowKey key, StreamItemKind kind);
    void dropCopies(std::uint8_t service, BucketIndex bucket);
    void giveUp(ZoneId zone, Actions& actions);
    void advanceAll(TimePoint now, Actions& actions);
    void waitFor(Bucket& bucket, InstanceId previous, TimePoint now);
    void deferDefault(std::uint8_t service, BucketIndex bucket, UpstreamId upstream);
    void pushDefaults();
    void forgetStreams();
    [[nodiscard]] bool alive(InstanceId id) const noexcept;
    [[nodiscard]] bool survived(InstanceId id) const noexcept;
    [[nodiscard]] bool replicates(const Bucket& bucket) const noexcept;
    [[nodiscard]] bool inService(ZoneId zone) const noexcept;

    // flow_engine_handover.cpp: messages between entries
    void onMessage(InstanceId from, const ForwardPacket& message, TimePoint now, Actions& actions);
    void onMessage(InstanceId from, const ReplicateFlows& message, TimePoint now, Actions& actions);
    void onMessage(InstanceId from, const ReplicateAck& message, TimePoint now, Actions& actions);
    void onMessage(InstanceId from, const HandoverRequest& message, TimePoint now, Actions& actions);
    void onMessage(InstanceId from, const HandoverRecords& message, TimePoint now, Actions& actions);
    void onMessage(InstanceId from, const HandoverDone& message, TimePoint now, Actions& actions);
    void onMessage(InstanceId from, const HandoverAck& message, TimePoint now, Actions& actions);
    void handOver(
        std::uint8_t service, const std::vector<BucketIndex>& buckets, InstanceId to, bool acrossZones, TimePoint now);
    void finishWait(std::uint8_t service, BucketIndex bucket, InstanceId from, const DoneGroup& group, TimePoint now);
    void requestBuckets(TimePoint now, Actions& actions);
    void flush(TimePoint now, Actions& actions);
    bool flushStream(const StreamKey& key, RecordStream& stream, TimePoint now, Actions& actions);
    void send(InstanceId to, PeerMessage message, std::size_t bytes, Actions& actions);
    [[nodiscard]] bool handing(const Bucket& bucket) const
    {
        return bucket.handTo.value != 0 && this->handoverOpen(bucket);
    }
    [[nodiscard]] bool handoverOpen(const Bucket& bucket) const;
    [[nodiscard]] std::optional<std::uint8_t> serviceIndex(ServiceId service) const noexcept;

    InstanceId self;
    ZoneId zone;
    Settings settings;
    TimePoint started;
    TimePoint lastEvent;
    TimePoint windowStart;
    TimePoint nextRequest;
    bool stopping = false;
    bool reportedFull = false;
    std::uint64_t nextSequence;
    std::uint32_t zoneEntries = 1;
    std::uint32_t zoneRank = 0;
    Counters counts;
    config::Configuration configuration;
    membership::View view;
    membership::View previousView;
    std::vector<std::uint8_t> serviceIndices;
    std::vector<ServiceState> services;
    UpstreamSet upstreams;
    FlowTable table;
    ControlBudget budget;
    std::map<StreamKey, RecordStream> streams;
    std::vector<FlowIndex> due;
    std::vector<StreamItem> items;
    /** Defaults to be sent to deputies, after the records of all buckets of the same step. */
    std::vector<StreamItem> deferred;
    std::uint64_t takenOver = 0;
    std::uint64_t timedOut = 0;
    std::uint64_t unacknowledgedChanges = 0;
};

} // namespace zinnia::flow
