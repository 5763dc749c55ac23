#include "zinnia/config/fleet_state.hpp"

#include <algorithm>

namespace zinnia::config {

FleetOutcome FleetState::apply(const FleetCommand& command)
{
    return std::visit([this](const auto& alternative) { return this->execute(alternative); }, command);
}

FleetOutcome FleetState::execute(const InstallRoutes& command)
{
    if (command.table.version <= this->current.table.version)
        return FleetOutcome::Superseded;
    this->current = command;
    return FleetOutcome::Changed;
}

FleetOutcome FleetState::execute(const SetZoneWithdrawn& command)
{
    const auto place = std::lower_bound(this->withdrawn.begin(), this->withdrawn.end(), command.zone);
    const bool isWithdrawn = place != this->withdrawn.end() && *place == command.zone;
    if (isWithdrawn == command.withdrawn)
        return FleetOutcome::Unchanged;
    if (command.withdrawn)
        this->withdrawn.insert(place, command.zone);
    else
        this->withdrawn.erase(place);
    return FleetOutcome::Changed;
}

} // namespace zinnia::config
