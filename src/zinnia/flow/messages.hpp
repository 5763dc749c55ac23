#pragma once

#include "zinnia/core/bytes.hpp"
#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/ids.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace zinnia::flow {

/** @brief Why a packet was forwarded to another entry. */
enum class ForwardMode : std::uint8_t {
    /** To the owner of the bucket. */
    ToOwner,
    /** To the previous owner: the handover is not complete and the owner has no record of the flow. */
    ToPreviousOwner,
    /** To the owner in the zone of the flow's upstream. */
    ToFlowZone,
    /** Back to the owner: the previous owner has no record either, so the flow is new. */
    NewFlow,
};

/** @brief A caller's packet, forwarded to another entry. */
struct ForwardPacket {
    ServiceId service;
    Endpoint caller;
    std::uint8_t hops {};
    ForwardMode mode {};
    BytesView payload;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.service, self.caller, self.hops, self.mode, self.payload);
    }
};

/** @brief The placement of a flow. The address of the caller is omitted, since its next packet carries it. */
struct FlowRecord {
    FlowKey key;
    /** The upstream; id 0 if only the zone of the flow is known. */
    UpstreamId upstream;
    /** The zone of the upstream. */
    ZoneId zone;
    /** Time since the flow began. An age, unlike a time stamp, needs no synchronized clocks. Unit: ms. */
    std::int64_t ageMs {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.key, self.upstream, self.zone, self.ageMs);
    }
    [[nodiscard]] friend bool operator==(const FlowRecord&, const FlowRecord&) = default;
};

/** @brief Buckets with the same default upstream. */
struct DefaultGroup {
    UpstreamId upstream;
    std::vector<BucketIndex> buckets;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.upstream, self.buckets);
    }
};

/** @brief Off-default records, ended flows and defaults of buckets for which the receiver is the deputy. */
struct ReplicateFlows {
    std::uint64_t sequence {};
    ServiceId service;
    std::vector<FlowRecord> records;
    std::vector<FlowKey> ended;
    std::vector<DefaultGroup> defaults;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.sequence, self.service, self.records, self.ended, self.defaults);
    }
};

/** @brief Acknowledges `ReplicateFlows`. */
struct ReplicateAck {
    std::uint64_t sequence {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit) { visit(self.sequence); }
};

/** @brief Sent by the new owner to request the records of buckets from the previous owner. */
struct HandoverRequest {
    ServiceId service;
    std::vector<BucketIndex> buckets;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.service, self.buckets);
    }
};

/** @brief Flow records of buckets that are being handed over. */
struct HandoverRecords {
    std::uint64_t sequence {};
    ServiceId service;
    std::vector<FlowRecord> records;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.sequence, self.service, self.records);
    }
};

/** @brief Buckets whose handover ends with the same result. */
struct DoneGroup {
    /** Upstream of the flows without a record; id 0 if the sender does not know it. */
    UpstreamId upstream;
    /** True if the records of all flows were sent, not only those of off-default flows. */
    bool complete {};
    /** Entry from which the sender itself still awaits these buckets; id 0 if there is none. */
    InstanceId nextSource;
    std::vector<BucketIndex> buckets;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.upstream, self.complete, self.nextSource, self.buckets);
    }
};

/** @brief Sent after the records of these buckets were acknowledged. */
struct HandoverDone {
    std::uint64_t sequence {};
    ServiceId service;
    std::vector<DoneGroup> groups;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.sequence, self.service, self.groups);
    }
};

/** @brief Acknowledges `HandoverRecords` or `HandoverDone`. */
struct HandoverAck {
    std::uint64_t sequence {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit) { visit(self.sequence); }
};

using PeerMessage = std::variant<ForwardPacket, ReplicateFlows, ReplicateAck, HandoverRequest, HandoverRecords,
    HandoverDone, HandoverAck>;

} // namespace zinnia::flow
