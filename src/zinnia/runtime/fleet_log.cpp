#include "zinnia/runtime/fleet_log.hpp"

#include "zinnia/runtime/logger.hpp"
#include "zinnia/wire/archive.hpp"

namespace zinnia::runtime {

Bytes FleetLog::encode(const config::FleetCommand& command) { return wire::encode(command); }

void FleetLog::apply(consensus::LogIndex index, BytesView record)
{
    const auto command = wire::decode<config::FleetCommand>(record);
    if (!command) {
        log(Event::CommandUndecodable, Field { "index", index }, Field { "cause", command.error() });
        return;
    }
    const config::FleetOutcome outcome = this->current.apply(command.value());
    if (const auto* routes = std::get_if<config::InstallRoutes>(&command.value()))
        log(Event::RoutesApplied, Field { "index", index }, Field { "version", routes->table.version },
            Field { "routes", routes->table.routes.size() }, Field { "outcome", outcome });
    else if (const auto* zone = std::get_if<config::SetZoneWithdrawn>(&command.value()))
        log(Event::ZoneStateApplied, Field { "index", index }, Field { "zone", zone->zone },
            Field { "withdrawn", zone->withdrawn }, Field { "outcome", outcome });
    if (outcome == config::FleetOutcome::Changed)
        this->lastChange = index;
}

Bytes FleetLog::snapshot() const { return wire::encode(Snapshot { this->current, this->lastChange }); }

void FleetLog::restore(consensus::LogIndex index, BytesView bytes)
{
    auto snapshot = wire::decode<Snapshot>(bytes);
    if (!snapshot) {
        log(Event::SnapshotRefused, Field { "cause", snapshot.error() });
        return;
    }
    this->current = std::move(snapshot.value().state);
    this->lastChange = snapshot.value().revision;
    log(Event::SnapshotRestored, Field { "index", index }, Field { "version", this->current.routes().version });
}

const feed::RoutingState& FleetLog::routing() const
{
    if (this->compacted.revision != this->lastChange)
        this->compacted
            = feed::makeRoutingState(this->current.routes(), this->current.withdrawnZones(), this->lastChange);
    return this->compacted;
}

} // namespace zinnia::runtime
