#include "zinnia/runtime/fleet_process.hpp"

#include "zinnia/runtime/logger.hpp"
#include "zinnia/runtime/metrics_listener.hpp"
#include "zinnia/upstream/announcement_limits.hpp"
#include "zinnia/wire/archive.hpp"

#include <algorithm>

namespace zinnia::runtime {

namespace {

    constexpr Milliseconds refreshInterval { 100 };
    /** A timer that is this late indicates a process pause, during which no messages were received. */
    constexpr Milliseconds pauseThreshold { 1000 };
    /** Number of missed announcements after which an upstream is silent. */
    constexpr int missedHeartbeats = 3;
    constexpr Milliseconds heartbeatSlack { 600 };
    /** Delay before a replica whose storage failed reopens its data folder. */
    constexpr Milliseconds storageRetryDelay { 1000 };
    /** After a restart of all replicas routers wait for an election: 100 to 200 ms instead of 500 to 1,000 ms. */
    constexpr double initialElectionFactor = 0.2;
    /** Each log entry holds a complete route table, so a small interval keeps the replay after a restart short. */
    constexpr std::uint64_t snapshotInterval = 64;
    constexpr std::uint64_t trailingEntries = 32;
    /** Part of the routing state that a new route table has to leave free for withdrawn zones. Unit: bytes. */
    constexpr std::size_t routesReserve = 4096;
    /** An instance whose log is behind by more refers routers to others. */
    constexpr Milliseconds maxLag { 1000 };
    /** Bodies and answers of all calls that are being received or sent. Unit: bytes. */
    constexpr std::size_t callBytes = 24U << 20U;
    constexpr Milliseconds stopInterval { 50 };
    /** Unit: stop intervals; 2 s in all. */
    constexpr int maxStopTurns = 40;

