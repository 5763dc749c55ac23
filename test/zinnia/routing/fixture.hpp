#pragma once

#include "zinnia/routing/flow_router.hpp"

#include <string>

namespace zinnia::routing::test {

inline const Endpoint routeAddress { 0xC6120001, 443 };
inline const Endpoint archiveAddress { 0xC6120002, 443 };

/** @brief Builds a new announcement, of age 0, of an upstream. */
inline upstream::AgedAnnouncement makeAnnouncement(std::uint64_t number, const std::string& service,
    const std::string& zone, upstream::AnnouncedState state = upstream::AnnouncedState::Ready,
    std::uint64_t sequence = 1, Milliseconds coldRemaining = {})
{
    upstream::Announcement announcement;
    announcement.number = upstream::UpstreamNumber { number };
    announcement.service = service;
    announcement.address = { 0x0A000000U + static_cast<std::uint32_t>(number), 8080 };
    announcement.zone = zone;
    announcement.slots = 2;
    announcement.state = state;
    announcement.coldRemaining = coldRemaining;
    announcement.version = { 1, sequence };
    return { announcement, Milliseconds { 0 } };
}

/** @brief Builds a routing state with one route to each of the services "logger" and "archive". */
inline feed::RoutingState stateOf(std::uint64_t revision, std::vector<std::string> withdrawnZones = {})
{
    feed::RoutingState state;
    state.revision = revision;
    state.version = ConfigVersion { revision };
    state.services = { { "logger", 2000, Milliseconds { 2000 }, 0 }, { "archive", 2000, Milliseconds { 2000 }, 0 } };
    state.routes = { { routeAddress, { 0 }, { 1 } }, { archiveAddress, { 1 }, { 1 } } };
    state.withdrawnZones = std::move(withdrawnZones);
    state.flowIdle = Milliseconds { 15000 };
    return state;
}

/** @brief A synchronized router of zone "a" with a manual clock. */
struct Fixture {
    explicit Fixture(const std::vector<upstream::AgedAnnouncement>& announcements, std::uint64_t seed = 1)
        : router { settingsOf(seed) }
    {
        (void)this->router.adopt(stateOf(1), this->now);
        (void)this->router.merge(announcements, this->now);
        this->router.setSynchronized();
    }

    static FlowRouterSettings settingsOf(std::uint64_t seed)
    {
        FlowRouterSettings settings;
        settings.zone = "a";
        settings.seed = seed;
        return settings;
    }

    static FlowPacket openingOf(std::uint16_t port, const Endpoint& service = routeAddress)
    {
        FlowPacket packet;
        packet.caller = { 0x64400007, port };
        packet.service = service;
        packet.sequence = 1000U * port;
        packet.syn = true;
        return packet;
    }

    static FlowPacket packetOf(std::uint16_t port, RoutingToken token, std::uint32_t sequence,
        std::uint32_t acknowledged, std::uint16_t dataBytes)
    {
        FlowPacket packet;
        packet.caller = { 0x64400007, port };
        packet.service = routeAddress;
        packet.token = token;
        packet.sequence = sequence;
        packet.acknowledged = acknowledged;
        packet.dataBytes = dataBytes;
        packet.ack = true;
        return packet;
    }

    RoutingDecision send(const FlowPacket& packet) { return this->router.route(packet, this->now); }

    /** @brief Opens a flow and completes its handshake. @return The token of its upstream; 0 if the flow is refused. */
    RoutingToken open(std::uint16_t port)
    {
        const RoutingDecision decision = this->send(openingOf(port));
        if (decision.action != PacketAction::Forward)
            return {};
        const RoutingToken token = decision.upstream->token;
        this->now += Milliseconds { 5 };
        (void)this->send(packetOf(port, token, 1000U * port + 1, 500, 0));
        return token;
    }

    FlowRouter router;
    TimePoint now { Seconds { 1000 } };
};

} // namespace zinnia::routing::test
