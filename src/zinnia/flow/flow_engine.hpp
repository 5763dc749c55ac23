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

    /** @brief State of one bucket at an entry. */
    struct Bucket {
        ZoneId zone;
        /** Owner in the zone of the bucket; it takes the bucket's new flows. */
        InstanceId globalOwner;
        /** Owner and deputy in the own zone. */
        BucketAssignment local;
        /** Entry from which this owner awaits the handover of the bucket; id 0 if there is none. */
        InstanceId handoverFrom;
        TimePoint handoverDeadline;
        /** Default upstream at the owner: flows without a replicated record are on it. */
        UpstreamId currentDefault;
        /**
         * Default that the owner replicated while this entry was the deputy, or the default that this entry used when
         * it lost the bucket.
         */
        UpstreamId lastKnownDefault;
        /**
         * Owner that has replicated its default since this entry became its deputy. The owner sends the default after
         * the records, so this entry then has all off-default records of that owner.
         */
        InstanceId replicatedBy;
        /** Next default, used once the deputy has acknowledged this default and the records sent before it. */
        UpstreamId pendingDefault;
        TimePoint pendingSince;
        /** Stream item that the deputy has to acknowledge before `pendingDefault` is used; 0 if there is none. */
        std::uint64_t pendingItem {};
        /** Before this time, a flow without a record may be an existing flow on the default of the previous owner. */
        TimePoint inheritedUntil;
        /** Entry whose remaining records, once complete, end the period until `inheritedUntil` early. */
        InstanceId inheritedFrom;
        /** Entry to which the bucket is handed over, and the stream item that ends the handover. */
        InstanceId handoverTo;
        std::uint64_t handoverItem {};
        /**
         * Entry from which this one still awaited the bucket when it handed the bucket over. The receiver requests the
         * bucket from it next.
         */
        InstanceId handoverNextSource;
        /** Time to drop the copied flows of a bucket of which this entry is no longer owner or deputy. */
        std::optional<TimePoint> dropCopiesAt;
    };

    struct ServiceState {
        config::Service config;
        /** The service is part of the active configuration. */
        bool present = true;
        std::vector<Bucket> buckets;
        /** Default of each bucket, computed from the registered upstreams. */
        std::vector<UpstreamId> targetDefaults;
        std::uint32_t flows = 0;
        double totalWeight = 0.0;
        std::uint32_t candidateCount = 0;
        /** New flows in the current and in the previous window of 1 s. */
        std::uint32_t newFlows = 0;
        std::uint32_t previousNewFlows = 0;
    };

} // namespace internal

/**
 * @brief Places flows on upstreams at one entry instance.
 *
 * See docs/modules/flow.md for the protocol between the engines of a cluster.
 */
class FlowEngine {
public:
    /** @param epoch Number of this start of the process; increases with each restart. */
    FlowEngine(InstanceId self, ZoneId zone, Epoch epoch, TimePoint now, const Settings& settings = {});

    /**
     * @brief Handles one input.
     * @param actions Resulting actions are appended. Their payloads are views of the payload of the input.
     */
    void handle(const Input& input, TimePoint now, Actions& actions);

    /**
     * @brief Handles a batch in order, such as the datagrams received by one system call.
     *
     * Equivalent to `handle` for each input, but table entries are prefetched for a group of packets, so that
     * their cache misses overlap.
     */
    void handleBatch(std::span<const Input> inputs, TimePoint now, Actions& actions);

    [[nodiscard]] const Counters& counters() const noexcept { return this->counts; }
    [[nodiscard]] std::uint32_t flows() const noexcept { return this->table.size(); }
    /** @return The number of active flows of this entry on the upstream. */
    [[nodiscard]] std::uint32_t flowsOn(UpstreamId upstream) const noexcept;
    /** @return True if no handover is awaited, no default change is pending and peers have acknowledged all records. */
    [[nodiscard]] bool isInSync() const noexcept;
    [[nodiscard]] std::size_t memoryBytes() const noexcept;
    /** @return The flow key of the caller at the service. */
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

