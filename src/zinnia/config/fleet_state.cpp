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
    const auto position = std::lower_bound(this->withdrawn.begin(), this->withdrawn.end(), command.zone);
    const bool isWithdrawn = position != this->withdrawn.end() && *position == command.zone;
    if (isWithdrawn == command.withdrawn)
        return FleetOutcome::Unchanged;
    if (command.withdrawn)
        this->withdrawn.insert(position, command.zone);
    else
        this->withdrawn.erase(position);
    return FleetOutcome::Changed;
}

} // namespace zinnia::config
