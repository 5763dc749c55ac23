#include "standin/load_process.hpp"

#include "standin/load_report.hpp"
#include "standin/unix_time.hpp"
#include "zinnia/runtime/logger.hpp"

#include <algorithm>
#include <iostream>

namespace zinnia::standin {
namespace {

    constexpr Milliseconds tickInterval { 10 };
    constexpr Milliseconds sampleInterval { 100 };
    constexpr Seconds longLivedRamp { 1 };
    /** Maximum wait for open requests at the end of a run. */
    constexpr Seconds finishTimeout { 20 };
    constexpr int callerBufferBytes = 1 << 16;

} // namespace

Result<std::unique_ptr<LoadProcess>, StartError> LoadProcess::create(
    runtime::EventLoop& loop, const LoadSettings& settings)
{
    std::unique_ptr<LoadProcess> process { new LoadProcess { loop, settings } };
    if (!process->output)
        return StartError::OutputFailed;
    process->tick();
    return process;
}

LoadProcess::LoadProcess(runtime::EventLoop& loop, const LoadSettings& settings)
    : loop { &loop }
    , settings { settings }
    , random { settings.seed }
    , output { settings.output, std::ios::trunc }
    , ids { settings.generator }
    , nextArrival(settings.parts.size(), loop.now())
    , longLivedOpened(settings.parts.size(), 0)
    , started { loop.now() }
    , nextSample { this->started + sampleInterval }
    , poller { std::make_unique<CounterPoller>(loop, settings.upstreamControls,
          [this](const std::vector<PolledCounters>& all) { this->updateFromCounters(all); }) }
{
    for (const auto& part : settings.parts) {
        if (part.type != FlowType::Datagram)
            this->account.addKind(part.flow.kind, part.weight, part.flow.idempotent || part.type == FlowType::Stream);
    }
    this->writeLine({ { "type", "start" }, { "unix_ms", unixMilliseconds() }, { "seed", settings.seed },
        { "generator", settings.generator }, { "duration_s", settings.duration.count() } });
}

LoadProcess::~LoadProcess()
{
    this->loop->cancel(this->timer);
    for (const auto& [descriptor, open] : this->open)
        this->loop->unwatch(descriptor);
}

void LoadProcess::tick()
{
    const TimePoint now = this->loop->now();
    if (!this->finishing && now >= this->started + this->settings.duration)
        this->finish();
    if (!this->finishing)
        this->openDue(now);
    for (auto at = this->open.begin(); at != this->open.end();) {
        this->send(at->first, at->second.caller->tick(now));
        if (!at->second.caller->isFinished()) {
            ++at;
            continue;
        }
        this->sender.flush(); // before the descriptor is closed
        this->loop->unwatch(at->first);
        at = this->open.erase(at);
    }
    this->sender.flush();
    this->classify(now, false);
    if (now >= this->nextSample)
        this->sample(now);
    if (this->finishing && (this->open.empty() || now >= this->finishDeadline)) {
        this->complete();
        return;
    }
    this->timer = this->loop->schedule(tickInterval, [this] { this->tick(); });
}

void LoadProcess::openDue(TimePoint now)
{
    const double ramp = std::min(1.0,
        static_cast<double>((now - this->started).count())
            / static_cast<double>(Microseconds { longLivedRamp }.count()));
    for (std::size_t i = 0; i < this->settings.parts.size(); ++i) {
        const LoadPart& part = this->settings.parts[i];
        for (; this->longLivedOpened[i] < ramp * part.longLived; ++this->longLivedOpened[i])
            this->openFlow(part, true, now);
        if (part.newPerSecond <= 0)
            continue;
        std::exponential_distribution<double> interarrivalTime { part.newPerSecond };
        while (this->nextArrival[i] <= now) {
            constexpr double microsecondsPerSecond = 1e6;
            this->nextArrival[i] += Microseconds {
                static_cast<std::int64_t>(interarrivalTime(this->random) * microsecondsPerSecond) + 1
            };
            this->openFlow(part, false, now);
        }
    }
}

void LoadProcess::openFlow(const LoadPart& part, bool longLived, TimePoint now)
{
    const auto socket = runtime::UdpSocket::bind({ this->settings.callers.address, 0 }, callerBufferBytes);
    if (!socket.has_value()) {
        ++this->socketsRefused;
        return;
    }
    RequestFlowSpec flow = part.flow;
    std::exponential_distribution<double> lifetimeDistribution { 1.0
        / static_cast<double>(std::max<std::int64_t>(flow.lifetime.count(), 1)) };
    flow.lifetime = longLived ? Microseconds { this->settings.duration }
                              : Microseconds { static_cast<std::int64_t>(lifetimeDistribution(this->random)) };
    const CallerContext context { this->account, this->interruptionClassifier, this->ids };
    std::unique_ptr<Caller> caller;
    if (part.type == FlowType::Datagram)
        caller = makeDatagramCaller(context, { flow.service, flow.address, flow.interval, flow.lifetime });
    else if (part.type == FlowType::Stream)
        caller = makeStreamCaller(context, std::move(flow), this->random());
    else
        caller = makeRequestCaller(context, std::move(flow), this->random());
    const int descriptor = socket.value().descriptor();
    auto first = caller->start(now);
    this->open.emplace(descriptor, Open { std::move(caller), socket.value() });
    this->loop->watch(descriptor, true, false, [this, descriptor](auto) { this->receive(descriptor); });
    this->send(descriptor, first);
}

void LoadProcess::receive(int descriptor)
{
    const auto at = this->open.find(descriptor);
    if (at == this->open.end())
        return;
    const TimePoint now = this->loop->now();
    for (const auto& datagram : this->receiver.receive(descriptor))
        this->send(descriptor, at->second.caller->handle(datagram.bytes, now));
    this->sender.flush();
}

void LoadProcess::send(int descriptor, const std::vector<Outgoing>& datagrams)
{
    for (const auto& datagram : datagrams)
        this->sender.add(descriptor, datagram.destination, {}, datagram.bytes);
}

void LoadProcess::classify(TimePoint now, bool all)
{
    const auto verdicts = all ? this->interruptionClassifier.classifyAll(this->directory)
                              : this->interruptionClassifier.classify(this->directory, now);
    for (const auto& classified : verdicts) {
        this->account.classified(classified);
        this->writeLine({ { "type", "flow" }, { "t_ms", (now - this->started) / Milliseconds { 1 } },
            { "verdict", nameIn(flowVerdictNames, classified.verdict) }, { "service", classified.interruption.service },
            { "upstream", classified.interruption.upstream }, { "zone", classified.zone } });
    }
}

void LoadProcess::sample(TimePoint now)
{
    this->nextSample = std::max(this->nextSample + sampleInterval, now);
    const LoadSample sample = this->account.takeSample();
    nlohmann::json imbalance = nlohmann::json::object();
    for (const auto& [service, totals] : this->account.flows())
        imbalance[service] = this->account.imbalance(service, this->directory.countOf(service));
    this->writeLine({ { "type", "sample" }, { "t_ms", (now - this->started) / Milliseconds { 1 } },
        { "open", this->open.size() }, { "answers", sample.answers }, { "delivered", sample.delivered },
        { "delivered_weight", sample.deliveredWeight }, { "refused", sample.refused }, { "unknown", sample.unknown },
        { "broken", sample.broken }, { "given_up", sample.givenUp }, { "wrong", sample.wrong },
        { "imbalance", imbalance } });
}

void LoadProcess::updateFromCounters(const std::vector<PolledCounters>& all)
{
    for (const auto& [control, body] : all) {
        auto& names = this->upstreamNamesByControl[control];
        if (!body) {
            for (const auto& name : names)
                this->directory.markLost(name);
            continue;
        }
        this->lastCounters[control] = *body;
        const auto zone = body->value("zone", std::string {});
        for (const auto& upstream : body->at("upstreams")) {
            names.insert(upstream.at("name").get<std::string>());
            this->updateUpstream(zone, upstream);
        }
    }
}

void LoadProcess::updateUpstream(const std::string& zone, const nlohmann::json& upstream)
{
    this->directory.update(upstream.at("name").get<std::string>(),
        { zone, upstream.at("service").get<std::string>(), upstream.at("generation").get<std::uint64_t>(),
            upstream.at("answering").get<bool>() });
    if (!upstream.at("last_packet_unix_ms").is_null())
        this->withdrawals.recordPacket(zone, upstream.at("last_packet_unix_ms").get<std::int64_t>());
}

ControlResult LoadProcess::mark(const nlohmann::json& body)
{
    const auto event = body.at("event").get<std::string>();
    if (event == "zone_withdrawn") {
        this->directory.withdrawZone(body.at("zone").get<std::string>());
        this->withdrawals.withdraw(body.at("zone").get<std::string>(), unixMilliseconds());
    } else if (event == "zone_returning") {
        this->withdrawals.markReturning(body.at("zone").get<std::string>(), unixMilliseconds());
    } else if (event == "upstream_lost") {
        this->directory.markLost(body.at("upstream").get<std::string>());
    }
    runtime::log(Event::LoadMarkSet, runtime::Field { "event", event });
    nlohmann::json line = body;
    line["type"] = "mark";
    line["t_ms"] = (this->loop->now() - this->started) / Milliseconds { 1 };
    line["unix_ms"] = unixMilliseconds();
    this->writeLine(line);
    return ControlAnswer { nlohmann::json::object() };
}

void LoadProcess::finish()
{
    if (this->finishing)
        return;
    const TimePoint now = this->loop->now();
    this->finishing = true;
    this->finishDeadline = now + finishTimeout;
    this->sample(now); // while the flows are open, for the imbalance
    this->flowsAtEnd = flowsJson(this->account, this->directory);
    this->writeLine({ { "type", "flows" }, { "flows", this->flowsAtEnd } });
    for (auto& [descriptor, open] : this->open)
        this->send(descriptor, open.caller->stop(now));
    this->sender.flush();
}

void LoadProcess::complete()
{
    this->poller.reset();
    this->classify(this->loop->now(), true);
    this->sample(this->loop->now());
    const nlohmann::json totals = this->totals();
    this->writeLine(totals);
    this->output.flush();
    printTotals(std::cout, totals);
    runtime::log(Event::LoadFinished, runtime::Field { "output", this->settings.output });
    this->loop->stop();
}

nlohmann::json LoadProcess::totals()
{
    std::unordered_map<std::uint64_t, std::uint64_t> runs;
    std::size_t missing = 0;
    for (const auto& [control, body] : CounterPoller::readAll(this->settings.upstreamControls, "/v1/runs")) {
        if (!body) {
            ++missing;
            runtime::log(Event::LoadCountersMissing, runtime::Field { "control", control });
            continue;
        }
        for (const auto& run : body->at("runs"))
            runs[run.at(0).get<std::uint64_t>()] += run.at(1).get<std::uint64_t>();
    }
    this->account.checkRuns(runs);
    this->updateFromCounters(CounterPoller::readAll(this->settings.upstreamControls, "/v1/counters"));
    std::vector<nlohmann::json> upstreams;
    for (const auto& control : this->settings.upstreamControls) {
        if (const auto at = this->lastCounters.find(control); at != this->lastCounters.end())
            upstreams.push_back(at->second);
    }
    std::vector<nlohmann::json> fabrics;
    for (const auto& [control, body] : CounterPoller::readAll(this->settings.fabricControls, "/v1/counters")) {
        if (body)
            fabrics.push_back(*body);
    }
    nlohmann::json totals = totalsJson(this->account, this->withdrawals, upstreams, fabrics);
    for (const auto& [service, flows] : this->flowsAtEnd.items())
        totals["flows"][service]["imbalance"] = flows.at("imbalance");
    totals["type"] = "totals";
    totals["run_ledgers_missing"] = missing;
    totals["sockets_refused"] = this->socketsRefused;
    totals["send_failures"] = this->sender.dropped();
    return totals;
}

void LoadProcess::writeLine(const nlohmann::json& line) { this->output << line.dump() << '\n'; }

ControlRoutes LoadProcess::routes()
{
    return {
        { "POST /v1/marks", [this](const nlohmann::json& body) { return this->mark(body); } },
        { "POST /v1/finish",
            [this](const nlohmann::json&) -> ControlResult {
                this->finish();
                return ControlAnswer { nlohmann::json::object() };
            } },
        { "GET /v1/counters",
            [this](const nlohmann::json&) -> ControlResult {
                nlohmann::json answer = totalsJson(this->account, this->withdrawals, {}, {});
                answer["open"] = this->open.size();
                answer["now"] = flowsJson(this->account, this->directory);
                return ControlAnswer { std::move(answer) };
            } },
    };
}

} // namespace zinnia::standin
