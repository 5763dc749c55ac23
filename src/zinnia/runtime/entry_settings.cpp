#include "zinnia/runtime/entry_settings.hpp"

namespace zinnia::runtime {

EntrySettings readEntrySettings(TableReader& root)
{
    EntrySettings settings;
    TableReader instance = root.table("instance");
    settings.instance = instance.id<InstanceId>("id");
    settings.zone = instance.id<ZoneId>("zone");
    settings.cluster = readClusterSettings(root);
    TableReader listen = root.table("listen");
    settings.fabric = listen.endpoint("fabric");
    settings.fabricGateway = listen.endpoint("fabric_gateway");
    settings.peer = listen.endpoint("peer");
    settings.registration = listen.endpoint("registration");
    settings.stream = listen.endpoint("stream");
    settings.http = listen.endpoint("http");
    settings.upstreamSide = listen.endpoint("upstream_side");
    settings.controls = readControlSeeds(root);
    for (TableReader& route : root.tables("peer_route"))
        settings.routes.push_back({ route.id<InstanceId>("instance"), route.endpoint("via") });
    TableReader limits = root.table("limits", true);
    settings.maxFlows
        = static_cast<std::uint32_t>(limits.integer("flows", { 1, 4'000'000 }, std::int64_t { settings.maxFlows }));
    settings.maxLocalPorts = static_cast<std::uint32_t>(
        limits.integer("local_ports", { 1, 20'000 }, std::int64_t { settings.maxLocalPorts }));
    settings.naive = root.table("policy", true).boolean("naive", false);
    settings.log = readLogSettings(root);
    return settings;
}

} // namespace zinnia::runtime
