#include "zinnia/config/fleet_state.hpp"

#include <gtest/gtest.h>

namespace zinnia::config {
namespace {

    RouteTable tableOf(std::uint64_t version)
    {
        RouteTable table;
        table.version = ConfigVersion { version };
        table.services
            = { { "logger", 2000, Milliseconds { 2000 }, 0 }, { "archive", 2000, Milliseconds { 2000 }, 0 } };
        table.routes.push_back({ "r-1", { 0xC6120001, 443 }, RequestClass::Idempotent, Milliseconds { 1000 }, 2,
            { { "logger", 90 }, { "archive", 10 } } });
        table.routes.push_back(
            { "r-2", { 0xC6120002, 443 }, RequestClass::Download, Milliseconds { 5000 }, 2, { { "archive", 1 } } });
        return table;
    }

    RouteTableErrorCode errorCodeOf(const RouteTable& table)
    {
        const auto result = validate(table);
        EXPECT_FALSE(result);
        return result ? RouteTableErrorCode::NoVersion : result.error().code;
    }

    // Guards against invalid route tables that become active.
    TEST(RouteTable, NamesEachError)
    {
        EXPECT_TRUE(validate(tableOf(7)));
        EXPECT_EQ(errorCodeOf(tableOf(0)), RouteTableErrorCode::NoVersion);
        RouteTable table = tableOf(7);
        table.routes[1].shares[0].service = "unknown";
        EXPECT_EQ(errorCodeOf(table), RouteTableErrorCode::UnknownService);
        table = tableOf(7);
        table.routes[1].address = table.routes[0].address;
        EXPECT_EQ(errorCodeOf(table), RouteTableErrorCode::DuplicateAddress);
        table = tableOf(7);
        table.routes[0].timeout = Milliseconds { 0 };
        EXPECT_EQ(errorCodeOf(table), RouteTableErrorCode::NoTimeout);
        table = tableOf(7);
        table.services[0].name = std::string(256, 'x');
        EXPECT_EQ(errorCodeOf(table), RouteTableErrorCode::NameTooLong);
        table = tableOf(7);
        table.routes[0].shares = { { "logger", 0 } };
        EXPECT_EQ(errorCodeOf(table), RouteTableErrorCode::NoWeight);
        table = tableOf(7);
        table.services.push_back(table.services[0]);
        EXPECT_EQ(errorCodeOf(table), RouteTableErrorCode::DuplicateService);
    }

    // Guards against a resent or outdated table, or other content with the same version, that replaces the active one.
    TEST(FleetState, OnlyAHigherVersionChangesTheRoutes)
    {
        FleetState state;
        EXPECT_EQ(state.apply(InstallRoutes { tableOf(7), "seven" }), FleetOutcome::Changed);
        RouteTable other = tableOf(7);
        other.routes.pop_back();
        EXPECT_EQ(state.apply(InstallRoutes { other, "other seven" }), FleetOutcome::Superseded);
        EXPECT_EQ(state.apply(InstallRoutes { tableOf(5), "five" }), FleetOutcome::Superseded);
        EXPECT_EQ(state.document(), "seven");
        EXPECT_EQ(state.apply(InstallRoutes { tableOf(9), "nine" }), FleetOutcome::Changed);
        EXPECT_EQ(state.routes().version, ConfigVersion { 9 });
    }

    // Guards against a zone that stays out of service, or returns to it, because a command was sent twice.
    TEST(FleetState, WithdrawalsAreIdempotent)
    {
        FleetState state;
        EXPECT_EQ(state.apply(SetZoneWithdrawn { "b", true }), FleetOutcome::Changed);
        EXPECT_EQ(state.apply(SetZoneWithdrawn { "b", true }), FleetOutcome::Unchanged);
        EXPECT_EQ(state.apply(SetZoneWithdrawn { "a", true }), FleetOutcome::Changed);
        EXPECT_EQ(state.withdrawnZones(), (std::vector<std::string> { "a", "b" }));
        EXPECT_EQ(state.apply(SetZoneWithdrawn { "b", false }), FleetOutcome::Changed);
        EXPECT_EQ(state.apply(SetZoneWithdrawn { "c", false }), FleetOutcome::Unchanged);
        EXPECT_EQ(state.withdrawnZones(), (std::vector<std::string> { "a" }));
    }

} // namespace
} // namespace zinnia::config
