#include "zinnia/runtime/router_settings.hpp"

namespace zinnia::runtime {

RouterSettings readRouterSettings(TableReader& root)
{
    RouterSettings settings;
    settings.member = readFleetMember(root);
    settings.instance = settings.member.id();
    settings.cluster = readClusterSettings(root);
    TableReader listen = root.table("listen");
    settings.packets = listen.endpoint("packets");
    settings.readiness = listen.endpoint("readiness");
    TableReader link = root.table("link", true);
    settings.linkBitsPerSecond
        = static_cast<std::uint64_t>(link.number("mbit_per_s", { 0, 1'000'000 }, 0.0) * 1'000'000);
    TableReader stop = root.table("stop", true);
    settings.stopDelay
        = stop.milliseconds("delay_ms", { Milliseconds { 0 }, Milliseconds { 60000 } }, settings.stopDelay);
    TableReader spill = root.table("spill", true);
    settings.zoneCostPerKib = spill.milliseconds(
        "cost_ms_per_kib", { Milliseconds { 0 }, Milliseconds { 60000 } }, settings.zoneCostPerKib);
    settings.log = readLogSettings(root);
    return settings;
}

} // namespace zinnia::runtime