    // flow_engine.cpp: inputs and packets
    void checkProcessPause(TimePoint now);
    void on(const CallerPacket& input, TimePoint now, Actions& actions);
    void routeCallerPacket(const CallerPacket& input, FlowKey key, TimePoint now, Actions& actions);
    void on(const UpstreamPacket& input, TimePoint now, Actions& actions);
    void on(const PeerMessageReceived& input, TimePoint now, Actions& actions);
    void on(const Tick& input, TimePoint now, Actions& actions);
    void on(const ViewChanged& input, TimePoint now, Actions& actions);
    void on(const ConfigurationChanged& input, TimePoint now, Actions& actions);
    void on(const UpstreamsChanged& input, TimePoint now, Actions& actions);
    void on(const Stop& input, TimePoint now, Actions& actions);
    /** @brief Serves, forwards or refuses a packet, depending on the owner of its bucket and on handovers. */
    void route(const Packet& packet, ForwardMode mode, TimePoint now, Actions& actions);
    /** @brief Handles a packet as owner of its bucket: uses the known placement, or places a new flow. */
    void serve(const Packet& packet, ForwardMode mode, TimePoint now, Actions& actions);
    void forward(const Packet& packet, InstanceId to, ForwardMode mode, Actions& actions);
    void refuse(const Packet& packet, RefusalReason reason, Actions& actions);
    /** @brief Sends a packet of a flow to its upstream or to the request layer. */
    void transmit(const Packet& packet, FlowIndex index, TimePoint now, Actions& actions);

    // flow_engine_placing.cpp: new flows, records and expiry
    void placeNewFlow(const Packet& packet, TimePoint now, Actions& actions);
    [[nodiscard]] SlotIndex chooseUpstream(const Packet& packet, TimePoint now, RefusalReason& reason);
    [[nodiscard]] bool hasFreeConnection(SlotIndex slot) const noexcept;
    [[nodiscard]] bool isOverFairShare(const ServiceState& state, SlotIndex slot) const noexcept;
    [[nodiscard]] bool isWarmingLimitReached(const ServiceState& state, SlotIndex slot) const noexcept;
    /** @return True if this entry may send packets of the flow to its upstream. */
    [[nodiscard]] bool isReachable(const Flow& flow) const noexcept
    {
        if (flow.isInOtherZone())
            return false;
        // A record of a peer may refer to an upstream of another service.
        const UpstreamSlot& slot = this->upstreams[flow.upstream];
        return slot.sendable && slot.service == flow.service;
    }
    bool activate(FlowIndex index);
    void attachUpstream(FlowIndex index, SlotIndex slot);
    void detachUpstream(FlowIndex index);
    void remove(FlowIndex index);
    /**
     * @param authoritative True if the sender replicates as owner. Only a placement that this entry made as owner may
     * then take precedence over the record.
     */
    void mergeRecord(const FlowRecord& record, std::uint8_t service, bool authoritative, TimePoint now);
    [[nodiscard]] bool isOffDefault(const Flow& flow, const Bucket& bucket) const noexcept;
    [[nodiscard]] FlowRecord recordOf(const Flow& flow, TimePoint now) const;
    void expireFlows(TimePoint now);
    void refreshUpstreams(TimePoint now);
    [[nodiscard]] std::uint32_t tableTime(TimePoint now) const noexcept;
    [[nodiscard]] std::uint32_t idleTimeoutOf(const ServiceState& state) const noexcept;

