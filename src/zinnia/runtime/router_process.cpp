#include "zinnia/runtime/router_process.hpp"

#include "zinnia/runtime/logger.hpp"
#include "zinnia/runtime/metrics_listener.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace zinnia::runtime {

namespace {

    constexpr Milliseconds feedTick { 150 };
    /** Used instead of `feedTick` until routes and upstreams are known. */
    constexpr Milliseconds firstFeedTick { 50 };
    /** Half of the minimum time after which an answer is overdue. */
    constexpr Milliseconds overdueCheckInterval { 50 };
    /** Health checks of many upstreams that died together finish within about this time, so one report covers them. */
    constexpr Milliseconds reportDelay { 10 };
    /** Packets held until the first routes arrive; about 2 MB at most. */
    constexpr std::size_t maxHeldPackets = 1500;
    /** Callers retransmit a packet after 200 ms and abandon a request soon after. */
    constexpr Milliseconds maxHoldTime { 400 };
    /** An event loop iteration that is this late indicates a process pause. */
    constexpr Milliseconds pauseThreshold { 400 };
    /** Batches read per loop iteration, so that load does not delay timers and calls. */
    constexpr int maxBatchesPerTurn = 4;

    /** Share of the link's rate used by the packets of flows; the rest is left to connections and their headers. */
    constexpr double packetShareOfLink = 0.95;
    /** Transmission time of the link that fills the egress queue; callers give up before packets wait longer. */
    constexpr Seconds maxEgressWait { 4 };
    /** Bounds of the size of the egress queue. Unit: bytes. */
    constexpr std::size_t minEgressQueueBytes = 256 << 10;
    constexpr std::size_t maxEgressQueueBytes = 4 << 20;

    /** @brief Result of a health check. */
    enum class CheckResult : std::uint8_t { Connected, Failed, NotStarted };

    constexpr NameTable<CheckResult, 3> checkResultNames { {
        { CheckResult::Connected, "connected" },
        { CheckResult::Failed, "failed" },
        { CheckResult::NotStarted, "not_started" },
    } };
    static_assert(isDense(checkResultNames));

    /** @return The rate at which packets of flows may be sent; 0 if it is not limited. Unit: bytes per second. */
    std::uint64_t packetRateOf(const RouterSettings& settings)
    {
        return static_cast<std::uint64_t>(static_cast<double>(settings.linkBitsPerSecond) / 8 * packetShareOfLink);
    }

    routing::FlowRouterSettings routerSettingsOf(const RouterSettings& settings, Epoch epoch)
    {
        routing::FlowRouterSettings router;
        router.zone = settings.member.zone;
        router.uploads.bytesPerSecond = packetRateOf(settings);
        router.seed = settings.instance.value ^ epoch.value;
        router.load.enabled = settings.member.sharesLoad;
        router.load.zoneCostPerKib = settings.zoneCostPerKib;
        return router;
    }

    routing::EgressQueueSettings egressSettingsOf(const RouterSettings& settings)
    {
        routing::EgressQueueSettings egress;
        const auto wanted = static_cast<std::size_t>(packetRateOf(settings) * maxEgressWait.count());
        egress.maxBytes = std::clamp(wanted, minEgressQueueBytes, maxEgressQueueBytes);
        return egress;
    }

    feed::FeedClientSettings feedSettingsOf(const RouterSettings& settings)
    {
        feed::FeedClientSettings feed;
        feed.self = settings.instance;
        return feed;
    }

} // namespace

Result<std::unique_ptr<RouterProcess>, RouterError> RouterProcess::create(
    const RouterSettings& settings, const PacketFormat& format, const ReadinessApi& api, Epoch epoch, EventLoop& loop)
{
    std::unique_ptr<RouterProcess> process { new RouterProcess { settings, format, epoch, loop } };
    if (const auto error = process->start(api))
        return *error;
    return process;
}

