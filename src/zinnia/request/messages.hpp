#pragma once

#include "zinnia/core/coap_message.hpp"
#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/hash.hpp"
#include "zinnia/core/ids.hpp"
#include "zinnia/core/name_table.hpp"
#include "zinnia/core/reasons.hpp"
#include "zinnia/core/time.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace zinnia::request {

/** @brief Identifies a caller's request; unique because an owner process never reuses a number within its epoch. */
struct RequestId {
    InstanceId owner;
    Epoch epoch;
    std::uint64_t number {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.owner, self.epoch, self.number);
    }
    [[nodiscard]] friend auto operator<=>(const RequestId&, const RequestId&) noexcept = default;
};

/** @brief Key shared by all retransmissions of a caller's request. */
struct RequestKey {
    ServiceId service;
    Endpoint caller;
    std::uint16_t messageId {};
    Bytes token;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.service, self.caller, self.messageId, self.token);
    }
    [[nodiscard]] friend auto operator<=>(const RequestKey&, const RequestKey&) noexcept = default;
};

/** @brief Owner to home: dispatches a request to an upstream. Sent again until the owner has a final result. */
struct DispatchRequest {
    RequestId id;
    /** Number of the attempt within the request; the home runs each attempt at most once. */
    std::uint32_t attempt {};
    UpstreamId upstream;
    /** Epoch of the home process. A home that has restarted has lost its records and must not run a duplicate. */
    Epoch homeEpoch;
    std::uint8_t priority {};
    bool idempotent {};
    bool observe {};
    Milliseconds deadlineRemaining {};
    /** Code, options and payload. The home sets type, message ID and token. */
    CoapMessage message;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.id, self.attempt, self.upstream, self.homeEpoch, self.priority, self.idempotent, self.observe,
            self.deadlineRemaining, self.message);
    }
};

/** @brief Status of an attempt. `Accepted` (queued), `Running` and `Notification` are not final. */
enum class ResultKind : unsigned char { Accepted, Answered, Notification, NotRun, Unknown, Running };

inline constexpr NameTable<ResultKind, 6> resultKindNames { {
    { ResultKind::Accepted, "accepted" },
    { ResultKind::Answered, "answered" },
    { ResultKind::Notification, "notification" },
    { ResultKind::NotRun, "not_run" },
    { ResultKind::Unknown, "unknown" },
    { ResultKind::Running, "running" },
} };
static_assert(isDense(resultKindNames));

/** @brief Home to owner: status or result of an attempt. */
struct RequestResult {
    RequestId id;
    std::uint32_t attempt {};
    UpstreamId upstream;
    ResultKind kind {};
    RefusalReason reason {};
    /** For `NotRun`: time after which the upstream may be tried again. */
    Seconds retryAfter {};
    CoapMessage answer;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.id, self.attempt, self.upstream, self.kind, self.reason, self.retryAfter, self.answer);
    }
};

/** @brief Owner to home: the caller no longer wants the request or observation. */
struct CancelRequest {
    RequestId id;
    std::uint32_t attempt {};
    UpstreamId upstream;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.id, self.attempt, self.upstream);
    }
};

/**
 * @brief Owner to deputy: records a non-idempotent request before it is dispatched, or marks it as finished.
 *
 * Also new owner to previous owner: asks whether it knows a copy of the request, and records the request there if not.
 */
struct RecordRequest {
    RequestId id;
    RequestKey key;
    BucketIndex bucket;
    bool confirmable {};
    bool finished {};
    /** For the previous owner, otherwise 0: upper bound of the time since the first copy arrived. */
    Milliseconds maxCopyAge {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.id, self.key, self.bucket, self.confirmable, self.finished, self.maxCopyAge);
    }
};

/** @brief Deputy or previous owner to owner. `None`: recorded; `AlreadyRecorded`: another copy is known. */
struct RecordRequestAck {
    RequestId id;
    RefusalReason reason {};
    /** From a previous owner: ID of the other copy, if that is in progress. */
    std::optional<RequestId> copyInProgress {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.id, self.reason, self.copyInProgress);
    }
};

/**
 * @brief Owner to deputy: replicates an active observation, so that the deputy can resume it if the owner fails.
 *
 * Also owner to new owner of the bucket: hands the observation over; the receiver resumes it.
 */
struct ObservationRecord {
    RequestId id;
    RequestKey key;
    BucketIndex bucket;
    /** The registration (RFC 7641) as the caller sent it. */
    CoapMessage message;
    /** Upstreams in the order of preference, the current one first. */
    std::vector<UpstreamId> candidates;
    /** Observe value of the newest message to the caller. */
    std::uint32_t observeSequence {};
    bool handedOver {};
    /** The observation has ended; `message` and `candidates` are empty. */
    bool ended {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.id, self.key, self.bucket, self.message, self.candidates, self.observeSequence, self.handedOver,
            self.ended);
    }
};

/** @brief Receiver to owner: the record is stored, or the handed-over observation has been resumed. */
struct ObservationRecordAck {
    RequestId id;
    bool handedOver {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.id, self.handedOver);
    }
};

} // namespace zinnia::request

template <> struct std::hash<zinnia::request::RequestId> {
    [[nodiscard]] std::size_t operator()(const zinnia::request::RequestId& id) const noexcept
    {
        return zinnia::hashOf(id.epoch.value, id.owner.value, id.number);
    }
};

template <> struct std::hash<zinnia::request::RequestKey> {
    [[nodiscard]] std::size_t operator()(const zinnia::request::RequestKey& key) const noexcept
    {
        const std::string_view token { reinterpret_cast<const char*>(key.token.data()), key.token.size() };
        return zinnia::hashOf(
            zinnia::hashOfText(key.messageId, token), key.service.value, key.caller.address, key.caller.port);
    }
};