    // flow_engine_buckets.cpp: views, defaults and takeover
    /** @brief Assigns all buckets again after a change of the view or configuration, and starts handovers. */
    void updateAssignments(TimePoint now, Actions& actions);
    /** @brief Starts the ownership of a bucket: by a handover if its previous owner is alive, else by a takeover. */
    void acquireBucket(ServiceState& state, std::uint8_t service, BucketIndex bucket, const Bucket& old, TimePoint now);
    /** @brief Becomes the owner of a bucket at once, with the records that this entry has. */
    void takeOver(
        ServiceState& state, std::uint8_t service, BucketIndex bucket, bool hasUnrecordedFlows, TimePoint now);
    /** @brief Takes over from a dead owner whose records this entry lacks, and requests them from the deputy. */
    void recoverFromDeputy(ServiceState& state, std::uint8_t service, BucketIndex bucket, TimePoint now);
    void startReplication(ServiceState& state, std::uint8_t service, BucketIndex bucket);
    /** @brief Applies the timeouts of a bucket, and moves its default towards the target. */
    void advanceBucket(ServiceState& state, std::uint8_t service, BucketIndex bucket, TimePoint now, Actions& actions);
    void replicate(std::uint8_t service, BucketIndex bucket, FlowKey key, StreamItemKind kind);
    void dropCopies(std::uint8_t service, BucketIndex bucket);
    void dropFlowsOfZone(ZoneId zone, Actions& actions);
    void advanceAllBuckets(TimePoint now, Actions& actions);
    /** @brief Requests the bucket from `previous`; until the handover ends, packets without a record are sent there. */
    void awaitHandover(Bucket& bucket, InstanceId previous, TimePoint now);
    void deferDefault(std::uint8_t service, BucketIndex bucket, UpstreamId upstream);
    void pushDefaults();
    void dropStaleStreams();
    [[nodiscard]] bool isAlive(InstanceId id) const noexcept;
    /** @return True if the instance is in the view and has not restarted since the previous view. */
    [[nodiscard]] bool isAliveSinceLastView(InstanceId id) const noexcept;
    [[nodiscard]] bool replicates(const Bucket& bucket) const noexcept;
    [[nodiscard]] bool isInService(ZoneId zone) const noexcept;

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
    void finishHandover(
        std::uint8_t service, BucketIndex bucket, InstanceId from, const DoneGroup& group, TimePoint now);
    void requestBuckets(TimePoint now, Actions& actions);
    void flush(TimePoint now, Actions& actions);
    bool flushStream(const StreamKey& key, RecordStream& stream, TimePoint now, Actions& actions);
    void send(InstanceId to, PeerMessage message, std::size_t bytes, Actions& actions);
    [[nodiscard]] bool handoverInProgress(const Bucket& bucket) const
    {
        return bucket.handoverTo.value != 0 && this->isHandoverUnacknowledged(bucket);
    }
    [[nodiscard]] bool isHandoverUnacknowledged(const Bucket& bucket) const;
    [[nodiscard]] std::optional<std::uint8_t> serviceIndex(ServiceId service) const noexcept;

    InstanceId self;
    ZoneId zone;
    Settings settings;
    TimePoint startTime;
    TimePoint lastEvent;
    TimePoint windowStart;
    TimePoint nextHandoverRequestAt;
    bool stopping = false;
    bool tableFullReported = false;
    std::uint64_t nextSequence;
    std::uint32_t zoneEntryCount = 1;
    /** Number of entries counted in `zoneEntryCount` whose id is smaller than that of this entry. */
    std::uint32_t zoneRank = 0;
    Counters counts;
    config::Configuration configuration;
    membership::View view;
    membership::View previousView;
    std::vector<std::uint8_t> serviceIndices;
    std::vector<ServiceState> services;
    UpstreamSet upstreams;
    FlowTable table;
    ControlRateLimiter controlLimiter;
    std::map<StreamKey, RecordStream> streams;
    std::vector<FlowIndex> dueFlows;
    /** Items of the message that is being built; a member so that its memory is reused. */
    std::vector<StreamItem> messageItems;
    /** Defaults collected while buckets are updated; `pushDefaults` sends them to the deputies after all records. */
    std::vector<StreamItem> deferredDefaults;
    std::uint64_t takenOverBuckets = 0;
    std::uint64_t timedOutHandovers = 0;
    std::uint64_t unacknowledgedDefaultChanges = 0;
};

} // namespace zinnia::flow
