#include "standin/fabric_settings.hpp"
#include "standin/load_settings.hpp"
#include "standin/upstream_settings.hpp"
#include "standin/withdrawal_tracker.hpp"

#include <gtest/gtest.h>

namespace zinnia::standin {
namespace {

    // Guards against documented keys that the programs do not read.
    TEST(StandInSettings, ReadsEachProgram)
    {
        const auto fabric = runtime::parseSettings(R"(
            control = "127.0.0.1:1"
            entry_listen = "127.0.9.250:7000"
            choice = "round_robin"
            service = [{ name = "logger", address = "127.0.9.1:5683" }]
            entry = [{ instance = 1, zone = "a", address = "127.0.1.1:7100" }]
            zone = [{ name = "a", network = "127.0.1.0/24" }]
            relay = [{ listen = "127.0.7.1:7200", target = "127.0.1.1:7200", to = "a" }]
            link = [{ from = "a", to = "b", delay_ms = 2, drop = 0.5 }]
        )",
            "fabric.toml", &readFabricSettings);
        ASSERT_TRUE(fabric.has_value());
        EXPECT_TRUE(fabric.value().networks.at(0).contains(Endpoint::parse("127.0.1.77:1")->address));
        EXPECT_FALSE(fabric.value().networks.at(0).contains(Endpoint::parse("127.0.2.1:1")->address));
        EXPECT_EQ(fabric.value().links.at(0).rule.delay, Milliseconds { 2 });

        const auto upstream = runtime::parseSettings(R"(
            control = "127.0.0.1:1"
            zone = "a"
            registration_listen = "127.0.3.1:0"
            entries = ["127.0.1.1:5683"]
            service = { name = "logger", mode = "request" }
            warmth = { windows = 3, first_in_flight = 2, first_flows = 4, overloads_to_fail = 5, outage_ms = 100 }
            kind = [{ path = "sluice", style = "separate", median_ms = 2.5, spread = 0.1 }]
            upstream = [{ name = "x", address = "127.0.3.1:1", report = "false" }, { name = "y", address = "127.0.3.2:1" }]
        )",
            "upstream.toml", &readUpstreamSettings);
        ASSERT_TRUE(upstream.has_value());
        EXPECT_EQ(upstream.value().upstreams.at(0).kinds.at(0).median, Microseconds { 2500 });
        EXPECT_NE(upstream.value().upstreams.at(0).seed, upstream.value().upstreams.at(1).seed);

        const auto load = runtime::parseSettings(R"(
            control = "127.0.0.1:1"
            callers = "127.0.8.1:0"
            output = "x"
            flow = [{ type = "stream", service = "logger", address = "127.0.9.1:5683", kind = "level", long_lived = 3 }]
        )",
            "load.toml", &readLoadSettings);
        ASSERT_TRUE(load.has_value());
        EXPECT_EQ(load.value().parts.at(0).flow.path, "level");
    }

    // Guards against an invalid network that is accepted and matches no address.
    TEST(StandInSettings, RejectsAnInvalidNetwork)
    {
        for (const char* text : { "127.0.1.0", "127.0.1.0/33", "127.0.1/24", "127.0.1.0/x", "127.0.1.0/" })
            EXPECT_FALSE(ZoneNetwork::parse("a", text)) << text;
    }

    // Guards against packets after the return of a zone that count as packets to a withdrawn zone.
    TEST(WithdrawalTracker, CountsOnlyWhileWithdrawn)
    {
        WithdrawalTracker tracker;
        tracker.withdraw("a", 10'000);
        tracker.recordPacket("b", 50'000);
        tracker.recordPacket("a", 9'000);
        EXPECT_DOUBLE_EQ(tracker.all().at("a").secondsToLastPacket(), 0);
        tracker.recordPacket("a", 12'500);
        tracker.markReturning("a", 20'000);
        tracker.recordPacket("a", 21'000);
        EXPECT_DOUBLE_EQ(tracker.all().at("a").secondsToLastPacket(), 2.5);
    }

} // namespace
} // namespace zinnia::standin