RouterProcess::RouterProcess(const RouterSettings& settings, const PacketFormat& format, Epoch epoch, EventLoop& loop)
    : settings { settings }
    , format { &format }
    , loop { &loop }
    , sealer { settings.cluster.key, settings.cluster.id, settings.instance, epoch }
    , router { routerSettingsOf(settings, epoch) }
    , feed { feedSettingsOf(settings), settings.member.seedIds() }
    , load { { .zone = settings.member.zone } }
    , linkPacer { packetRateOf(settings) }
    , egressQueue { egressSettingsOf(settings) }
    , connections { loop }
{
    for (const auto& row : routing::packetActionNames)
        this->actionCounters[static_cast<std::size_t>(row.value)]
            = &this->metrics.counter({ "zinnia_router_packets_total", "action", std::string { row.name } });
    for (const auto& row : routing::routingReasonNames)
        this->reasonCounters[static_cast<std::size_t>(row.value)]
            = &this->metrics.counter({ "zinnia_router_reasons_total", "reason", std::string { row.name } });
    for (const auto& row : routing::packetKindNames)
        this->egressDrops[static_cast<std::size_t>(row.value)]
            = &this->metrics.counter({ "zinnia_router_egress_drops_total", "kind", std::string { row.name } });
    this->egressQueued = &this->metrics.counter({ "zinnia_router_egress_queued_total" });
    this->egressReplaced = &this->metrics.counter({ "zinnia_router_egress_replaced_total" });
    if (settings.member.sharesLoad)
        this->openingWaits = &this->metrics.latency({ "zinnia_router_opening_wait_seconds" });
    this->loadReports = &this->metrics.counter({ "zinnia_router_load_reports_total" });
    this->egressWaits = &this->metrics.latency({ "zinnia_router_egress_wait_seconds" });
    this->malformed = &this->metrics.counter({ "zinnia_router_malformed_total" });
    this->deadResets = &this->metrics.counter({ "zinnia_router_dead_upstream_resets_total" });
    this->handshakes = &this->metrics.latency({ "zinnia_router_handshake_seconds" });
    this->answers = &this->metrics.latency({ "zinnia_router_answer_seconds" });
    this->openings = &this->metrics.counter({ "zinnia_router_openings_total" });
    this->repeatedOpenings = &this->metrics.counter({ "zinnia_router_repeated_openings_total" });
    for (const auto& row : checkResultNames)
        this->checkResults[static_cast<std::size_t>(row.value)]
            = &this->metrics.counter({ "zinnia_router_address_checks_total", "result", std::string { row.name } });
}

RouterProcess::~RouterProcess()
{
    if (this->packets)
        this->loop->unwatch(this->packets->descriptor());
}

std::optional<RouterError> RouterProcess::start(const ReadinessApi& api)
{
    const Endpoint feedAddress { this->settings.member.address, this->settings.member.ports.feed };
    auto opened = FleetLink::create(*this->loop, this->settings.member, this->settings.cluster, this->sealer,
        [this](const wire::OpenedMessage& message, const Endpoint&) { this->receiveMessage(message); });
    if (!opened)
        return RouterError { "ports.feed", feedAddress, opened.error() };
    this->link = std::move(opened.value());
    auto socket = UdpSocket::bind(this->settings.packets);
    if (!socket)
        return RouterError { "listen.packets", this->settings.packets, socket.error() };
    this->packets = std::make_unique<UdpSocket>(std::move(socket).value());
    this->loop->watch(this->packets->descriptor(), true, false, [this](Readiness) { this->receivePackets(); });
    auto listener = HttpListener::create(*this->loop, { .address = this->settings.readiness, .connections = 32 },
        api([this] { return this->isReady(); }));
    if (!listener)
        return RouterError { "listen.readiness", this->settings.readiness, listener.error() };
    this->readiness = std::move(listener.value());
    if (this->settings.member.ports.metrics != 0) {
        const Endpoint address { this->settings.member.address, this->settings.member.ports.metrics };
        auto metricsListener = listenForMetrics(*this->loop, address, this->metrics);
        if (!metricsListener)
            return RouterError { "ports.metrics", address, metricsListener.error() };
        this->metricsServer = std::move(metricsListener.value());
    }
    this->pollControls();
    this->checkOverdueAnswers();
    this->expireAndPublishGauges();
    this->reportLoad();
    return std::nullopt;
}

void RouterProcess::receivePackets()
{
    for (int batch = 0; batch < maxBatchesPerTurn; ++batch) {
        const auto datagrams = this->receiver.receive(this->packets->descriptor());
        if (datagrams.empty())
            break;
        for (const ReceivedDatagram& datagram : datagrams)
            this->accept(datagram.bytes);
        this->drainEgressQueue();
        this->sender.flush();
    }
}

void RouterProcess::accept(BytesView bytes)
{
    const auto packet = this->format->parse(bytes);
    if (!packet) {
        this->malformed->add();
        return;
    }
    const TimePoint now = this->loop->now();
    // Packets are routed when they leave the queue, so that its delay does not look like that of an upstream.
    if (!this->linkPacer.isLimited() || (this->egressQueue.isEmpty() && this->linkPacer.isFree(now)))
        this->handle(bytes, *packet, now);
    else if (this->egressQueue.add(*packet, bytes, now) == routing::EgressOutcome::Replaced)
        this->egressReplaced->add();
    else
        this->egressQueued->add();
}

void RouterProcess::drainEgressQueue()
{
    const TimePoint now = this->loop->now();
    while (!this->egressQueue.isEmpty() && this->linkPacer.isFree(now)) {
        const auto next = this->egressQueue.take(now);
        this->egressWaits->record(now - next->arrivedAt);
        this->handle(next->bytes, next->packet, now);
    }
    if (this->egressQueue.isEmpty() || std::exchange(this->drainScheduled, true))
        return;
    this->loop->schedule(this->linkPacer.timeUntilRefill(now), [this] {
        this->drainScheduled = false;
        this->drainEgressQueue();
        this->sender.flush();
    });
}

