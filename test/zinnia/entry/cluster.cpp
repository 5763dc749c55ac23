#include "zinnia/entry/cluster.hpp"

#include "zinnia/wire/peer_codec.hpp"

namespace zinnia::entry::test {

namespace {

    constexpr Milliseconds tickInterval { 20 };
    /** Time until the entries are active. */
    constexpr Milliseconds untilActive { 2000 };
    /** Time from the announcement of the upstreams to the end of their cold start. */
    constexpr Milliseconds untilReady { 6000 };

} // namespace

Cluster::Cluster(const Options& options)
    : options { options }
    , random { options.seed }
{
    for (const config::Entry& entry : this->configuration.entries) {
        this->nodes[entry.id].zone = entry.zone;
        this->start(entry.id);
        // A random offset, so that the ticks of the processes are not synchronised.
        this->schedule(this->networkDelay(), [this, id = entry.id] { this->tick(id); });
    }
    this->run(untilActive);
    for (std::uint16_t index = 0; index < 12; ++index) {
        const ZoneId zone { static_cast<std::uint16_t>(1 + index % 3) };
        const Endpoint address { 0x0A000000U + zone.value * 65536U + index, 7000 };
        this->upstreams[address] = { index < 6 ? requestService : datagramService, zone, address };
        this->announce(this->upstreams[address]);
    }
    this->run(untilReady);
}

void Cluster::start(InstanceId id)
{
    Node& node = this->nodes.at(id);
    node.epoch = Epoch { node.epoch.value + 1 };
    node.stopped = false;
    NodeSettings settings;
    settings.self = id;
    settings.zone = node.zone;
    settings.epoch = node.epoch;
    settings.cluster = this->configuration.cluster;
    settings.seed = this->options.seed + id.value;
    node.node = std::move(EntryNode::create(settings, this->codec, this->currentTime).value());
    this->handle(id, ConfigurationOffered { std::make_shared<const config::Configuration>(this->configuration) });
}

void Cluster::run(Milliseconds duration)
{
    const TimePoint end = this->currentTime + duration;
    while (!this->tasks.empty() && this->tasks.begin()->first <= end) {
        auto task = this->tasks.extract(this->tasks.begin());
        this->currentTime = task.key();
        task.mapped()();
    }
    this->currentTime = end;
}

void Cluster::announce(const FakeUpstream& upstream)
{
    const Endpoint& address = upstream.address;
    const Bytes bytes = makeRegistration(upstream.service, address.toString(), address, upstream.incarnation);
    for (const auto& [id, node] : this->nodes) {
        if (node.node && node.zone == upstream.zone)
            return this->handle(id, RegistrationPacket { address, bytes });
    }
}

void Cluster::notify(const FakeUpstream& upstream)
{
    for (const auto& [entry, token] : upstream.observers) {
        CoapMessage message;
        message.code = coap::content;
        message.messageId = static_cast<std::uint16_t>(this->random());
        message.token = token;
        message.addUint(coap::observe, static_cast<std::uint64_t>(this->currentTime.time_since_epoch().count() / 1000));
        this->toRequestPort(entry, upstream.address, message);
    }
}

void Cluster::publish(const config::Configuration& next)
{
    const auto offered = std::make_shared<const config::Configuration>(next);
    for (const auto& [id, node] : this->nodes) {
        const Milliseconds delay { static_cast<std::int64_t>(this->random() % 500) };
        this->schedule(delay, [this, id = id, offered] { this->handle(id, ConfigurationOffered { offered }); });
    }
}

void Cluster::send(InstanceId entry, const Endpoint& caller, const Endpoint& service, const Bytes& payload)
{
    this->schedule(this->networkDelay(), [this, entry, caller, service, payload] {
        this->handle(entry, FabricPacket { caller, service, payload });
    });
}

unsigned Cluster::executionsOf(const Bytes& payload)
{
    unsigned runs = 0;
    for (auto& [address, upstream] : this->upstreams)
        runs += upstream.runs[payload];
    return runs;
}

std::vector<InstanceId> Cluster::live() const
{
    std::vector<InstanceId> ids;
    for (const auto& [id, node] : this->nodes) {
        if (node.node)
            ids.push_back(id);
    }
    return ids;
}

void Cluster::schedule(Microseconds delay, std::function<void()> task)
{
    this->tasks.emplace(this->currentTime + delay, std::move(task));
}

Microseconds Cluster::networkDelay() { return Microseconds { 500 + static_cast<std::int64_t>(this->random() % 1500) }; }

void Cluster::tick(InstanceId id)
{
    this->handle(id, Tick {});
    this->schedule(tickInterval, [this, id] { this->tick(id); });
}

void Cluster::handle(InstanceId id, const Event& event)
{
    const Node& node = this->nodes.at(id);
    if (!node.node)
        return;
    Actions actions;
    node.node->handle(event, this->currentTime, actions);
    for (const Action& action : actions)
        std::visit([this, id](const auto& alternative) { this->perform(id, alternative); }, action);
}

void Cluster::perform(InstanceId, const SendToCaller& action)
{
    auto message
        = this->codec.decode(action.generatedPayload.empty() ? action.payload : BytesView { action.generatedPayload });
    if (action.serviceAddress != requestAddress || !message || message->code == coap::empty)
        return;
    if (message->type == CoapType::Confirmable) {
        CoapMessage accepted;
        accepted.type = CoapType::Acknowledgement;
        accepted.messageId = message->messageId;
        const std::vector<InstanceId> ids = this->live();
        this->send(ids[this->random() % ids.size()], action.caller, accepted);
    }
    this->answers[action.caller].push_back(std::move(*message));
}

void Cluster::perform(InstanceId id, const SendToUpstream& action)
{
    const Bytes payload { action.payload.begin(), action.payload.end() };
    this->upstreams[action.upstream].received.push_back({ this->currentTime, id, action.localPort, payload });
    this->schedule(this->networkDelay(), [this, id, source = action.upstream, port = action.localPort, payload] {
        this->handle(id, UpstreamPacket { source, port, payload });
    });
}

void Cluster::perform(InstanceId id, const SendRequestPacket& action)
{
    FakeUpstream& upstream = this->upstreams[action.upstream];
    upstream.received.push_back({ this->currentTime, id, std::nullopt, action.payload });
    const auto message = this->codec.decode(action.payload);
    if (upstream.service == requestService && message)
        this->serve(upstream, id, *message);
}

void Cluster::perform(InstanceId id, const SendToPeer& action)
{
    const ZoneId left = this->nodes.at(id).zone;
    const ZoneId right = this->nodes.at(action.to).zone;
    const auto chance = [this](double share) { return std::bernoulli_distribution { share }(this->random); };
    if ((left != right && (this->partitionedZones.contains(left) || this->partitionedZones.contains(right)))
        || chance(this->options.loss))
        return;
    Bytes body;
    wire::encodePeerBody(body, action.message);
    const int copies = chance(this->options.duplicate) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        this->schedule(this->networkDelay(), [this, id, to = action.to, kind = wire::kindOf(action.message), body] {
            this->handle(to, PeerPacket { id, wire::decodePeerBody(kind, body).value() });
        });
    }
}

