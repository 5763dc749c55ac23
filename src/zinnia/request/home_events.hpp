#pragma once

#include "zinnia/core/event.hpp"
#include "zinnia/request/messages.hpp"
#include "zinnia/upstream/cold_start.hpp"
#include "zinnia/upstream/upstream_info.hpp"

#include <variant>
#include <vector>

namespace zinnia::request {

/** @brief A peer process; another epoch is another process. */
struct PeerProcess {
    InstanceId instance;
    Epoch epoch;

    [[nodiscard]] friend auto operator<=>(const PeerProcess&, const PeerProcess&) noexcept = default;
};

/** @brief A message from an owner. */
struct DispatchReceived {
    InstanceId from;
    DispatchRequest request;
};

/** @brief A message from an owner. */
struct CancelReceived {
    InstanceId from;
    CancelRequest request;
};

/** @brief A CoAP message from the address of an upstream. */
struct UpstreamMessage {
    Endpoint from;
    CoapMessage message;
};

/** @brief The registry has changed. */
struct UpstreamsUpdated {
    std::vector<upstream::UpstreamInfo> changed;
    std::vector<UpstreamId> removed;
};

/** @brief An upstream whose home is this entry. */
struct HomeAssignment {
    UpstreamId upstream;
    /** Another entry may have been its home, so that it may work on requests that are unknown here. */
    bool inherited = true;
};

/** @brief The upstreams whose home is this entry; replaces the earlier list. */
struct HomeAssignmentsReplaced {
    std::vector<HomeAssignment> assignments;
};

/** @brief The lease holds until that time; a time in the past means that it is lost. */
struct LeaseExtended {
    TimePoint until;
};

/** @brief The live entries; an owner that is not among them gets no more work done. */
struct LiveEntriesReplaced {
    std::vector<PeerProcess> entries;
};

/** @brief Time passes; expected about every 20 ms. */
struct HomeTick { };

/** @brief The entry is going to stop: the queue is given back, requests in flight are finished. */
struct HomeStop { };

using HomeEvent = std::variant<DispatchReceived, CancelReceived, UpstreamMessage, UpstreamsUpdated,
    HomeAssignmentsReplaced, LeaseExtended, LiveEntriesReplaced, HomeTick, HomeStop>;

/** @brief Sends a CoAP message to an upstream. */
struct SendToUpstream {
    UpstreamId upstream;
    Endpoint destination;
    CoapMessage message;
};

/** @brief Sends a result to the owner of a request. */
struct SendResult {
    InstanceId owner;
    RequestResult result;
};

/** @brief Reports to the registry what was seen of an upstream. */
struct ReportHealthSignal {
    UpstreamId upstream;
    upstream::HealthSignal observation {};
};

/** @brief Reports an event of the home side. */
struct LogHomeEvent {
    Event event {};
    UpstreamId upstream;
    RefusalReason reason {};
};

using HomeAction = std::variant<SendToUpstream, SendResult, ReportHealthSignal, LogHomeEvent>;
using HomeActions = std::vector<HomeAction>;

} // namespace zinnia::request
