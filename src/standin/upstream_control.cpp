#include "standin/unix_time.hpp"
#include "standin/upstream_process.hpp"
#include "zinnia/runtime/logger.hpp"

#include <algorithm>
#include <array>

namespace zinnia::standin {
namespace {

    using nlohmann::json;

    constexpr NameTable<Warmth::State, 4> warmthNames { {
        { Warmth::State::Cold, "cold" },
        { Warmth::State::Late, "late" },
        { Warmth::State::Failed, "failed" },
        { Warmth::State::Warm, "warm" },
    } };
    static_assert(isDense(warmthNames));

    json unixTime(const std::optional<TimePoint>& time, TimePoint now)
    {
        return time ? json(unixMillisecondsOf(*time, now)) : json(nullptr);
    }

} // namespace

nlohmann::json UpstreamProcess::counters()
{
    json upstreams = json::array();
    for (const auto& member : this->members)
        upstreams.push_back(this->countersOf(*member));
    return { { "zone", this->zone }, { "unix_ms", unixMilliseconds() }, { "upstreams", upstreams },
        { "sent", this->sender.sent() }, { "send_failures", this->sender.dropped() } };
}

nlohmann::json UpstreamProcess::countersOf(Member& member)
{
    const TimePoint now = this->loop->now();
    EmulatedUpstream& upstream = member.upstream;
    const UpstreamSpec& spec = upstream.spec();
    const UpstreamCounters& counters = upstream.counters();
    const Warmth::State state = upstream.warmthState().state(now);
    return {
        { "name", spec.name },
        { "service", spec.service },
        { "address", spec.address.toString() },
        { "incarnation", spec.incarnation.value },
        { "generation", upstream.generation() },
        { "answering", upstream.isAnswering() && state != Warmth::State::Failed },
        { "draining", upstream.isDraining() },
        { "warmth", nameIn(warmthNames, state) },
        { "overloads", upstream.warmthState().overloads() },
        { "failures", upstream.warmthState().failures() },
        { "registered", member.registrar.isRegistered(now) },
        { "registrations_accepted", member.registrar.accepted() },
        { "registrations_refused", member.registrar.refused() },
        { "registrations_unanswered", member.registrar.unanswered() },
        { "packets", counters.packetsByService },
        { "last_packet_unix_ms", unixTime(counters.lastPacket, now) },
        { "misdelivered", counters.misdelivered },
        { "malformed", counters.malformed },
        { "acknowledgements", counters.acknowledgements },
        { "resets", counters.resets },
        { "ran", counters.ran },
        { "refused", counters.refused },
        { "shed", counters.shed },
        { "deadline_exceeded", counters.deadlineExceeded },
        { "cancelled", counters.cancelled },
        { "duplicates", counters.duplicates },
        { "notifications", counters.notifications },
        { "echoed", counters.echoed },
        { "in_flight", upstream.inFlight() },
        { "greatest_in_flight", counters.maxInFlight },
        { "connections", upstream.connections() },
        { "greatest_connections", counters.maxConnections },
        { "connections_refused", counters.connectionsRefused },
        { "observers", upstream.observers() },
        { "drain_started_unix_ms", unixTime(counters.drainStarted, now) },
        { "new_work_while_draining", counters.newWorkWhileDraining },
        { "last_new_work_while_draining_unix_ms", unixTime(counters.lastNewWorkWhileDraining, now) },
    };
}

nlohmann::json UpstreamProcess::runs() const
{
    json list = json::array();
    for (const auto& member : this->members) {
        for (const auto& [id, count] : member->upstream.counters().runs)
            list.push_back(json::array({ id, count }));
    }
    return { { "runs", list } };
}

ControlResult UpstreamProcess::setFault(const json& body)
{
    struct Row {
        std::string_view name;
        Fault apply;
    };
    constexpr std::array faults {
        Row { "cold", &UpstreamProcess::cold },
        Row { "drain", &UpstreamProcess::drain },
        Row { "undrain", &UpstreamProcess::undrain },
        Row { "silence", &UpstreamProcess::silence },
        Row { "answer", &UpstreamProcess::answer },
        Row { "shed", &UpstreamProcess::shed },
        Row { "restart", &UpstreamProcess::restart },
        Row { "move", &UpstreamProcess::move },
    };
    const auto faultName = body.at("fault").get<std::string>();
    const auto upstreamName = body.at("upstream").get<std::string>();
    const auto* fault
        = std::find_if(faults.begin(), faults.end(), [&](const Row& row) { return row.name == faultName; });
    if (fault == faults.end())
        return ControlError::UnknownName;
    if (body.contains("mode") && !valueIn(config::serviceModeNames, body.at("mode").get<std::string>()))
        return ControlError::UnknownName;
    std::size_t changed = 0;
    for (const auto& member : this->members) {
        if (upstreamName != "*" && upstreamName != member->upstream.spec().name)
            continue;
        (this->*fault->apply)(*member, body);
        ++changed;
    }
    if (changed == 0)
        return ControlError::UnknownName;
    runtime::log(Event::EmulatedFaultSet, runtime::Field { "fault", faultName },
        runtime::Field { "upstream", upstreamName }, runtime::Field { "count", changed });
    return ControlAnswer { { { "changed", changed } } };
}

void UpstreamProcess::cold(Member& member, const json&) { member.upstream.turnCold(this->loop->now()); }

void UpstreamProcess::drain(Member& member, const json&)
{
    member.upstream.setDraining(true, this->loop->now());
    member.registrar.renewNow();
}

void UpstreamProcess::undrain(Member& member, const json&)
{
    member.upstream.setDraining(false, this->loop->now());
    member.registrar.renewNow();
}

/** Emulates a dead process: the upstream neither answers nor, by default, renews its registration. */
void UpstreamProcess::silence(Member& member, const json& body)
{
    member.upstream.setAnswering(false);
    member.registering = body.value("registering", false);
}

void UpstreamProcess::answer(Member& member, const json&)
{
    member.upstream.setAnswering(true);
    member.registering = true;
    member.registrar.renewNow();
}

void UpstreamProcess::shed(Member& member, const json& body)
{
    member.upstream.setShedding(body.at("share").get<double>());
}

void UpstreamProcess::restart(Member& member, const json&)
{
    member.upstream.restart(this->loop->now());
    member.registering = true;
    member.registrar.renewNow();
}

void UpstreamProcess::move(Member& member, const json& body)
{
    // `setFault` has validated the name.
    const auto mode = valueIn(config::serviceModeNames, body.value("mode", std::string {}));
    member.upstream.moveTo(
        body.at("service").get<std::string>(), mode.value_or(member.upstream.spec().mode), this->loop->now());
    member.registrar.renewNow();
}

ControlRoutes UpstreamProcess::routes()
{
    return {
        { "GET /v1/counters", [this](const json&) -> ControlResult { return ControlAnswer { this->counters() }; } },
        { "GET /v1/runs", [this](const json&) -> ControlResult { return ControlAnswer { this->runs() }; } },
        { "POST /v1/faults", [this](const json& body) { return this->setFault(body); } },
    };
}

} // namespace zinnia::standin
