#pragma once

#include "zinnia/config/route_table.hpp"
#include "zinnia/core/bytes.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace zinnia::config {

/** @brief Replaces the route table if its version is higher than that of the active one. */
struct InstallRoutes {
    RouteTable table;
    /** The table as the operator submitted it; returned verbatim to readers. */
    std::string document;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.table, self.document);
    }
};

/** @brief Takes a zone out of service, or returns it to service. */
struct SetZoneWithdrawn {
    std::string zone;
    bool withdrawn {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.zone, self.withdrawn);
    }
};

/** @brief A command in the replicated log. The order of the alternatives is part of the log format. */
using FleetCommand = std::variant<InstallRoutes, SetZoneWithdrawn>;

/** @brief Effect of a command on the state. */
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

/** @brief Replicated state machine of the fleet: the active route table and the withdrawn zones. */
class FleetState {
public:
    /**
     * @brief Applies the next committed command.
     *
     * A route table whose version is not higher is ignored, whatever its content: of two tables with the same version
     * the first in the log stays active, and a resent table changes nothing.
     *
     * @return Whether the command changed the state, and if not, why.
     */
    FleetOutcome apply(const FleetCommand& command);

    [[nodiscard]] const RouteTable& routes() const noexcept { return this->current.table; }
    [[nodiscard]] const std::string& document() const noexcept { return this->current.document; }
    /** @return Names of the withdrawn zones, sorted. */
    [[nodiscard]] const std::vector<std::string>& withdrawnZones() const noexcept { return this->withdrawn; }

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.current, self.withdrawn);
    }

private:
    FleetOutcome execute(const InstallRoutes& command);
    FleetOutcome execute(const SetZoneWithdrawn& command);

    InstallRoutes current;
    std::vector<std::string> withdrawn;
};

} // namespace zinnia::config