void Cluster::perform(InstanceId id, const FetchConfiguration& action)
{
    if (!this->nodes.at(action.from).node)
        return;
    const auto fetched = std::make_shared<const config::Configuration>(this->node(action.from).configuration());
    this->schedule(this->networkDelay(), [this, id, fetched] { this->handle(id, ConfigurationOffered { fetched }); });
}

void Cluster::perform(InstanceId id, const Adopted& action)
{
    if (action.configuration->version == ConfigVersion { 2 })
        this->nodes.at(id).adoptedAt = this->currentTime;
}

void Cluster::toRequestPort(InstanceId id, const Endpoint& source, const CoapMessage& message)
{
    this->schedule(this->networkDelay(), [this, id, source, bytes = encoded(message)] {
        this->handle(id, RequestPortPacket { source, bytes });
    });
}

void Cluster::serve(FakeUpstream& upstream, InstanceId from, const CoapMessage& message)
{
    if (!message.isRequest() || !upstream.seen.emplace(from, message.messageId, message.token).second)
        return;
    ++upstream.runs[message.payload];
    CoapMessage answer = answerTo(message);
    if (message.uintOption(coap::observe) == 0) {
        upstream.observers.emplace_back(from, message.token);
        answer.addUint(coap::observe, 1);
    }
    this->schedule(upstream.answerDelay,
        [this, from, source = upstream.address, answer] { this->toRequestPort(from, source, answer); });
}

} // namespace zinnia::entry::test
