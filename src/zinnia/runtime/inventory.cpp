#include "zinnia/runtime/inventory.hpp"

#include "zinnia/config/validation.hpp"

#include <array>
#include <map>
#include <optional>

namespace zinnia::runtime {

namespace {

    constexpr std::int64_t maxPriority = 255;
    constexpr Range<double> weights { 0.0, 1000.0 };
    constexpr Range<Milliseconds> durations { Milliseconds { 1 }, Milliseconds { std::chrono::hours { 24 } } };

    config::RequestKind readKind(TableReader& table)
    {
        config::RequestKind kind;
        kind.name = table.text("name");
        kind.path = table.text("path");
        kind.priority = static_cast<std::uint8_t>(table.integer("priority", { 0, maxPriority }));
        kind.weight = table.number("weight", weights, 1.0);
        kind.idempotent = table.boolean("idempotent");
        kind.deadline = table.milliseconds("deadline_ms", durations, kind.deadline);
        return kind;
    }

    config::Service readService(TableReader& table)
    {
        config::Service service;
        service.id = table.id<ServiceId>("id");
        service.name = table.text("name");
        service.address = table.endpoint("address");
        service.mode = table.choice("mode", config::serviceModeNames);
        service.buckets = static_cast<std::uint32_t>(
            table.integer("buckets", { 1, config::maxBuckets }, std::int64_t { service.buckets }));
        service.flowIdleTimeout = table.milliseconds("flow_idle_ms", durations, service.flowIdleTimeout);
        for (TableReader& kind : table.tables("kind"))
            service.kinds.push_back(readKind(kind));
        return service;
    }

    config::Zone readZone(TableReader& table)
    {
        config::Zone zone;
        zone.id = table.id<ZoneId>("id");
        zone.name = table.text("name");
        zone.weight = table.number("weight", weights, 1.0);
        return zone;
    }

    /** @brief Reads the key "zone": the name of a zone of the same file. */
    ZoneId readZoneName(TableReader& table, const std::vector<config::Zone>& zones)
    {
        const std::string name = table.text("zone", "");
        std::string zoneNames;
        for (const config::Zone& zone : zones) {
            if (zone.name == name)
                return zone.id;
            zoneNames += (zoneNames.empty() ? "" : ", ") + zone.name;
        }
        table.reject("zone", name, "the name of a zone: " + zoneNames);
        return {};
    }

    config::ApplyInventory readInventory(TableReader& root)
    {
        config::ApplyInventory inventory;
        inventory.cluster = root.id<ClusterId>("cluster");
        for (TableReader& table : root.tables("service"))
            inventory.services.push_back(readService(table));
        for (TableReader& table : root.tables("zone"))
            inventory.zones.push_back(readZone(table));
        for (TableReader& table : root.tables("entry")) {
            config::Entry entry;
            entry.id = table.id<InstanceId>("id");
            entry.zone = readZoneName(table, inventory.zones);
            entry.peerAddress = table.endpoint("peer_address");
            entry.fabricAddress = table.endpoint("fabric_address");
            entry.streamAddress = table.endpoint("stream_address");
            inventory.entries.push_back(entry);
        }
        for (TableReader& table : root.tables("control")) {
            config::Control control;
            control.id = table.id<InstanceId>("id");
            control.zone = readZoneName(table, inventory.zones);
            control.streamAddress = table.endpoint("stream_address");
            control.httpAddress = table.endpoint("http_address");
            inventory.controls.push_back(control);
        }
        return inventory;
    }

    /** @return The key of the file for a field of the configuration: "entries[1].zone" is "entry[1].zone". */
    std::string keyOf(std::string field)
    {
        constexpr std::array<std::pair<std::string_view, std::string_view>, 5> lists { {
            { "services", "service" },
            { "zones", "zone" },
            { "entries", "entry" },
            { "controls", "control" },
            { "kinds", "kind" },
        } };
        for (const auto& [plural, singular] : lists) {
            if (const auto position = field.find(plural); position != std::string::npos)
                field.replace(position, plural.size(), singular);
        }
        return field;
    }

    SettingsErrors validateInventory(const config::ApplyInventory& inventory, const std::string& file)
    {
        config::Configuration configuration;
        configuration.cluster = inventory.cluster;
        configuration.services = inventory.services;
        configuration.zones = inventory.zones;
        configuration.entries = inventory.entries;
        configuration.controls = inventory.controls;
        SettingsErrors errors;
        for (const config::ConfigError& failure : config::validate(configuration)) {
            const std::string reason = std::string { nameOf(failure.code) } + "; " + failure.allowed;
            errors.push_back({ SettingsFault::NotAllowed, file, 0, keyOf(failure.field), failure.value, reason });
        }
        return errors;
    }

    Result<config::ApplyInventory, SettingsErrors> validated(
        Result<config::ApplyInventory, SettingsErrors> inventory, const std::string& file)
    {
        if (!inventory)
            return inventory;
        SettingsErrors errors = validateInventory(inventory.value(), file);
        if (!errors.empty())
            return errors;
        return inventory;
    }

    config::ApplyRules readRules(TableReader& root)
    {
        config::Rules rules;
        for (TableReader& table : root.tables("kind")) {
            config::KindRule rule;
            rule.service = table.text("service");
            rule.kind = table.text("kind");
            if (table.has("priority"))
                rule.priority = static_cast<std::uint8_t>(table.integer("priority", { 0, maxPriority }));
            if (table.has("weight"))
                rule.weight = table.number("weight", weights);
            rules.kinds.push_back(rule);
        }
        for (TableReader& table : root.tables("zone"))
            rules.zones.push_back({ table.text("zone"), table.number("weight", weights) });
        for (TableReader& table : root.tables("idle"))
            rules.idle.push_back({ table.text("service"), table.milliseconds("flow_idle_ms", durations) });
        return { rules };
    }

} // namespace

Result<config::ApplyInventory, SettingsErrors> loadInventory(const std::string& file)
{
    return validated(loadSettings(file, readInventory), file);
}

Result<config::ApplyInventory, SettingsErrors> parseInventory(std::string_view text, const std::string& file)
{
    return validated(parseSettings(text, file, readInventory), file);
}

Result<config::ApplyRules, SettingsErrors> loadRules(const std::string& file) { return loadSettings(file, readRules); }

Result<config::ApplyRules, SettingsErrors> parseRules(std::string_view text, const std::string& file)
{
    return parseSettings(text, file, readRules);
}

} // namespace zinnia::runtime
