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
    /** Upstreams in the order in which they are tried; the first is the upstream of the flow. */
    std::vector<UpstreamId> candidates;
    /** Entry that records a non-idempotent request; empty if there is no other entry in the zone. */
    std::optional<InstanceId> deputy;
    CoapMessage message;
};

/** @brief An empty message from a caller: an acknowledgement or a reset. */
struct CallerEmptyMessage {
    ServiceId service;
    Endpoint caller;
    CoapMessage message;
};

/** @brief The status of an attempt, from a home. */
struct ResultReceived {
    InstanceId from;
    RequestResult result;
};

/** @brief A request record, from an owner whose deputy this entry is or from the new owner of a bucket. */
struct RecordReceived {
    InstanceId from;
    RecordRequest record;
};

/** @brief The acknowledgement of a request record, from the deputy or the previous owner. */
struct RecordAckReceived {
    InstanceId from;
    RecordRequestAck ack;
};

/** @brief An observation record, from an owner whose deputy or successor this entry is. */
struct ObservationRecordReceived {
    InstanceId from;
    ObservationRecord record;
};

/** @brief The acknowledgement of an observation record, from the deputy or the new owner. */
struct ObservationRecordAckReceived {
    InstanceId from;
    ObservationRecordAck ack;
};

/** @brief This entry became the owner of buckets; the request table of the previous owner is not transferred. */
struct OwnershipTaken {
    ServiceId service;
    std::vector<BucketIndex> buckets;
    /** Previous owners whose process still runs, as in a planned stop; they are asked whether they know a request. */
    std::map<BucketIndex, InstanceId> previousOwners;
};

/** @brief Another entry became the owner of buckets; requests in progress are completed here. */
struct OwnershipLost {
    ServiceId service;
    std::vector<BucketIndex> buckets;
    /** Entries that take the observations over; a bucket whose new owner is in another zone has none. */
    std::map<BucketIndex, InstanceId> newOwners;
};

/** @brief Buckets of this owner have a new deputy, or none (instance 0). */
struct DeputiesChanged {
    ServiceId service;
    std::map<BucketIndex, InstanceId> deputies;
};

/** @brief The home of an upstream as this entry sees it. */
struct HomeChanged {
    UpstreamId upstream;
    std::optional<PeerProcess> home;
};

/** @brief A peer process has failed or was replaced by a restart; no more messages from it are expected. */
struct PeerLost {
    PeerProcess peer;
};

/** @brief A new configuration is active. */
struct OwnerConfigured {
    std::shared_ptr<const config::Configuration> configuration;
};

/** @brief Periodic tick, about every 20 ms. */
struct OwnerTick { };

/** @brief The entry is stopping: new requests are refused, requests in progress are completed. */
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

/** @brief Final outcome of a request for its caller. */
enum class RequestOutcome : unsigned char { Answered, NotRun, Unknown, Cancelled };

inline constexpr NameTable<RequestOutcome, 4> requestOutcomeNames { {
    { RequestOutcome::Answered, "answered" },
    { RequestOutcome::NotRun, "not_run" },
    { RequestOutcome::Unknown, "unknown" },
    { RequestOutcome::Cancelled, "cancelled" },
} };
static_assert(isDense(requestOutcomeNames));

/** @brief A request has ended; reported exactly once for each accepted request. */
struct RequestEnded {
    RequestId id;
    RequestOutcome outcome {};
    RefusalReason reason {};
};

/** @brief Another attempt of a request was started. */
struct RequestRetried {
    RequestId id;
    RetryReason reason {};
};

/** @brief Logs an event of the owner. */
struct LogOwnerEvent {
    Event event {};
    ServiceId service;
    Endpoint caller;
    RefusalReason reason {};
};

using OwnerAction = std::variant<SendToCaller, SendToPeer, RequestEnded, RequestRetried, LogOwnerEvent>;
using OwnerActions = std::vector<OwnerAction>;

} // namespace zinnia::request
