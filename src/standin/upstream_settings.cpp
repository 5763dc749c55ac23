#include "standin/upstream_settings.hpp"

#include "standin/unix_time.hpp"

namespace zinnia::standin {
namespace {

    constexpr runtime::Range<std::int64_t> seedRange { 0, std::numeric_limits<std::int32_t>::max() };
    constexpr runtime::Range<std::int64_t> countRange { 0, 1'000'000 };
    constexpr runtime::Range<std::int64_t> lifetimeRange { 1, 3600 };
    constexpr double maxMilliseconds = 3'600'000;
    constexpr double microsecondsPerMillisecond = 1000;

    std::uint32_t readCount(runtime::TableReader& table, std::string_view key, std::uint32_t fallback)
    {
        return static_cast<std::uint32_t>(table.integer(key, countRange, fallback));
    }

    WarmthLimits readWarmth(runtime::TableReader table)
    {
        WarmthLimits limits;
        limits.windows = readCount(table, "windows", limits.windows);
        limits.firstInFlight = readCount(table, "first_in_flight", limits.firstInFlight);
        limits.firstFlows = readCount(table, "first_flows", limits.firstFlows);
        limits.overloadsToFail = readCount(table, "overloads_to_fail", limits.overloadsToFail);
        limits.outage = readMilliseconds(table, "outage_ms", limits.outage);
        return limits;
    }

    EmulatedKind readKind(runtime::TableReader& table)
    {
        EmulatedKind kind;
        kind.path = table.text("path", "");
        kind.style = table.choice("style", answerStyleNames, std::optional { AnswerStyle::Piggybacked });
        kind.median = readMilliseconds(table, "median_ms", kind.median);
        kind.spread = table.number("spread", { 0, 5 }, kind.spread);
        kind.period = readMilliseconds(table, "period_ms", kind.period);
        return kind;
    }

} // namespace

Microseconds readMilliseconds(runtime::TableReader& table, std::string_view key, Microseconds fallback)
{
    const double value
        = table.number(key, { 0, maxMilliseconds }, static_cast<double>(fallback.count()) / microsecondsPerMillisecond);
    return Microseconds { static_cast<std::int64_t>(value * microsecondsPerMillisecond) };
}

UpstreamSettings readUpstreamSettings(runtime::TableReader& root)
{
    UpstreamSettings settings;
    settings.log = runtime::readLogSettings(root);
    settings.control = root.endpoint("control");
    settings.zone = root.text("zone");
    settings.registrationListen = root.endpoint("registration_listen");
    settings.entries = root.endpoints("entries", std::vector<Endpoint> {});
    settings.lifetime = Seconds { root.integer("lifetime_s", lifetimeRange, settings.lifetime.count()) };
    const auto seed = static_cast<std::uint64_t>(root.integer("seed", seedRange, 1));

    UpstreamSpec common;
    runtime::TableReader service = root.table("service");
    common.service = service.text("name");
    common.mode = service.choice("mode", config::serviceModeNames);
    common.connectionIdle = readMilliseconds(service, "flow_idle_ms", common.connectionIdle);
    common.warmth = readWarmth(root.table("warmth", true));
    for (auto& table : root.tables("kind"))
        common.kinds.push_back(readKind(table));
    // A restarted process has to announce a higher incarnation than before.
    const Incarnation startTime { static_cast<std::uint64_t>(unixMilliseconds()) };
    for (auto& table : root.tables("upstream")) {
        UpstreamSpec spec = common;
        spec.name = table.text("name");
        spec.address = table.endpoint("address");
        spec.slots = readCount(table, "slots", spec.slots);
        spec.connections = readCount(table, "connections", spec.connections);
        spec.incarnation = table.id<Incarnation>("incarnation", startTime);
        spec.report = table.choice("report", reportStyleNames, std::optional { ReportStyle::Honest });
        constexpr std::uint64_t seedStep = 1000; // leaves room for the seeds that one upstream derives
        spec.seed = seed + seedStep * (settings.upstreams.size() + 1);
        settings.upstreams.push_back(std::move(spec));
    }
    return settings;
}

} // namespace zinnia::standin
