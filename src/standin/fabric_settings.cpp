#include "standin/fabric_settings.hpp"

#include "standin/upstream_settings.hpp"

#include <charconv>

namespace zinnia::standin {
namespace {

    constexpr runtime::Range<std::int64_t> seedRange { 0, std::numeric_limits<std::int64_t>::max() };
    constexpr unsigned addressBits = 32;

    ZoneNetwork readNetwork(runtime::TableReader& table)
    {
        const std::string zone = table.text("name");
        const std::string text = table.text("network");
        auto network = ZoneNetwork::parse(zone, text);
        if (!network)
            table.reject("network", text, "a network of the form a.b.c.d/bits");
        return network.value_or(ZoneNetwork {});
    }

    FabricRelay readRelay(runtime::TableReader& table)
    {
        return { table.endpoint("listen"), table.endpoint("target"), table.text("to"), table.text("from", "") };
    }

    FabricLink readLink(runtime::TableReader& table)
    {
        FabricLink link;
        link.key = { table.text("from"), table.text("to") };
        link.rule.delay = readMilliseconds(table, "delay_ms", Microseconds { 0 });
        link.rule.drop = table.number("drop", { 0, 1 }, 0);
        link.rule.partitioned = table.boolean("cut", false);
        return link;
    }

} // namespace

std::optional<ZoneNetwork> ZoneNetwork::parse(const std::string& zone, const std::string& text)
{
    const std::size_t slash = text.find('/');
    if (slash == std::string::npos)
        return std::nullopt;
    ZoneNetwork network { zone, 0, 0 };
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data() + slash + 1, end, network.prefixBits);
    const auto address = Endpoint::parse(text.substr(0, slash) + ":1");
    if (error != std::errc {} || stop != end || !address || network.prefixBits > addressBits)
        return std::nullopt;
    network.address = address->address;
    return network;
}

bool ZoneNetwork::contains(std::uint32_t candidate) const noexcept
{
    return this->prefixBits == 0 || ((candidate ^ this->address) >> (addressBits - this->prefixBits)) == 0;
}

FabricSettings readFabricSettings(runtime::TableReader& root)
{
    FabricSettings settings;
    settings.log = runtime::readLogSettings(root);
    settings.control = root.endpoint("control");
    settings.entryListen = root.endpoint("entry_listen");
    settings.choice = root.choice("choice", choiceRuleNames, std::optional { ChoiceRule::Random });
    settings.seed = static_cast<std::uint64_t>(root.integer("seed", seedRange, 1));
    for (auto& table : root.tables("service"))
        settings.services.push_back({ table.text("name"), table.endpoint("address") });
    for (auto& table : root.tables("entry")) {
        FabricEntry entry;
        entry.instance = table.id<InstanceId>("instance");
        entry.zone = table.text("zone");
        entry.address = table.endpoint("address");
        settings.entries.push_back(entry);
    }
    for (auto& table : root.tables("zone"))
        settings.networks.push_back(readNetwork(table));
    for (auto& table : root.tables("relay"))
        settings.relays.push_back(readRelay(table));
    for (auto& table : root.tables("stream_relay"))
        settings.streamRelays.push_back(readRelay(table));
    for (auto& table : root.tables("link"))
        settings.links.push_back(readLink(table));
    return settings;
}

} // namespace zinnia::standin
