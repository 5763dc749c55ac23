#pragma once

#include "zinnia/config/route_table.hpp"
#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/time.hpp"
#include "zinnia/upstream/routing_token.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace zinnia::load {

using upstream::RoutingToken;

/** @brief A router's own requests of one service, at upstreams of any zone. */
struct ServiceCount {
    std::string service;
    /** Requests at upstreams. */
    std::uint32_t inFlight {};
    /** Openings that wait in the router. */
    std::uint32_t waiting {};
    /** New flows since the previous report, refused ones included. */
    std::uint32_t openings {};
    /** Openings refused since the previous report for lack of room. */
    std::uint32_t refused {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.service, self.inFlight, self.waiting, self.openings, self.refused);
    }
    [[nodiscard]] friend bool operator==(const ServiceCount&, const ServiceCount&) = default;
};

/** @brief A router's own requests and flows at one upstream, and the answers that it has seen. */
struct UpstreamCount {
    /** Encoded as part of one byte string (`wire::PackedWriter`), because a report has many. */
    static constexpr bool isPacked = true;

    RoutingToken token;
    std::uint32_t inFlight {};
    std::uint32_t flows {};
    /** Answers since the previous report whose time is known. */
    std::uint32_t answers {};
    /** Sum of the times of these answers, from the request to its acknowledged answer. */
    Microseconds answerTime {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.token, self.inFlight, self.flows, self.answers, self.answerTime);
    }
    [[nodiscard]] friend bool operator==(const UpstreamCount&, const UpstreamCount&) = default;
};

/** @brief Load of one router, sent to the control instances of its zone. Replaces its previous report. */
struct LoadReport {
    /** Increases with each report; a report that is not newer is ignored. */
    std::uint64_t number {};
    std::string zone;
    /** Digest of the route facts that the router has; 0 for none. */
    std::uint64_t factsDigest {};
    /** False for the control instances whose replies the router does not use at the moment; they leave out `upstreams`,
     * which are most of a reply. */
    bool wantsUpstreams = true;
    /** Part of the time that a request is in flight during which it takes a slot or waits for one. Unit: percent. */
    std::uint32_t slotPercent = 100;
    std::vector<ServiceCount> services;
    /** Upstreams with at least one figure that is not 0. */
    std::vector<UpstreamCount> upstreams;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.number, self.zone, self.factsDigest, self.wantsUpstreams, self.slotPercent, self.services,
            self.upstreams);
    }
};

/** @brief Requests that a router may have in flight at the upstreams of another zone. */
struct RemoteAllowance {
    std::string zone;
    std::uint32_t slots {};
    /** Mean answer time of the service there without waiting. */
    Microseconds serviceTime {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.zone, self.slots, self.serviceTime);
    }
    [[nodiscard]] friend bool operator==(const RemoteAllowance&, const RemoteAllowance&) = default;
};

/** @brief Load of a service in the zone of the receiver. */
struct ServiceLoad {
    std::string service;
    /** Slots of the usable upstreams of the zone. */
    std::uint32_t capacity {};
    /** Requests of all routers of the zone at upstreams of the zone, the receiver's included. */
    std::uint32_t inFlight {};
    /** Openings that wait in routers of the zone, the receiver's included. */
    std::uint32_t waiting {};
    /** Requests that the upstreams of the zone may have in flight together. */
    std::uint32_t limit {};
    /** Part of the limit for the receiver. */
    std::uint32_t allowance {};
    /** Routers of the zone with a current report. */
    std::uint32_t routers {};
    /** Mean answer time without waiting; 0 if not known. */
    Microseconds serviceTime {};
    /** New flows of the service at all routers of the zone. Unit: per second. */
    std::uint32_t openingsPerSecond {};
    std::vector<RemoteAllowance> remotes;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.service, self.capacity, self.inFlight, self.waiting, self.limit, self.allowance, self.routers,
            self.serviceTime, self.openingsPerSecond, self.remotes);
    }
    [[nodiscard]] friend bool operator==(const ServiceLoad&, const ServiceLoad&) = default;
};

/** @brief What the other routers of the zone have at one upstream. */
struct UpstreamLoad {
    /** Encoded as part of one byte string (`wire::PackedWriter`), because a reply has many. */
    static constexpr bool isPacked = true;

    RoutingToken token;
    std::uint32_t inFlight {};
    std::uint32_t flows {};
    /** Answer time in percent of the median of its service and zone; 100 if not known. */
    std::uint32_t slowness = 100;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.token, self.inFlight, self.flows, self.slowness);
    }
    [[nodiscard]] friend bool operator==(const UpstreamLoad&, const UpstreamLoad&) = default;
};

/** @brief Properties of the requests of one route by which a router admits and orders them. */
struct RouteFact {
    Endpoint address;
    config::RequestClass requestClass {};
    /** 0 is most important. */
    std::uint32_t priority {};
    /** Time within which callers want an answer; 0 for none. */
    Milliseconds latencyObjective {};
    /** Time after which a caller's request fails. */
    Milliseconds timeout {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.address, self.requestClass, self.priority, self.latencyObjective, self.timeout);
    }
    [[nodiscard]] friend bool operator==(const RouteFact&, const RouteFact&) = default;
};

/** @brief The facts of all routes, identified by a digest of their content. */
struct RouteFacts {
    std::uint64_t digest {};
    std::vector<RouteFact> routes;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.digest, self.routes);
    }
};

/** @brief Answer to `LoadReport`. */
struct LoadReply {
    /** Number of the report. */
    std::uint64_t number {};
    /** Zone of the control instance. */
    std::string zone;
    /** False while some routers of the zone may not report to this control instance yet, as after its restart. */
    bool complete {};
    /** Mean age of the reports of the other routers of the zone. */
    Milliseconds age {};
    /** Position of the router among those of the zone with a current report, in the order of ids from 1; 0 unless
     * `complete`.
     */
    std::uint32_t position {};
    std::vector<ServiceLoad> services;
    /** Upstreams of the zone, in turns if there are many; those left out keep their previous figures. */
    std::vector<UpstreamLoad> upstreams;
    /** Empty, with digest 0, if the router has the current ones. */
    RouteFacts facts;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(
            self.number, self.zone, self.complete, self.age, self.position, self.services, self.upstreams, self.facts);
    }
};

/** @brief Slots that the upstreams of a zone offer to another zone. */
struct ZoneGrant {
    std::string zone;
    std::uint32_t slots {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.zone, self.slots);
    }
    [[nodiscard]] friend bool operator==(const ZoneGrant&, const ZoneGrant&) = default;
};

/** @brief Load of a service in one zone, for the other zones. */
struct ServiceSummary {
    std::string service;
    /** Slots of the usable upstreams of the zone. */
    std::uint32_t capacity {};
    /** Requests in flight and openings that wait, of the zone's own routers. */
    std::uint32_t demand {};
    /** Mean answer time without waiting; 0 if not known. */
    Microseconds serviceTime {};
    std::vector<ZoneGrant> grants;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.service, self.capacity, self.demand, self.serviceTime, self.grants);
    }
    [[nodiscard]] friend bool operator==(const ServiceSummary&, const ServiceSummary&) = default;
};

/** @brief Load of one zone, sent by its control instances to those of the other zones. */
struct ZoneSummary {
    /** Increases with each summary of the sender. */
    std::uint64_t number {};
    std::string zone;
    std::vector<ServiceSummary> services;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.number, self.zone, self.services);
    }
};

} // namespace zinnia::load
