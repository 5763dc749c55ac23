#pragma once

#include "zinnia/config/route_table.hpp"
#include "zinnia/core/ids.hpp"
#include "zinnia/upstream/announcement_table.hpp"
#include "zinnia/upstream/suspicion_table.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace zinnia::feed {

/** @brief Request of a router to a control instance for changes of routes and announcements. */
struct FeedRequest {
    /** Request number chosen by the router, repeated in the reply. 0 requests no reply and only reports suspicions. */
    std::uint64_t number {};
    /** Revision of the newest routing state that the router has; 0 for none. */
    std::uint64_t revision {};
    /** Process epoch of the control instance to whose announcement table `change` refers. */
    Epoch tableEpoch;
    /** Number of the last change of that table that the router has. */
    std::uint64_t change {};
    /** Upstreams that the router itself has recently failed to reach. */
    std::vector<upstream::AgedSuspicion> suspicions {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.number, self.revision, self.tableEpoch, self.change, self.suspicions);
    }
};

/** @brief A route in compact form, with services as indices into `RoutingState::services`. */
struct CompactRoute {
    Endpoint address;
    std::vector<std::uint16_t> services;
    /** One weight for each service. */
    std::vector<std::uint32_t> weights;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.address, self.services, self.weights);
    }
};

/** @brief The routes and withdrawn zones by which routers select upstreams. */
struct RoutingState {
    /** Index in the replicated log of the newest command included. */
    std::uint64_t revision {};
    ConfigVersion version;
    std::vector<config::ServiceLimits> services;
    std::vector<CompactRoute> routes;
    std::vector<std::string> withdrawnZones;
    Milliseconds flowIdle {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.revision, self.version, self.services, self.routes, self.withdrawnZones, self.flowIdle);
    }
};

/** @return The part of a route table that routers need, as of a revision. */
[[nodiscard]] RoutingState makeRoutingState(
    const config::RouteTable& table, const std::vector<std::string>& withdrawnZones, std::uint64_t revision);

/** @brief Answer to `FeedRequest`. */
struct FeedReply {
    std::uint64_t number {};
    /** The control instance leads, or follows a leader closely, so its state is at most about 1 s old. */
    bool hasLeader {};
    /** Revision of the newest routing state of the control instance. */
    std::uint64_t revision {};
    /** Set if the router's state is older. */
    std::optional<RoutingState> state;
    /** Process epoch of the control instance to whose announcement table the change numbers refer. */
    Epoch tableEpoch;
    /** Number of the last change that the announcements include; lower than `lastChange` if there are more. */
    std::uint64_t change {};
    /** Number of the last change of the table. */
    std::uint64_t lastChange {};
    std::vector<upstream::AgedAnnouncement> announcements;
    /** Control instances from which it has recently received messages, itself included. */
    std::vector<InstanceId> controls;
    /** Upstreams that any router has recently failed to reach. */
    std::vector<upstream::AgedSuspicion> suspicions;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.number, self.hasLeader, self.revision, self.state, self.tableEpoch, self.change, self.lastChange,
            self.announcements, self.controls, self.suspicions);
    }
};

/** @brief State that a control instance stores, to serve routers immediately after a restart. */
struct FeedSnapshot {
    RoutingState state;
    std::vector<upstream::AgedAnnouncement> announcements;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.state, self.announcements);
    }
};

/** @brief Gossip between control instances. */
struct Gossip {
    /** Message number to be acknowledged by the receiver; 0 requests no acknowledgement. */
    std::uint64_t number {};
    /** Process epoch of the sender; a new one makes the receiver send all its announcements. */
    Epoch epoch;
    /** Control instances from which the sender has recently received messages, itself included. */
    std::vector<InstanceId> controls;
    std::vector<upstream::AgedAnnouncement> announcements;
    std::vector<upstream::AgedSuspicion> suspicions {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.number, self.epoch, self.controls, self.announcements, self.suspicions);
    }
};

/** @brief Acknowledgement of a numbered `Gossip` message. */
struct GossipAck {
    std::uint64_t number {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit) { visit(self.number); }
};

} // namespace zinnia::feed