void RouterProcess::handleHeldPackets()
{
    if (this->heldQueue.empty())
        return;
    for (const HeldPacket& packet : std::exchange(this->heldQueue, {})) {
        if (this->loop->now() - packet.since < maxHoldTime)
            this->handle(packet.bytes, packet.packet, packet.since);
    }
    this->sender.flush();
}

void RouterProcess::sendReset(const routing::FlowPacket& packet)
{
    const auto head = this->format->reset(packet);
    this->sender.add(this->packets->descriptor(), Endpoint { packet.caller.address, this->settings.packets.port },
        BytesView { head.bytes.data(), head.size }, {});
    this->linkPacer.recordSent(head.size, this->loop->now());
}

void RouterProcess::sendResets()
{
    for (const auto& reset : this->router.takeResets()) {
        routing::FlowPacket packet;
        packet.caller = reset.caller;
        packet.service = reset.service;
        packet.acknowledged = reset.acknowledged;
        this->sendReset(packet);
        this->deadResets->add();
        log(Event::FlowReset, Field { "caller", reset.caller }, Field { "service", reset.service },
            Field { "reason", routing::RoutingReason::UpstreamDead }, Field { "upstream", reset.upstream });
    }
}

void RouterProcess::handle(BytesView bytes, const routing::FlowPacket& packet, TimePoint since)
{
    const TimePoint now = this->loop->now();
    this->router.setWaitingUploads(this->egressQueue.uploadCount());
    const auto decision = this->router.route(packet, now);
    this->actionCounters[static_cast<std::size_t>(decision.action)]->add();
    this->reasonCounters[static_cast<std::size_t>(decision.reason)]->add();
    if (packet.syn)
        this->openings->add();
    this->perform(bytes, packet, decision);
    if (decision.action == routing::PacketAction::Hold) {
        if (this->heldQueue.size() < maxHeldPackets)
            this->heldQueue.push_back({ Bytes { bytes.begin(), bytes.end() }, packet, since });
        return;
    }
    if (decision.action == routing::PacketAction::Wait)
        this->keepWaiting(bytes, packet, now);
    else if (packet.syn && !this->waitingOpenings.empty())
        this->waitingOpenings.erase({ packet.caller, packet.service });
    if (decision.action != routing::PacketAction::Wait
        && (decision.reason != routing::RoutingReason::None || packet.syn))
        this->report(packet, decision);
    this->observe(bytes, packet, decision);
    this->handleReleased();
    this->sendResets();
    this->startHealthChecks();
    this->logHealthChanges();
}

void RouterProcess::perform(
    BytesView bytes, const routing::FlowPacket& packet, const routing::RoutingDecision& decision)
{
    if (decision.action == routing::PacketAction::Forward) {
        if (packet.syn)
            this->keepSent(bytes, packet, this->loop->now());
        const auto& upstream = *decision.upstream;
        const auto head = this->format->forwardHead(bytes, upstream.announcement.number, upstream.token);
        const BytesView rest = bytes.subspan(head.replaced);
        this->sender.add(this->packets->descriptor(), upstream.announcement.address,
            BytesView { head.bytes.data(), head.size }, rest);
        this->linkPacer.recordSent(head.size + rest.size(), this->loop->now());
    } else if (decision.action == routing::PacketAction::Reset) {
        this->sendReset(packet);
    }
}

void RouterProcess::startHealthChecks()
{
    for (const routing::HealthCheck& check : this->router.takeHealthChecks()) {
        const bool started = this->connections.check(check.address, check.timeout,
            [this, token = check.token](bool connected) { this->finishHealthCheck(token, connected); });
        if (!started)
            this->checkResults[static_cast<std::size_t>(CheckResult::NotStarted)]->add();
    }
}

void RouterProcess::reportUnreachable()
{
    const auto unreachable = this->router.takeUnreachable();
    if (unreachable.empty())
        return;
    const TimePoint now = this->loop->now();
    for (const auto upstream : unreachable)
        (void)this->suspicions.report({ upstream, Milliseconds { 0 } }, now);
    // One report covers all health checks that finish at about the same time.
    if (!std::exchange(this->reportScheduled, true))
        this->loop->schedule(reportDelay, [this] {
            this->reportScheduled = false;
            // Requests no reply: a router without a large route table would be sent that table once per report.
            feed::FeedRequest report;
            report.suspicions = this->suspicions.current(this->loop->now());
            for (const InstanceId control : this->feed.selectedControls(this->loop->now()))
                this->sendToControl(control, report);
        });
}

