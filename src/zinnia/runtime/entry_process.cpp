#include "zinnia/runtime/entry_process.hpp"

#include "zinnia/runtime/logger.hpp"

#include <utility>

namespace zinnia::runtime {

namespace {

    constexpr Milliseconds gaugeInterval { 200 };

} // namespace

Result<std::unique_ptr<EntryProcess>, ListenError> EntryProcess::create(
    const EntrySettings& settings, Epoch epoch, EventLoop& loop)
{
    std::unique_ptr<EntryProcess> process { new EntryProcess { settings, epoch, loop } };
    if (const auto error = process->listen(settings, epoch))
        return *error;
    return process;
}

EntryProcess::EntryProcess(const EntrySettings& settings, Epoch epoch, EventLoop& loop)
    : loop { &loop }
    , streamSealer { settings.cluster.key, settings.cluster.id, settings.instance, epoch }
    , exchange { settings.cluster.key, settings.cluster.id, settings.instance, this->streamSealer }
{
}

std::optional<ListenError> EntryProcess::listen(const EntrySettings& settings, Epoch epoch)
{
    EntryAdapter::Hooks hooks;
    hooks.fetchConfiguration = [this](InstanceId, const Endpoint& peer) { this->follower->fetchFrom(peer); };
    hooks.adopted = [this](const config::Configuration& adopted) {
        log(Event::ConfigurationAdopted, Field { "version", adopted.version });
        this->follower->report();
    };
    hooks.stopped = [this] { this->loop->stop(); };
    auto adapter = EntryAdapter::create(settings, epoch, *this->loop, this->metrics, std::move(hooks));
    if (!adapter)
        return adapter.error();
    this->adapter = std::move(adapter.value());

    auto streams
        = StreamServer::create(*this->loop, settings.stream, [this](BytesView sealed) { return this->answer(sealed); });
    if (!streams)
        return ListenError { "listen.stream", settings.stream, SocketError::AddressInUse };
    this->streams = std::move(streams.value());

    const HttpHandler health = [](const HttpRequest&) { return HttpResponse::text(http_status::ok, "ok\n"); };
    const HttpHandler text
        = [this](const HttpRequest&) { return HttpResponse::text(http_status::ok, this->metrics.prometheusText()); };
    auto http = HttpServer::create({ .address = settings.http },
        { { HttpMethod::Get, "/health", health }, { HttpMethod::Get, "/metrics", text } });
    if (!http)
        return ListenError { "listen.http", settings.http, SocketError::AddressInUse };
    this->http = std::move(http.value());

    std::vector<Endpoint> controls;
    for (const ControlSeed& seed : settings.controls)
        controls.push_back(seed.stream);
    this->follower = std::make_unique<ConfigFollower>(*this->loop, this->exchange, this->metrics, std::move(controls),
        ConfigFollower::Entry { [this] { return this->adapter->node().configuration().version; },
            [this](config::Configuration newer) { this->adapter->offer(std::move(newer)); } });
    this->publishGauges();
    return std::nullopt;
}

std::optional<Bytes> EntryProcess::answer(BytesView sealed)
{
    const auto opened = this->exchange.open(sealed);
    RefusalReason reason = opened ? RefusalReason::UnknownKind : opened.error();
    if (opened && opened.value().kind == wire::MessageKind::ConfigPoll) {
        const auto poll = ConfigExchange::readPoll(opened.value());
        if (poll)
            return this->exchange.answer(poll.value(), this->adapter->node().configuration());
        reason = poll.error();
    }
    this->metrics.refusals(reason).add();
    log(Event::MessageRefused, Field { "reason", reason });
    return std::nullopt;
}

void EntryProcess::publishGauges()
{
    this->adapter->publishGauges();
    this->loop->schedule(gaugeInterval, [this] { this->publishGauges(); });
}

} // namespace zinnia::runtime
