#include "standin/fabric_process.hpp"
#include "standin/unix_time.hpp"
#include "zinnia/runtime/logger.hpp"

namespace zinnia::standin {

using nlohmann::json;

nlohmann::json FabricProcess::counters() const
{
    const TimePoint now = this->loop->now();
    json services = json::array();
    for (const auto& port : this->services)
        services.push_back({ { "name", port->service.name }, { "from_callers", port->fromCallers },
            { "to_callers", port->toCallers } });
    json entries = json::array();
    json zones = json::object();
    for (const auto& entry : this->choice.all()) {
        entries.push_back({ { "instance", entry.instance.value }, { "zone", entry.zone },
            { "packets_to", entry.packetsTo }, { "packets_from", entry.packetsFrom }, { "refusals", entry.refusals },
            { "left_out", entry.refusedUntil > now } });
        json& zone = zones.emplace(entry.zone, json::object()).first.value();
        zone["packets_to"] = zone.value("packets_to", std::uint64_t { 0 }) + entry.packetsTo;
        zone["packets_from"] = zone.value("packets_from", std::uint64_t { 0 }) + entry.packetsFrom;
        const auto last = this->lastPacketToZone.find(entry.zone);
        if (last != this->lastPacketToZone.end())
            zone["last_packet_unix_ms"] = unixMillisecondsOf(last->second, now);
    }
    std::size_t streams = 0;
    for (const auto& relay : this->streamRelays)
        streams += relay->connections();
    json links = json::array();
    for (const auto& [key, counter] : this->links.counters())
        links.push_back({ { "from", key.first }, { "to", key.second }, { "passed", counter.passed },
            { "dropped", counter.dropped } });
    json rules = json::array();
    for (const auto& [key, rule] : this->links.all())
        rules.push_back({ { "from", key.first }, { "to", key.second }, { "delay_ms", rule.delay.count() / 1000.0 },
            { "drop", rule.drop }, { "cut", rule.partitioned } });
    return { { "services", services }, { "entries", entries }, { "zones", zones }, { "links", links },
        { "rules", rules }, { "without_entry", this->withoutEntry }, { "malformed", this->malformed },
        { "streams", streams }, { "delayed", this->delayLine.waiting() }, { "sent", this->delayLine.sender().sent() },
        { "send_failures", this->delayLine.sender().dropped() } };
}

ControlResult FabricProcess::setLink(const json& body)
{
    LinkRule rule;
    constexpr double microsecondsPerMillisecond = 1000;
    rule.delay = Microseconds { static_cast<std::int64_t>(body.value("delay_ms", 0.0) * microsecondsPerMillisecond) };
    rule.drop = body.value("drop", 0.0);
    rule.partitioned = body.value("cut", false);
    this->links.set(body.at("from").get<std::string>(), body.at("to").get<std::string>(), rule);
    runtime::log(Event::FabricRuleChanged, runtime::Field { "rule", body.dump() });
    return ControlAnswer { json::object() };
}

ControlResult FabricProcess::setPartitioned(const json& body, bool partitioned)
{
    if (!partitioned && body.empty()) {
        this->links.endPartitions();
    } else {
        const auto from = body.at("from").get<std::string>();
        const auto to = body.at("to").get<std::string>();
        this->links.setPartitioned(from, to, partitioned);
        if (body.value("both", true))
            this->links.setPartitioned(to, from, partitioned);
    }
    runtime::log(
        Event::FabricRuleChanged, runtime::Field { "cut", partitioned }, runtime::Field { "rule", body.dump() });
    return ControlAnswer { json::object() };
}

ControlRoutes FabricProcess::routes()
{
    return {
        { "GET /v1/counters", [this](const json&) -> ControlResult { return ControlAnswer { this->counters() }; } },
        { "POST /v1/links", [this](const json& body) { return this->setLink(body); } },
        { "POST /v1/cut", [this](const json& body) { return this->setPartitioned(body, true); } },
        { "POST /v1/heal", [this](const json& body) { return this->setPartitioned(body, false); } },
    };
}

} // namespace zinnia::standin