    upstream::AnnouncementTableSettings announcementTableSettingsOf(const FleetSettings& settings)
    {
        upstream::AnnouncementTableSettings table;
        table.lease = missedHeartbeats * settings.heartbeat + heartbeatSlack;
        return table;
    }

} // namespace

Result<std::unique_ptr<FleetProcess>, FleetError> FleetProcess::create(
    const FleetSettings& settings, const FleetApi& api, Epoch epoch, EventLoop& loop)
{
    std::unique_ptr<FleetProcess> process { new FleetProcess { settings, api, epoch, loop } };
    if (const auto error = process->start(api))
        return *error;
    return process;
}

FleetProcess::FleetProcess(const FleetSettings& settings, const FleetApi& api, Epoch epoch, EventLoop& loop)
    : settings { settings }
    , epoch { epoch }
    , loop { &loop }
    , sealer { settings.cluster.key, settings.cluster.id, settings.instance, epoch }
    , opener { settings.cluster.key, settings.cluster.id, false }
    , peerTable { {}, settings.instance, settings.member.seedIds(), loop.now() }
    , announcementTable { announcementTableSettingsOf(settings) }
    , readDocument { api.readDocument }
    , loadTable { settings.member.zone }
    , nextConfirmation { epoch.value }
    , lastRefresh { loop.now() }
    , leaderLastSeenAt { loop.now() }
{
}

FleetProcess::~FleetProcess() = default;

std::optional<FleetError> FleetProcess::start(const FleetApi& api)
{
    auto folder = PosixFolder::create(this->settings.folder);
    if (!folder)
        return FleetError::Folder;
    this->files = std::move(folder.value());
    this->loadSnapshot();
    if (const auto error = this->startReplica()) {
        if (*error != FleetError::Storage)
            return error;
        // A full or failing disk may recover. Until then this instance does not take part in consensus, but still
        // passes on what it receives from other control instances to routers and upstreams.
        this->nextRestartAt = this->loop->now() + storageRetryDelay;
    }

    auto server
        = StreamServer::create(*this->loop, { this->settings.member.address, this->settings.member.ports.stream },
            [this](BytesView sealed) { return this->answerStream(sealed); });
    if (!server)
        return FleetError::StreamAddress;
    this->streams = std::move(server.value());
    auto opened = FleetLink::create(*this->loop, this->settings.member, this->settings.cluster, this->sealer,
        [this](const wire::OpenedMessage& message, const Endpoint& source) { this->receive(message, source); });
    if (!opened)
        return FleetError::FeedAddress;
    this->link = std::move(opened.value());

    auto listener = HttpListener::create(*this->loop,
        { .address = this->settings.http, .bodyLimit = api.bodyLimit, .bufferedBytes = callBytes },
        api.http(*this, this->settings.http.port));
    if (!listener)
        return FleetError::HttpAddress;
    this->http = std::move(listener.value());
    if (this->settings.member.ports.metrics != 0) {
        auto metricsListener = listenForMetrics(
            *this->loop, { this->settings.member.address, this->settings.member.ports.metrics }, this->metrics);
        if (!metricsListener)
            return FleetError::MetricsAddress;
        this->metricsServer = std::move(metricsListener.value());
    }
    this->refresh();
    this->gossip();
    this->sendZoneSummary();
    return std::nullopt;
}

std::optional<FleetError> FleetProcess::startReplica()
{
    ReplicaDriverSettings driver;
    driver.cluster = this->settings.cluster.id;
    driver.zone = this->settings.member.zone;
    driver.replica.self = this->settings.instance;
    driver.replica.bootstrap = this->settings.bootstrap;
    driver.replica.losses = this->settings.losses;
    driver.replica.initialElectionTimeoutFactor = initialElectionFactor;
    driver.replica.entriesPerSnapshot = snapshotInterval;
    driver.replica.trailingEntries = trailingEntries;
    driver.replica.initialVoters = this->settings.member.seedIds();
    std::sort(driver.replica.initialVoters.begin(), driver.replica.initialVoters.end());
    driver.peers = this->replicaPeers();
    driver.replica.instances = { this->settings.instance };
    for (const ReplicaPeer& peer : driver.peers)
        driver.replica.instances.push_back(peer.instance);
    ReplicaDriver::Application application;
    application.apply = [this](consensus::LogIndex index, BytesView record) { this->log.apply(index, record); };
    application.restore = [this](consensus::LogIndex index, BytesView state) { this->log.restore(index, state); };
    application.capture = [this] { return this->log.snapshot(); };
    application.report = [](const consensus::Report& report) {
        runtime::log(report.event, Field { "replica", report.other.instance }, Field { "term", report.term },
            Field { "index", report.index });
    };
    application.synced
        = [this](Microseconds duration) { this->metrics.latency({ "zinnia_control_sync_seconds" }).record(duration); };
    auto created
        = ReplicaDriver::create(*this->loop, *this->files, this->sealer, std::move(driver), std::move(application));
    if (!created) {
        const ReplicaDriverError& error = created.error();
        if (error.cause != ReplicaDriverError::Cause::Storage)
            return FleetError::Replica;
        runtime::log(Event::StorageFailed, Field { "cause", error.storage });
        if (!isDamage(error.storage))
            return FleetError::Storage;
        return this->abandonFolder(error.storage) ? this->startReplica() : FleetError::Replica;
    }
    this->replica = std::move(created.value());
    return std::nullopt;
}

bool FleetProcess::abandonFolder(StorageError cause)
{
    // An instance without peers has the only copy, which an operator may be able to recover.
    if (this->peerTable.peers().empty())
        return false;
    this->settings.bootstrap = false;
    if (!clearFolder(*this->files))
        return false;
    runtime::log(Event::FolderAbandoned, Field { "cause", cause });
    return true;
}

std::vector<ReplicaPeer> FleetProcess::replicaPeers() const
{
    std::vector<ReplicaPeer> peers;
    for (const auto& peer : this->peerTable.peers())
        peers.push_back({ peer, Endpoint { this->settings.member.addressOf(peer), this->settings.member.ports.stream },
            this->peerTable.zoneOf(peer) });
    return peers;
}

void FleetProcess::setPeers()
{
    if (this->replica)
        this->replica->setPeers(this->replicaPeers());
}

std::size_t FleetProcess::votersInOneZone(const consensus::Status& status) const
{
    consensus::ZoneTable zones { { this->settings.instance, this->settings.member.zone } };
    for (const auto& voter : status.voters) {
        if (const std::string zone = this->peerTable.zoneOf(voter.instance); !zone.empty())
            zones.emplace(voter.instance, zone);
    }
    std::size_t most = 0;
    for (const auto& voter : status.voters)
        most = std::max(most, consensus::votersInZoneOf(voter.instance, { status.voters }, zones));
    return most;
}

void FleetProcess::rememberVoters(const consensus::Status& status)
{
    std::vector<InstanceId> voters;
    voters.reserve(status.voters.size());
    for (const auto& voter : status.voters)
        voters.push_back(voter.instance);
    if (this->peerTable.setVoters(voters, this->loop->now()))
        this->setPeers();
}

bool FleetProcess::hasLeader() const { return this->replica && this->replica->status().leader.has_value(); }

bool FleetProcess::isCurrent() const
{
    if (!this->hasLeader())
        return false;
    const consensus::Status status = this->replica->status();
    return status.hasCaughtUp && status.lag < maxLag;
}

CallResult FleetProcess::resultOf(const consensus::ProposalResult& result) const
{
    if (std::holds_alternative<consensus::Committed>(result))
        return { CallStatus::Done };
    if (const auto* other = std::get_if<consensus::NotLeader>(&result))
        return { CallStatus::NotLeader, other->leader };
    if (std::holds_alternative<consensus::OutcomeUnknown>(result))
        return { CallStatus::OutcomeUnknown };
    const auto* refused = std::get_if<consensus::Refused>(&result);
    if (refused != nullptr && refused->cause == consensus::RefusalCause::TooLarge)
        return { CallStatus::TooLarge, {}, "the change exceeds the size of a log entry" };
    return { CallStatus::Unavailable };
}

std::optional<CallResult> FleetProcess::refusalOf(const config::FleetCommand& command) const
{
    const auto* zone = std::get_if<config::SetZoneWithdrawn>(&command);
    const auto* routes = std::get_if<config::InstallRoutes>(&command);
    if (zone != nullptr && zone->withdrawn && zone->zone.size() > upstream::maxNameBytes)
        return CallResult { CallStatus::Invalid, {}, "the name of the zone is too long" };
    if (this->replica->status().role != consensus::Role::Leader)
        return std::nullopt;
    const config::FleetState& state = this->log.state();
    if (routes != nullptr && routes->table.version <= state.routes().version)
        return std::nullopt;
    if (zone != nullptr && !zone->withdrawn)
        return std::nullopt;
    std::vector<std::string> withdrawn = state.withdrawnZones();
    if (zone != nullptr && std::find(withdrawn.begin(), withdrawn.end(), zone->zone) == withdrawn.end())
        withdrawn.push_back(zone->zone);
    const config::RouteTable& table = routes != nullptr ? routes->table : state.routes();
    if (table.routes.size() > wire::maxListElements || table.services.size() > wire::maxListElements)
        return CallResult { CallStatus::TooLarge, {},
            "at most " + std::to_string(wire::maxListElements) + " routes and services can be stored" };
    const std::size_t size = wire::encode(feed::makeRoutingState(table, withdrawn, 0)).size();
    const std::size_t limit = feed::maxRoutingStateBytes - (routes != nullptr ? routesReserve : 0);
    if (size <= limit)
        return std::nullopt;
    return CallResult { CallStatus::TooLarge, {},
        "routers would need " + std::to_string(size) + " bytes, of at most " + std::to_string(limit) };
}

void FleetProcess::change(config::FleetCommand command, CallDone done)
{
    if (!this->replica)
        return done({ CallStatus::Unavailable });
    if (const auto refusal = this->refusalOf(command)) {
        runtime::log(Event::RoutesRefused, Field { "problem", refusal->detail });
        return done(*refusal);
    }
    this->replica->propose(FleetLog::encode(command),
        [this, done = std::move(done), start = this->loop->now()](const consensus::ProposalResult& proposal) {
            const CallResult result = this->resultOf(proposal);
            if (result.status == CallStatus::Done)
                this->metrics.latency({ "zinnia_control_change_seconds" }).record(this->loop->now() - start);
            this->metrics.counter({ "zinnia_control_changes_total", "status", std::string { nameOf(result.status) } })
                .add();
            done(result);
        });
}

void FleetProcess::readRoutes(ReadDone done)
{
    if (!this->replica)
        return done({ { CallStatus::Unavailable } });
    this->replica->read([this, done = std::move(done)](const consensus::ProposalResult& result) {
        const CallResult call = this->resultOf(result);
        const bool hasRoutes = this->log.state().routes().version != ConfigVersion {};
        if (call.status == CallStatus::Done && hasRoutes)
            return done({ call, this->log.state().document() });
        done({ call, std::nullopt });
    });
}

std::optional<Bytes> FleetProcess::answerStream(BytesView sealed)
{
    const auto opened = this->opener.open(sealed);
    RefusalReason reason = opened ? RefusalReason::UnknownKind : opened.error();
    if (opened && opened.value().kind == wire::MessageKind::Consensus) {
        // A replica that is reopening its data folder is treated as down.
        if (!this->replica)
            return Bytes {};
        const auto refused = this->replica->receive(opened.value());
        if (!refused)
            return Bytes {};
        reason = *refused;
    }
    this->metrics.refusals(reason).add();
    runtime::log(Event::MessageRefused, Field { "reason", reason });
    return std::nullopt;
}

void FleetProcess::refresh()
{
    this->loop->schedule(refreshInterval, [this] { this->refresh(); });
    const TimePoint now = this->loop->now();
    if (now - this->lastRefresh > pauseThreshold) {
        this->leaderSince.reset();
        this->clearLoadTable();
    }
    this->lastRefresh = now;
    if (this->hasLeader()) {
        this->leaderLastSeenAt = now;
        this->leaderSince = this->leaderSince.value_or(now);
    } else {
        this->leaderSince.reset();
    }
    // Lease expiry counts only after a complete lease during which other instances could have relayed announcements.
    const bool canExpire
        = this->leaderSince && now - *this->leaderSince > announcementTableSettingsOf(this->settings).lease;
    for (const auto& number : this->announcementTable.expire(canExpire, now))
        runtime::log(Event::UpstreamSilent, Field { "upstream", number });
    std::erase_if(
        this->confirmed, [this](const auto& item) { return this->announcementTable.find(item.first) == nullptr; });
    if (this->peerTable.removeExpired(now))
        this->setPeers();
    this->saveSnapshot(now);
    this->refreshLoadTable(now);
    this->restartReplica();
    if (!this->replica)
        return;
    this->metrics.gauge({ "zinnia_messages_oversized" }).set(static_cast<double>(this->link->oversizedMessages()));
    this->metrics.gauge({ "zinnia_datagrams_dropped" }).set(static_cast<double>(this->link->droppedDatagrams()));
    const consensus::Status status = this->replica->status();
    this->rememberVoters(status);
    this->metrics.gauge({ "zinnia_control_is_leader" }).set(status.role == consensus::Role::Leader ? 1 : 0);
    this->metrics.gauge({ "zinnia_control_lag_seconds" }).set(std::chrono::duration<double> { status.lag }.count());
    this->metrics.gauge({ "zinnia_control_term" }).set(static_cast<double>(status.term));
    this->metrics.gauge({ "zinnia_control_commit_index" }).set(static_cast<double>(status.commit));
    this->metrics.gauge({ "zinnia_control_voters" }).set(static_cast<double>(status.voters.size()));
    this->metrics.gauge({ "zinnia_control_voters_in_one_zone" })
        .set(static_cast<double>(this->votersInOneZone(status)));
    this->metrics.gauge({ "zinnia_routes_version" }).set(static_cast<double>(this->log.state().routes().version.value));
    this->metrics.gauge({ "zinnia_upstreams_announced" }).set(static_cast<double>(this->announcementTable.size()));
}

void FleetProcess::restartReplica()
{
    const TimePoint now = this->loop->now();
    if (this->replica) {
        const auto role = this->replica->status().role;
        if (role != consensus::Role::StorageFailed)
            return;
        this->replica.reset();
        // The new replica replays the log from the start; a partly replayed state must not be sent to others.
        this->log = FleetLog {};
        this->nextRestartAt = now + storageRetryDelay;
        return;
    }
    if (now < this->nextRestartAt)
        return;
    this->nextRestartAt = now + storageRetryDelay;
    (void)this->startReplica();
}

void FleetProcess::reload(const FleetSettings& changed)
{
    this->settings.member.seeds = changed.member.seeds;
    this->peerTable.setSeeds(changed.member.seedIds(), this->loop->now());
    this->setPeers();
    runtime::log(Event::SettingsReloaded, Field { "seeds", changed.member.seeds.size() });
}

void FleetProcess::stop()
{
    if (std::exchange(this->stopping, true))
        return;
    if (this->replica)
        this->replica->stop();
    // The first turn comes after the answers to the leave request and after the last messages of a leader that leaves.
    this->loop->schedule(stopInterval, [this] { this->continueStop(maxStopTurns); });
}

void FleetProcess::continueStop(int turnsLeft)
{
    const bool busy = !this->pendingConfirmations.empty()
        || (this->replica && (this->replica->pendingCount() > 0 || this->replica->isLeaving()));
    if (!busy || turnsLeft == 0) {
        this->loop->stop();
        return;
    }
    this->loop->schedule(stopInterval, [this, turnsLeft] { this->continueStop(turnsLeft - 1); });
}

} // namespace zinnia::runtime
