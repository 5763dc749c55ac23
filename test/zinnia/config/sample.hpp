#pragma once

#include "zinnia/config/command.hpp"

namespace zinnia::config {

inline constexpr ClusterId sampleCluster { 77 };

inline Endpoint sampleAddress(unsigned host, std::uint16_t port) { return Endpoint { 0x7F000000U + host, port }; }

/** @brief Three zones with one entry and one control instance each, a request service and a datagram service. */
inline ApplyInventory sampleInventory()
{
    ApplyInventory inventory;
    inventory.cluster = sampleCluster;
    inventory.services = {
        { ServiceId { 1 }, "logger", sampleAddress(1, 5683), ServiceMode::Request, 1024, Milliseconds { 60000 },
            { { "instruction", "instruction", 0, 5.0, false, Milliseconds { 2000 } },
                { "export", "export", 4, 1.0, true, Milliseconds { 9000 } } } },
        { ServiceId { 2 }, "archive", sampleAddress(2, 5683), ServiceMode::Datagram, 64, Milliseconds { 60000 }, {} },
    };
    for (std::uint16_t i = 1; i <= 3; ++i) {
        const ZoneId zone { i };
        inventory.zones.push_back({ zone, std::string { "zone-" } + static_cast<char>('a' + i - 1) });
        inventory.entries.push_back({ InstanceId { 10U + i }, zone, sampleAddress(10U + i, 7000),
            sampleAddress(10U + i, 7001), sampleAddress(10U + i, 7002) });
        inventory.controls.push_back(
            { InstanceId { 20U + i }, zone, sampleAddress(20U + i, 7100), sampleAddress(20U + i, 7101) });
    }
    return inventory;
}

/** @brief Version 1 of the configuration that results from `sampleInventory`. */
inline Configuration sampleConfiguration()
{
    ApplyInventory inventory = sampleInventory();
    Configuration configuration;
    configuration.cluster = inventory.cluster;
    configuration.version = ConfigVersion { 1 };
    configuration.services = inventory.services;
    configuration.zones = inventory.zones;
    configuration.entries = inventory.entries;
    configuration.controls = inventory.controls;
    return configuration;
}

} // namespace zinnia::config
