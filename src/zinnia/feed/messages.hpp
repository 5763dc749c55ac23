#pragma once

#include "zinnia/config/route_table.hpp"
#include "zinnia/core/ids.hpp"
#include "zinnia/upstream/announcement_board.hpp"
#include "zinnia/upstream/suspicion_board.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace zinnia::feed {

/** @brief A router asks a control instance for what has changed. */
struct FeedRequest {
    /** Chosen by the router; the reply repeats it. 0 if only suspicions are reported and no reply is wanted. */
    std::uint64_t number {};
    /** Newest fleet state that the router has; 0 for none. */
    std::uint64_t revision {};
    /** Start of the control instance whose changes `change` counts. */
    Epoch board;
    /** Last change of that instance's board that the router has. */
    std::uint64_t change {};
    /** Upstreams that the router has lately failed to reach itself. */
    std::vector<upstream::AgedSuspicion> suspicions {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.number, self.revision, self.board, self.change, self.suspicions);
    }
};

/** @brief A route as routers need it: the services are indices into `RoutingState::services`. */
struct CompactRoute {
    Endpoint address;
    std::vector<std::uint16_t> services;
    /** One for each service. */
    std::vector<std::uint32_t> weights;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.address, self.services, self.weights);
    }
};

/** @brief Routes and withdrawn zones as routers need them. */
struct RoutingState {
    /** Index in the replicated log of the newest command that it includes. */
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

/** @return What routers need of a route table. */
[[nodiscard]] RoutingState compact(
    const config::RouteTable& table, const std::vector<std::string>& withdrawnZones, std::uint64_t revision);

/** @brief Answer to `FeedRequest`. */
struct FeedReply {
    std::uint64_t number {};
    /** The control instance follows a leader or leads, so what it says is not older than about a second. */
    bool confirmed {};
    /** Newest fleet state of the control instance. */
    std::uint64_t revision {};
    /** Given if the router's state is older. */
    std::optional<RoutingState> state;
    Epoch board;
    /** Last change that the announcements cover; lower than `lastChange` if there are more. */
    std::uint64_t change {};
    std::uint64_t lastChange {};
    std::vector<upstream::AgedAnnouncement> announcements;
    /** Control instances that it has heard from lately, itself included. */
    std::vector<InstanceId> controls;
    /** Upstreams that some router has lately failed to reach. */
    std::vector<upstream::AgedSuspicion> suspicions;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.number, self.confirmed, self.revision, self.state, self.board, self.change, self.lastChange,
            self.announcements, self.controls, self.suspicions);
    }
};

/** @brief What a control instance remembers for routers over a restart. */
struct FeedMemory {
    RoutingState state;
    std::vector<upstream::AgedAnnouncement> announcements;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.state, self.announcements);
    }
};

/** @brief News between control instances. */
struct Gossip {
    /** Not 0 if the receiver is to acknowledge. */
    std::uint64_t number {};
    /** Start of the sender; a new one asks the receiver for everything that it knows. */
    Epoch epoch;
    std::vector<InstanceId> controls;
    std::vector<upstream::AgedAnnouncement> announcements;
    std::vector<upstream::AgedSuspicion> suspicions {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.number, self.epoch, self.controls, self.announcements, self.suspicions);
    }
};

struct GossipAck {
    std::uint64_t number {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit) { visit(self.number); }
};

} // namespace zinnia::feed
