#pragma once

#include "zinnia/core/name_table.hpp"

namespace zinnia {

/** @brief Why a packet, request, registration or message was refused. Each has a counter. */
enum class RefusalReason : unsigned char {
    None,
    UnknownService,
    Malformed,
    FlowTableFull,
    NoUpstream,
    UpstreamConnectionsFull,
    ColdStartLimit,
    QueueFull,
    DeadlineExceeded,
    UpstreamShedding,
    RetryBudgetSpent,
    HomeUnavailable,
    DeputyUnavailable,
    OutcomeUnknown,
    Cancelled,
    Stopping,
    TooManyHops,
    ZoneWithdrawn,
    WrongZone,
    StaleIncarnation,
    AddressQuarantined,
    RegistrationTableFull,
    BadTag,
    Replayed,
    UnknownKind,
    Oversized,
    WrongCluster,
    StaleVersion,
    RequestTableFull,
    UnknownRegistration,
    UpstreamUnresponsive,
    AlreadyRecorded,
};

inline constexpr NameTable<RefusalReason, 32> refusalReasonNames { {
    { RefusalReason::None, "none" },
    { RefusalReason::UnknownService, "unknown_service" },
    { RefusalReason::Malformed, "malformed" },
    { RefusalReason::FlowTableFull, "flow_table_full" },
    { RefusalReason::NoUpstream, "no_upstream" },
    { RefusalReason::UpstreamConnectionsFull, "upstream_connections_full" },
    { RefusalReason::ColdStartLimit, "cold_start_limit" },
    { RefusalReason::QueueFull, "queue_full" },
    { RefusalReason::DeadlineExceeded, "deadline_exceeded" },
    { RefusalReason::UpstreamShedding, "upstream_shedding" },
    { RefusalReason::RetryBudgetSpent, "retry_budget_spent" },
    { RefusalReason::HomeUnavailable, "home_unavailable" },
    { RefusalReason::DeputyUnavailable, "deputy_unavailable" },
    { RefusalReason::OutcomeUnknown, "outcome_unknown" },
    { RefusalReason::Cancelled, "cancelled" },
    { RefusalReason::Stopping, "stopping" },
    { RefusalReason::TooManyHops, "too_many_hops" },
    { RefusalReason::ZoneWithdrawn, "zone_withdrawn" },
    { RefusalReason::WrongZone, "wrong_zone" },
    { RefusalReason::StaleIncarnation, "stale_incarnation" },
    { RefusalReason::AddressQuarantined, "address_quarantined" },
    { RefusalReason::RegistrationTableFull, "registration_table_full" },
    { RefusalReason::BadTag, "bad_tag" },
    { RefusalReason::Replayed, "replayed" },
    { RefusalReason::UnknownKind, "unknown_kind" },
    { RefusalReason::Oversized, "oversized" },
    { RefusalReason::WrongCluster, "wrong_cluster" },
    { RefusalReason::StaleVersion, "stale_version" },
    { RefusalReason::RequestTableFull, "request_table_full" },
    { RefusalReason::UnknownRegistration, "unknown_registration" },
    { RefusalReason::UpstreamUnresponsive, "upstream_unresponsive" },
    { RefusalReason::AlreadyRecorded, "already_recorded" },
} };
static_assert(isDense(refusalReasonNames));

[[nodiscard]] constexpr std::string_view nameOf(RefusalReason reason) noexcept
{
    return nameIn(refusalReasonNames, reason);
}

/** @brief Why a request was sent again. Each has a counter. */
enum class RetryReason : unsigned char {
    NotRunByUpstream,
    AnswerTimeout,
    HomeChanged,
    UpstreamLost,
};

inline constexpr NameTable<RetryReason, 4> retryReasonNames { {
    { RetryReason::NotRunByUpstream, "not_run_by_upstream" },
    { RetryReason::AnswerTimeout, "answer_timeout" },
    { RetryReason::HomeChanged, "home_changed" },
    { RetryReason::UpstreamLost, "upstream_lost" },
} };
static_assert(isDense(retryReasonNames));

[[nodiscard]] constexpr std::string_view nameOf(RetryReason reason) noexcept
{
    return nameIn(retryReasonNames, reason);
}

} // namespace zinnia
