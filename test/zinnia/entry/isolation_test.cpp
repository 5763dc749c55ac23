#include "zinnia/entry/cluster.hpp"

#include <algorithm>
#include <gtest/gtest.h>

namespace zinnia::entry::test {

namespace {

    /** @brief Sends one request and one datagram from each of 12 callers through the live entries in turn. */
    void sendTraffic(Cluster& cluster, std::uint16_t& messageId)
    {
        for (std::uint16_t i = 0; i < 12; ++i) {
            const std::vector<InstanceId> live = cluster.live();
            const InstanceId entry = live[++messageId % live.size()];
            cluster.send(entry, caller(i), makeRequest(i % 2 ? "instruction" : "export", messageId));
            cluster.send(entry, caller(i), datagramAddress, bytesOf("datagram"));
        }
    }

} // namespace

// Guards against packets to the upstreams of a withdrawn zone from a node that has adopted that configuration.
TEST(EntryIsolationTest, withdrawnZoneGetsNoPacket)
{
    Cluster cluster;
    std::uint16_t messageId = 0;
    for (std::uint16_t i = 0; i < 30; ++i) {
        CoapMessage observe = makeRequest("stream", static_cast<std::uint16_t>(50000 + i), coap::get);
        observe.addUint(coap::observe, 0);
        observe.addUint(coap::idempotent, 1);
        cluster.send(InstanceId { 31 }, caller(static_cast<std::uint16_t>(100 + i)), observe);
        cluster.run(Milliseconds { 20 });
    }
    config::Configuration next = cluster.configuration;
    next.version = ConfigVersion { 2 };
    next.zones[1].state = config::ZoneState::Withdrawn;
    for (int round = 0; round < 60; ++round) {
        if (round == 20)
            cluster.publish(next);
        sendTraffic(cluster, messageId);
        for (const auto& [address, upstream] : cluster.upstreams)
            cluster.notify(upstream);
        cluster.run(Milliseconds { 100 });
    }
    std::size_t observers = 0;
    std::size_t packetsAfterWithdrawal = 0;
    for (const auto& [address, upstream] : cluster.upstreams) {
        if (upstream.zone != ZoneId { 2 })
            continue;
        observers += upstream.observers.size();
        EXPECT_GT(upstream.received.size(), 20U) << "the upstream was in use";
        for (const Received& packet : upstream.received) {
            ASSERT_TRUE(cluster.adoptedAt(packet.from).has_value());
            packetsAfterWithdrawal += packet.time < *cluster.adoptedAt(packet.from) ? 0 : 1;
        }
    }
    EXPECT_GT(observers, 0U);
    EXPECT_EQ(packetsAfterWithdrawal, 0U);
}

// Guards against packets of a service that reach an upstream of another service that now uses the same address.
TEST(EntryIsolationTest, reusedAddressGetsNoPacketOfTheFirstService)
{
    Cluster cluster;
    std::uint16_t messageId = 0;
    for (int round = 0; round < 10; ++round) {
        sendTraffic(cluster, messageId);
        cluster.run(Milliseconds { 50 });
    }
    const auto found = std::find_if(
        cluster.upstreams.begin(), cluster.upstreams.end(), [](const auto& row) { return !row.second.runs.empty(); });
    ASSERT_NE(found, cluster.upstreams.end());
    const Endpoint address = found->first;
    found->second = { datagramService, found->second.zone, address, 2 };
    cluster.announce(found->second);
    const TimePoint announced = cluster.now();
    // The update reaches the other entries of the zone within one network delay.
    cluster.run(Milliseconds { 5 });
    found->second.received.clear();
    for (std::uint16_t round = 0; round < 500; ++round) {
        for (const auto& [other, upstream] : cluster.upstreams) {
            if (round % 50 == 0)
                cluster.announce(upstream);
        }
        sendTraffic(cluster, messageId);
        // A new flow in each round, so that the upstream receives flows after its quarantine.
        const Endpoint fresh = caller(static_cast<std::uint16_t>(1000 + round));
        cluster.send(cluster.live().front(), fresh, datagramAddress, bytesOf("datagram"));
        cluster.run(Milliseconds { 100 });
    }
    EXPECT_FALSE(found->second.received.empty());
    for (const Received& packet : found->second.received) {
        EXPECT_EQ(packet.payload, bytesOf("datagram"));
        EXPECT_GT(packet.time - announced, Seconds { 34 }) << "sent during the quarantine";
    }
}

} // namespace zinnia::entry::test
