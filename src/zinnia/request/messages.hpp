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

/** @brief One request of a caller; unique because an owner never reuses a number within an epoch. */
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

/** @brief What a caller's retransmissions have in common. */
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

/** @brief Owner to home: send a request to an upstream. Repeated until there is a final result. */
struct DispatchRequest {
    RequestId id;
    /** Numbers the tries of one request; each runs at most once. */
    std::uint32_t attempt {};
    UpstreamId upstream;
    /** Start of the home process. A home that has restarted has lost its records and must not run a repeat. */
    Epoch homeEpoch;
    std::uint8_t priority {};
    bool idempotent {};
    bool observe {};
    Milliseconds deadlineLeft {};
    /** Code, options and payload. The home sets type, message id and token. */
    CoapMessage message;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.id, self.attempt, self.upstream, self.homeEpoch, self.priority, self.idempotent, self.observe,
            self.deadlineLeft, self.message);
    }
};

/** @brief What became of an attempt. `Accepted` (queued), `Running` and `Notification` are not final. */
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

/** @brief Home to owner. */
struct RequestResult {
    RequestId id;
    std::uint32_t attempt {};
    UpstreamId upstream;
    ResultKind kind {};
    RefusalReason reason {};
    /** For `NotRun`: when it makes sense to try this upstream again. */
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
 * @brief Owner to deputy: a non-idempotent request that is about to be dispatched, or that has ended.
 *
 * Also new owner to previous owner: asks whether that one knows a copy, and records the request if not.
 */
struct RecordRequest {
    RequestId id;
    RequestKey key;
    BucketIndex bucket;
    bool confirmable {};
    bool finished {};
    /** For the previous owner, otherwise 0: how long ago the first copy may have arrived. */
    Milliseconds maxCopyAge {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.id, self.key, self.bucket, self.confirmable, self.finished, self.maxCopyAge);
    }
};

/** @brief Deputy to owner. `None` means recorded; `AlreadyRecorded` means that another copy is known. */
struct RecordRequestAck {
    RequestId id;
    RefusalReason reason {};
    /** From a previous owner: the other copy, if it is in progress. */
    std::optional<RequestId> copyInProgress {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.id, self.reason, self.copyInProgress);
    }
};

/**
 * @brief Owner to deputy: an observation in progress, so that the deputy can go on with it after the owner's death.
 *
 * Owner to new owner of the bucket: the observation, which the receiver goes on with.
 */
struct ObservationRecord {
    RequestId id;
    RequestKey key;
    BucketIndex bucket;
    /** The registration as the caller sent it. */
    CoapMessage message;
    /** The current upstream first. */
    std::vector<UpstreamId> candidates;
    /** Observe value of the newest message to the caller. */
    std::uint32_t observeSequence {};
    bool handedOver {};
    /** The observation is over; `message` and `candidates` are empty. */
    bool ended {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.id, self.key, self.bucket, self.message, self.candidates, self.observeSequence, self.handedOver,
            self.ended);
    }
};

/** @brief Receiver to owner: the record is kept, or the observation goes on here. */
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
