#pragma once

#include "zinnia/core/event.hpp"
#include "zinnia/request/messages.hpp"
#include "zinnia/upstream/cold_start.hpp"
#include "zinnia/upstream/upstream_info.hpp"

#include <variant>
#include <vector>

namespace zinnia::request {

/** @brief One process of a peer instance; each start of the instance has a new epoch. */
struct PeerProcess {
    InstanceId instance;
    Epoch epoch;

    [[nodiscard]] friend auto operator<=>(const PeerProcess&, const PeerProcess&) noexcept = default;
};

/** @brief A dispatch request from an owner. */
struct DispatchReceived {
    InstanceId from;
    DispatchRequest request;
};

/** @brief A cancellation from an owner. */
struct CancelReceived {
    InstanceId from;
    CancelRequest request;
};

/** @brief A CoAP message from the address of an upstream. */
struct UpstreamMessage {
    Endpoint from;
    CoapMessage message;
};

/** @brief Changes of the upstream registry. */
struct UpstreamsUpdated {
    std::vector<upstream::UpstreamInfo> changed;
    std::vector<UpstreamId> removed;
};

/** @brief An upstream whose home is this entry. */
struct HomeAssignment {
    UpstreamId upstream;
    /** Another entry may have been its home before, so that it may be running requests that are unknown here. */
    bool inherited = true;
};

/** @brief The complete list of upstreams whose home is this entry. */
struct HomeAssignmentsReplaced {
    std::vector<HomeAssignment> assignments;
};

/** @brief The time until which the lease is valid; a time in the past means that the lease is lost. */
struct LeaseExtended {
    TimePoint until;
};

/** @brief The complete list of live entries; queued requests and observations of other owners are cancelled. */
struct LiveEntriesReplaced {
    std::vector<PeerProcess> entries;
};

/** @brief Periodic tick, about every 20 ms. */
struct HomeTick { };

/** @brief The entry is stopping: queued requests are returned as not run, requests in flight are completed. */
struct HomeStop { };

using HomeEvent = std::variant<DispatchReceived, CancelReceived, UpstreamMessage, UpstreamsUpdated,
    HomeAssignmentsReplaced, LeaseExtended, LiveEntriesReplaced, HomeTick, HomeStop>;

/** @brief Sends a CoAP message to an upstream. */
struct SendToUpstream {
    UpstreamId upstream;
    Endpoint destination;
    CoapMessage message;
};

/** @brief Sends the status of an attempt to the owner of the request. */
struct SendResult {
    InstanceId owner;
    RequestResult result;
};

/** @brief Reports a passive health signal of an upstream to the registry. */
struct ReportHealthSignal {
    UpstreamId upstream;
    upstream::HealthSignal signal {};
};

/** @brief Logs an event of the home. */
struct LogHomeEvent {
    Event event {};
    UpstreamId upstream;
    RefusalReason reason {};
};

using HomeAction = std::variant<SendToUpstream, SendResult, ReportHealthSignal, LogHomeEvent>;
using HomeActions = std::vector<HomeAction>;

} // namespace zinnia::request
