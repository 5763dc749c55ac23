#pragma once

#include "zinnia/config/configuration.hpp"
#include "zinnia/core/event.hpp"
#include "zinnia/request/home_events.hpp"
#include "zinnia/request/messages.hpp"

#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace zinnia::request {

/** @brief A request of a caller whose flow this entry owns. */
struct RequestReceived {
    ServiceId service;
    Endpoint caller;
    FlowKey flow;
    BucketIndex bucket;
    /** Upstreams in the order in which they are tried; the first is the one of the flow. */
    std::vector<UpstreamId> candidates;
    /** Where a non-idempotent request is recorded; none if there is no other entry in the zone. */
    std::optional<InstanceId> deputy;
    CoapMessage message;
};

/** @brief An empty message of a caller: an acknowledgement or a reset. */
struct CallerEmptyMessage {
    ServiceId service;
    Endpoint caller;
    CoapMessage message;
};

/** @brief A message from a home. */
struct ResultReceived {
    InstanceId from;
    RequestResult result;
};

/** @brief A message from an owner whose deputy this entry is. */
struct RecordReceived {
    InstanceId from;
    RecordRequest record;
};

/** @brief A message from the deputy. */
struct RecordAckReceived {
    InstanceId from;
    RecordRequestAck ack;
};

/** @brief A message from an owner whose observations this entry keeps or goes on with. */
struct ObservationRecordReceived {
    InstanceId from;
    ObservationRecord record;
};

/** @brief A message from the receiver of an observation record. */
struct ObservationRecordAckReceived {
    InstanceId from;
    ObservationRecordAck ack;
};

/** @brief This entry became the owner of buckets, without the previous owner's table. */
struct OwnershipTaken {
    ServiceId service;
    std::vector<BucketIndex> buckets;
    /** Previous owners whose process still runs, as after a planned stop; they are asked for what they know. */
    std::map<BucketIndex, InstanceId> previousOwners;
};

/** @brief Another entry became the owner of buckets; requests in progress are finished here. */
struct OwnershipLost {
    ServiceId service;
    std::vector<BucketIndex> buckets;
    /** Who observations are handed over to; a bucket whose owner is in another zone has none. */
    std::map<BucketIndex, InstanceId> newOwners;
};

/** @brief Buckets of this owner have another deputy, or none (instance 0). */
struct DeputiesChanged {
    ServiceId service;
    std::map<BucketIndex, InstanceId> deputies;
};

/** @brief The home of an upstream as this entry sees it. */
struct HomeChanged {
    UpstreamId upstream;
    std::optional<PeerProcess> home;
};

/** @brief A peer is dead, or has restarted: nothing more comes from this process. */
struct PeerLost {
    PeerProcess peer;
};

struct OwnerConfigured {
    std::shared_ptr<const config::Configuration> configuration;
};

/** @brief Time passes; expected about every 20 ms. */
struct OwnerTick { };

/** @brief The entry is going to stop: new requests are refused, the others are finished. */
struct OwnerStop { };

using OwnerEvent = std::variant<RequestReceived, CallerEmptyMessage, ResultReceived, RecordReceived, RecordAckReceived,
    ObservationRecordReceived, ObservationRecordAckReceived, OwnershipTaken, OwnershipLost, DeputiesChanged,
    HomeChanged, PeerLost, OwnerConfigured, UpstreamsUpdated, LeaseExtended, OwnerTick, OwnerStop>;

/** @brief Sends a CoAP message to a caller, from the address of the service. */
struct SendToCaller {
    ServiceId service;
    Endpoint caller;
    CoapMessage message;
};

using PeerMessage = std::variant<RecordRequest, RecordRequestAck, DispatchRequest, CancelRequest, ObservationRecord,
    ObservationRecordAck>;

/** @brief Sends a message to another entry, or to this one. */
struct SendToPeer {
    InstanceId peer;
    PeerMessage message;
};

/** @brief How a request ended for its caller. */
enum class RequestOutcome : unsigned char { Answered, NotRun, Unknown, Cancelled };

inline constexpr NameTable<RequestOutcome, 4> requestOutcomeNames { {
    { RequestOutcome::Answered, "answered" },
    { RequestOutcome::NotRun, "not_run" },
    { RequestOutcome::Unknown, "unknown" },
    { RequestOutcome::Cancelled, "cancelled" },
} };
static_assert(isDense(requestOutcomeNames));

/** @brief A request has ended; each accepted request ends once. */
struct RequestEnded {
    RequestId id;
    RequestOutcome outcome {};
    RefusalReason reason {};
};

/** @brief A request was sent again. */
struct RequestRetried {
    RequestId id;
    RetryReason reason {};
};

/** @brief Reports an event of the owner side. */
struct LogOwnerEvent {
    Event event {};
    ServiceId service;
    Endpoint caller;
    RefusalReason reason {};
};

using OwnerAction = std::variant<SendToCaller, SendToPeer, RequestEnded, RequestRetried, LogOwnerEvent>;
using OwnerActions = std::vector<OwnerAction>;

} // namespace zinnia::request