void RouterProcess::sendRequests(std::vector<feed::OutgoingRequest> requests)
{
    for (auto& request : requests) {
        request.request.suspicions = this->suspicions.current(this->loop->now());
        this->sendToControl(request.control, request.request);
    }
}

void RouterProcess::sendToControl(InstanceId control, const feed::FeedRequest& request)
{
    const std::size_t size = this->link->send(control, wire::MessageKind::FeedRequest, request);
    this->linkPacer.recordSent(size, this->loop->now());
}

void RouterProcess::finishHealthCheck(routing::RoutingToken token, bool connected)
{
    const auto result = connected ? CheckResult::Connected : CheckResult::Failed;
    this->checkResults[static_cast<std::size_t>(result)]->add();
    this->router.finishHealthCheck(token, connected, this->loop->now());
    this->reportUnreachable();
    this->sendResets();
    this->sender.flush();
    this->logHealthChanges();
}

void RouterProcess::receiveMessage(const wire::OpenedMessage& message)
{
    if (message.kind == wire::MessageKind::FeedReply)
        this->receiveFeed(message);
    else if (message.kind == wire::MessageKind::LoadReply)
        this->receiveLoadReply(message);
    else if (message.kind == wire::MessageKind::StatePart)
        this->receiveStatePart(message);
}

void RouterProcess::receiveFeed(const wire::OpenedMessage& message)
{
    const auto reply = wire::decode<feed::FeedReply>(message.body);
    if (!reply) {
        log(Event::MessageRefused, Field { "reason", RefusalReason::Malformed });
        return;
    }
    const TimePoint now = this->loop->now();
    const feed::FeedReply& update = reply.value();
    if (update.state)
        this->adopt(*update.state, message.sender);
    else if (update.revision > this->router.state().revision)
        this->requestState(feed::StateSubject::Routing, message.sender, update.revision);
    this->router.merge(update.announcements, now);
    if (const auto more = this->feed.receive(message.sender, update, this->router.state().revision, now))
        this->sendRequests({ *more });
    for (const auto& suspicion : update.suspicions)
        this->router.handleSuspicion(suspicion, now);
    this->startHealthChecks();
    // A complete announcement table suffices for forwarding; confirmation by a leader matters for readiness only.
    if (update.change >= update.lastChange && this->router.state().revision > 0)
        this->router.setSynchronized();
    this->handleHeldPackets();
    if (!this->wasReady && this->isReady()) {
        this->wasReady = true;
        log(Event::RouterReady, Field { "revision", this->router.state().revision },
            Field { "upstreams", this->router.directory().size() });
    }
}

void RouterProcess::pollControls()
{
    this->loop->schedule(this->feed.isSynchronized() ? feedTick : firstFeedTick, [this] { this->pollControls(); });
    const TimePoint now = this->loop->now();
    // Timers run before descriptors, so this runs before the packets that arrived during the pause are handled.
    if (this->lastTick != TimePoint {} && now - this->lastTick > pauseThreshold) {
        this->router.clearFailures();
        this->router.clearLoad();
        log(Event::RouterPaused, Field { "pause_us", now - this->lastTick });
    }
    this->lastTick = now;
    this->sendRequests(this->feed.tick(this->router.state().revision, now));
    for (feed::StateTransfer& transfer : this->stateTransfers)
        this->sendPartsRequest(transfer.tick(now));
    const bool hasLeaderContact = this->feed.hasLeaderContact(now);
    if (hasLeaderContact != std::exchange(this->hadLeaderContact, hasLeaderContact))
        log(hasLeaderContact ? Event::ControlRegained : Event::ControlLost,
            Field { "controls", this->feed.knownControls() });
}

void RouterProcess::checkOverdueAnswers()
{
    this->loop->schedule(overdueCheckInterval, [this] { this->checkOverdueAnswers(); });
    const TimePoint now = this->loop->now();
    // After a process pause, answers in the socket buffer are still unread; `pollControls` may detect the pause later.
    if (this->lastOverdueCheck != TimePoint {} && now - this->lastOverdueCheck < 2 * overdueCheckInterval) {
        this->router.checkOverdueAnswers(now);
        this->repeatOpenings(now);
        this->startHealthChecks();
    }
    this->handleReleased();
    this->sender.flush();
    this->lastOverdueCheck = now;
}

bool RouterProcess::isReady() const { return !this->stopping && this->feed.isSynchronized(); }

void RouterProcess::reload(const RouterSettings& changed)
{
    this->feed.setSeeds(changed.member.seedIds());
    log(Event::SettingsReloaded, Field { "seeds", changed.member.seeds.size() });
}

void RouterProcess::stop()
{
    if (std::exchange(this->stopping, true))
        return;
    this->loop->schedule(this->settings.stopDelay, [this] { this->loop->stop(); });
}

} // namespace zinnia::runtime
