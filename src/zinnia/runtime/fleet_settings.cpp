#include "zinnia/runtime/fleet_settings.hpp"

#include <algorithm>
#include <limits>

namespace zinnia::runtime {

namespace {

    /** Promise of a deployment that service continues while the health endpoints of upstreams mislead. */
    constexpr std::string_view healthPromise = "health";

    constexpr Range<std::int64_t> portRange { 1, std::numeric_limits<std::uint16_t>::max() };

    std::uint32_t addressIn(TableReader& table, std::string_view key)
    {
        const std::string text = table.text(key);
        const auto parsed = Endpoint::parse(text + ":1");
        if (!parsed)
            table.reject(key, text, "an IPv4 address");
        return parsed ? parsed->address : 0;
    }

    std::uint16_t portOf(TableReader& table, std::string_view key)
    {
        return static_cast<std::uint16_t>(table.integer(key, portRange));
    }

} // namespace

std::vector<InstanceId> FleetMember::seedIds() const
{
    std::vector<InstanceId> ids;
    for (const auto& seed : this->seeds)
        ids.push_back(InstanceId { seed.address });
    return ids;
}

std::uint32_t FleetMember::addressOf(InstanceId instance) const
{
    const auto found = this->translations.find(instance);
    return found == this->translations.end() ? instance.value : found->second;
}

FleetMember readFleetMember(TableReader& root)
{
    FleetMember member;
    TableReader instance = root.table("instance");
    member.name = instance.text("name");
    member.address = addressIn(instance, "address");
    member.zone = instance.text("zone");
    TableReader ports = root.table("ports");
    member.ports.feed = portOf(ports, "feed");
    member.ports.stream = portOf(ports, "stream");
    member.ports.metrics = static_cast<std::uint16_t>(ports.integer("metrics", { 0, portRange.most }, 0));
    TableReader discovery = root.table("discovery");
    member.seeds = discovery.endpoints("seeds");
    const auto promises = root.table("promises", true).texts("in_force", std::vector<std::string> {});
    member.sharesLoad = std::find(promises.begin(), promises.end(), healthPromise) != promises.end();
    for (TableReader& table : root.tables("translation")) {
        const InstanceId translated { addressIn(table, "instance") };
        member.translations.insert_or_assign(translated, addressIn(table, "reached_at"));
    }
    return member;
}

FleetSettings readFleetSettings(TableReader& root)
{
    FleetSettings settings;
    settings.member = readFleetMember(root);
    settings.instance = settings.member.id();
    settings.cluster = readClusterSettings(root);
    TableReader listen = root.table("listen");
    settings.http = listen.endpoint("http");
    TableReader storage = root.table("storage");
    settings.folder = storage.text("folder");
    settings.bootstrap = storage.boolean("bootstrap", false);
    TableReader group = root.table("group", true);
    settings.losses.instances = static_cast<std::size_t>(group.integer("lost_instances", { 0, 3 }, 1));
    const double catchUpSeconds = group.number("catch_up_s", { 1, 60 }, 4);
    settings.losses.catchUp = std::chrono::round<Milliseconds>(std::chrono::duration<double> { catchUpSeconds });
    TableReader upstreams = root.table("upstreams");
    settings.heartbeat = upstreams.milliseconds("heartbeat_ms", { Milliseconds { 10 }, Milliseconds { 60000 } });
    settings.log = readLogSettings(root);
    return settings;
}

} // namespace zinnia::runtime
