#include "standin/load_settings.hpp"

#include "standin/upstream_settings.hpp"

#include <array>

namespace zinnia::standin {
namespace {

    constexpr runtime::Range<std::int64_t> seedRange { 0, std::numeric_limits<std::int32_t>::max() };
    constexpr runtime::Range<std::int64_t> generatorRange { 1, 1'000'000 };
    constexpr runtime::Range<std::int64_t> durationRange { 1, 86400 };
    constexpr runtime::Range<std::int64_t> flowRange { 0, 20'000 };
    constexpr runtime::Range<std::int64_t> priorityRange { 0, 255 };
    constexpr runtime::Range<Milliseconds> deadlineRange { Milliseconds { 1 }, Milliseconds { 600'000 } };
    constexpr double maxPerSecond = 20'000;
    constexpr double maxWeight = 1'000'000;
    constexpr std::array<std::uint8_t, 3> methodCodes { coap::get, coap::post, coap::put };

    LoadPart readPart(runtime::TableReader& table)
    {
        LoadPart part;
        part.type = table.choice("type", flowTypeNames);
        part.flow.service = table.text("service");
        part.flow.address = table.endpoint("address");
        part.flow.lifetime = readMilliseconds(table, "lifetime_ms", part.flow.lifetime);
        part.flow.interval = readMilliseconds(table, "interval_ms", part.flow.interval);
        part.newPerSecond = table.number("new_per_second", { 0, maxPerSecond }, 0);
        part.longLived = static_cast<std::uint32_t>(table.integer("long_lived", flowRange, 0));
        if (part.type == FlowType::Datagram)
            return part;
        part.flow.kind = table.text("kind");
        part.flow.path = table.text("path", part.flow.kind);
        part.flow.method = methodCodes.at(static_cast<std::size_t>(
            table.choice("method", requestMethodNames, std::optional { RequestMethod::Post })));
        part.flow.priority = static_cast<std::uint8_t>(table.integer("priority", priorityRange, 0));
        part.flow.idempotent = table.boolean("idempotent", false);
        part.flow.deadline = table.milliseconds("deadline_ms", deadlineRange, part.flow.deadline);
        part.weight = table.number("weight", { 0, maxWeight }, 1);
        return part;
    }

} // namespace

LoadSettings readLoadSettings(runtime::TableReader& root)
{
    LoadSettings settings;
    settings.log = runtime::readLogSettings(root);
    settings.control = root.endpoint("control");
    settings.seed = static_cast<std::uint64_t>(root.integer("seed", seedRange, 1));
    settings.generator = static_cast<std::uint32_t>(root.integer("generator", generatorRange, 1));
    settings.duration = Seconds { root.integer("duration_s", durationRange, settings.duration.count()) };
    settings.callers = root.endpoint("callers");
    settings.output = root.text("output");
    settings.upstreamControls = root.endpoints("upstream_controls", std::vector<Endpoint> {});
    settings.fabricControls = root.endpoints("fabric_controls", std::vector<Endpoint> {});
    for (auto& table : root.tables("flow"))
        settings.parts.push_back(readPart(table));
    return settings;
}

} // namespace zinnia::standin
