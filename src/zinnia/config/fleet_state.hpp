#pragma once

#include "zinnia/config/route_table.hpp"
#include "zinnia/core/bytes.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace zinnia::config {

/** @brief Replaces the route table if its version is higher than the one in force. */
struct InstallRoutes {
    RouteTable table;
    /** The table as the operator sent it, returned to readers unchanged. */
    std::string document;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.table, self.document);
    }
};

/** @brief Takes a zone out of service, or puts it back. */
struct SetZoneWithdrawn {
    std::string zone;
    bool withdrawn {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.zone, self.withdrawn);
    }
};

/** @brief A record of the replicated log. The order of the alternatives is part of the protocol. */
using FleetCommand = std::variant<InstallRoutes, SetZoneWithdrawn>;

/** @brief What a command did. */
enum class FleetOutcome : std::uint8_t { Changed, Superseded, Unchanged };

inline constexpr NameTable<FleetOutcome, 3> fleetOutcomeNames { {
    { FleetOutcome::Changed, "changed" },
    { FleetOutcome::Superseded, "superseded" },
    { FleetOutcome::Unchanged, "unchanged" },
} };
static_assert(isDense(fleetOutcomeNames));

[[nodiscard]] constexpr std::string_view nameOf(FleetOutcome outcome) noexcept
{
    return nameIn(fleetOutcomeNames, outcome);
}

/** @brief Routes and withdrawn zones: the state that the replicated log carries. */
class FleetState {
public:
    /**
     * @brief Applies the next committed command.
     *
     * A route table whose version is not higher changes nothing, whatever its content: of two tables with one
     * version the first in the log stays in force, and a resent one is no change.
     */
    FleetOutcome apply(const FleetCommand& command);

    [[nodiscard]] const RouteTable& routes() const noexcept { return this->current.table; }
    [[nodiscard]] const std::string& document() const noexcept { return this->current.document; }
    /** @return Names of the zones out of service, sorted. */
    [[nodiscard]] const std::vector<std::string>& withdrawnZones() const noexcept { return this->withdrawn; }

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.current, self.withdrawn);
    }

private:
    FleetOutcome run(const InstallRoutes& command);
    FleetOutcome run(const SetZoneWithdrawn& command);

    InstallRoutes current;
    std::vector<std::string> withdrawn;
};

} // namespace zinnia::config
