#include "zinnia/config/sample.hpp"
#include "zinnia/config/validation.hpp"

#include <functional>
#include <gtest/gtest.h>
#include <limits>

namespace zinnia::config {
namespace {

    struct InvalidCase {
        ConfigErrorCode expectedCode;
        std::string field;
        std::function<void(Configuration&)> invalidate;
    };

    // Guards against accepting a configuration with one error, and against an error that names another field.
    TEST(Validation, NamesTheSingleError)
    {
        using C = Configuration;
        const std::vector<InvalidCase> cases {
            { ConfigErrorCode::BadId, "cluster", [](C& c) { c.cluster = {}; } },
            { ConfigErrorCode::BadId, "zones[1].id",
                [](C& c) {
                    c.entries[1].zone = c.entries[0].zone;
                    c.controls.pop_back();
                    c.controls.pop_back();
                    c.controls.push_back({ InstanceId { 9 }, ZoneId { 3 }, sampleAddress(9, 1), sampleAddress(9, 2) });
                    c.zones[1].id = {};
                } },
            { ConfigErrorCode::BadName, "services[0].name", [](C& c) { c.services[0].name = "a b"; } },
            { ConfigErrorCode::BadName, "zones[2].name", [](C& c) { c.zones[2].name = std::string(65, 'x'); } },
            { ConfigErrorCode::BadAddress, "services[1].address", [](C& c) { c.services[1].address.port = 0; } },
            { ConfigErrorCode::BadBucketCount, "services[0].buckets", [](C& c) { c.services[0].buckets = 0; } },
            { ConfigErrorCode::BadBucketCount, "services[0].buckets", [](C& c) { c.services[0].buckets = 65537; } },
            { ConfigErrorCode::BadWeight, "zones[0].weight",
                [](C& c) { c.zones[0].weight = std::numeric_limits<double>::quiet_NaN(); } },
            { ConfigErrorCode::BadWeight, "services[0].kinds[1].weight",
                [](C& c) { c.services[0].kinds[1].weight = -1; } },
            { ConfigErrorCode::BadDuration, "services[0].flow_idle_ms",
                [](C& c) { c.services[0].flowIdleTimeout = {}; } },
            { ConfigErrorCode::BadDuration, "services[0].kinds[0].deadline_ms",
                [](C& c) { c.services[0].kinds[0].deadline = {}; } },
            { ConfigErrorCode::DuplicateId, "services[1].id", [](C& c) { c.services[1].id = c.services[0].id; } },
            { ConfigErrorCode::DuplicateId, "controls[0].id", [](C& c) { c.controls[0].id = c.entries[0].id; } },
            { ConfigErrorCode::DuplicateName, "zones[1].name", [](C& c) { c.zones[1].name = c.zones[0].name; } },
            { ConfigErrorCode::DuplicateName, "services[0].kinds[1].name",
                [](C& c) { c.services[0].kinds[1].name = "instruction"; } },
            { ConfigErrorCode::DuplicatePath, "services[0].kinds[1].path",
                [](C& c) { c.services[0].kinds[1].path = "instruction"; } },
            { ConfigErrorCode::DuplicateAddress, "entries[0].fabric_address",
                [](C& c) { c.entries[0].fabricAddress = c.entries[0].peerAddress; } },
            { ConfigErrorCode::DuplicateAddress, "entries[2].peer_address",
                [](C& c) { c.entries[2].peerAddress = c.services[0].address; } },
            { ConfigErrorCode::DuplicateAddress, "controls[1].http_address",
                [](C& c) { c.controls[1].httpAddress = c.entries[0].streamAddress; } },
            { ConfigErrorCode::UnknownZone, "entries[0].zone", [](C& c) { c.entries[0].zone = ZoneId { 9 }; } },
            { ConfigErrorCode::UnknownZone, "controls[0].zone", [](C& c) { c.controls[0].zone = ZoneId { 9 }; } },
            { ConfigErrorCode::KindsOfDatagramService, "services[1].kinds",
                [](C& c) { c.services[1].kinds = c.services[0].kinds; } },
            { ConfigErrorCode::NoService, "services", [](C& c) { c.services.clear(); } },
            { ConfigErrorCode::NoEntry, "entries", [](C& c) { c.entries.clear(); } },
            { ConfigErrorCode::NoEntry, "entries",
                [](C& c) {
                    c.entries.resize(1);
                    c.zones[0].state = ZoneState::Withdrawn;
                } },
            { ConfigErrorCode::BadControlCount, "controls", [](C& c) { c.controls.clear(); } },
            { ConfigErrorCode::ControlMajority, "controls", [](C& c) { c.controls[1].zone = c.controls[0].zone; } },
            { ConfigErrorCode::ControlMajority, "controls", [](C& c) { c.controls.resize(1); } },
            { ConfigErrorCode::UnknownService, "drained[0].service",
                [](C& c) {
                    c.drained.push_back({ ServiceId { 9 }, "u" });
                } },
            { ConfigErrorCode::BadName, "drained[0].name",
                [](C& c) {
                    c.drained.push_back({ ServiceId { 1 }, "" });
                } },
            { ConfigErrorCode::TooMany, "entries", [](C& c) { c.entries.resize(maxListElements + 1); } },
        };
        ASSERT_TRUE(validate(sampleConfiguration()).empty());
        for (const InvalidCase& invalidCase : cases) {
            Configuration configuration = sampleConfiguration();
            invalidCase.invalidate(configuration);
            const ConfigErrors errors = validate(configuration);
            ASSERT_EQ(errors.size(), 1U) << invalidCase.field << " " << nameOf(invalidCase.expectedCode);
            EXPECT_EQ(nameOf(errors[0].code), nameOf(invalidCase.expectedCode));
            EXPECT_EQ(errors[0].field, invalidCase.field);
        }
    }

    // Guards against a majority check that makes a cluster with one zone impossible.
    TEST(Validation, AllowsAllControlsInTheOnlyZone)
    {
        Configuration configuration = sampleConfiguration();
        configuration.zones.resize(1);
        for (auto& entry : configuration.entries)
            entry.zone = ZoneId { 1 };
        for (auto& control : configuration.controls)
            control.zone = ZoneId { 1 };
        EXPECT_TRUE(validate(configuration).empty());
    }

    // Guards against a validation that stops at the first error.
    TEST(Validation, CollectsEveryError)
    {
        Configuration configuration = sampleConfiguration();
        for (auto& zone : configuration.zones)
            zone.state = ZoneState::Withdrawn;
        configuration.services[0].buckets = 0;
        EXPECT_EQ(validate(configuration).size(), 3U);
    }

    // Guards against accepting rules that have no effect.
    TEST(Validation, RefusesRulesWithoutTarget)
    {
        const Rules rules { { { "logger", "export", 1, {} }, { "logger", "export", 2, {} }, { "logger", "x", 1, {} },
                                { "x", "y", 1, {} } },
            { { "zone-a", 0.0 }, { "zone-x", 1.0 } }, { { "archive", Milliseconds { 1 } } } };
        std::string errorLines;
        for (const auto& error : validateRules(rules, sampleConfiguration()))
            errorLines += std::string { nameOf(error.code) } + " " + error.field + "\n";
        EXPECT_EQ(errorLines,
            "duplicate_rule rules.kinds[1]\nunknown_kind rules.kinds[2].kind\nunknown_service rules.kinds[3].service\n"
            "bad_weight rules.zones[0].weight\nunknown_zone rules.zones[1].zone\n"
            "bad_duration rules.idle[0].flow_idle_ms\n");
    }

} // namespace
} // namespace zinnia::config
