#include "zinnia/runtime/control_process.hpp"

#include "zinnia/runtime/logger.hpp"
#include "zinnia/wire/config_codec.hpp"

#include <algorithm>
#include <utility>

namespace zinnia::runtime {

namespace {

    constexpr Milliseconds refreshInterval { 50 };
    constexpr Milliseconds stopInterval { 50 };
    /** Unit: stop intervals; 5 s in all. */
    constexpr int maxStopTurns = 100;

    ReplicaRole roleOf(consensus::Role role)
    {
        using Row = std::pair<consensus::Role, ReplicaRole>;
        constexpr std::array rows { Row { consensus::Role::Leader, ReplicaRole::Leader },
            Row { consensus::Role::Follower, ReplicaRole::Follower },
            Row { consensus::Role::PreCandidate, ReplicaRole::Candidate },
            Row { consensus::Role::Candidate, ReplicaRole::Candidate } };
        for (const auto& [from, to] : rows) {
            if (from == role)
                return to;
        }
        return ReplicaRole::Learner;
    }

} // namespace

Result<std::unique_ptr<ControlProcess>, ControlError> ControlProcess::create(
    const ControlSettings& settings, Epoch epoch, EventLoop& loop)
{
    std::unique_ptr<ControlProcess> process { new ControlProcess { settings, epoch, loop } };
    if (const auto error = process->start())
        return *error;
    return process;
}

ControlProcess::ControlProcess(const ControlSettings& settings, Epoch epoch, EventLoop& loop)
    : settings { settings }
    , loop { &loop }
    , sealer { settings.cluster.key, settings.cluster.id, settings.instance, epoch }
    , exchange { settings.cluster.key, settings.cluster.id, settings.instance, this->sealer }
    , log { settings.cluster.id }
{
    this->publish();
}

ControlProcess::~ControlProcess() = default;

std::optional<ControlError> ControlProcess::start()
{
    auto folder = PosixFolder::create(this->settings.folder);
    if (!folder)
        return ControlError::Storage;
    this->files = std::move(folder.value());
    ReplicaDriver::Application application;
    application.apply = [this](consensus::LogIndex index, BytesView record) { this->applied(index, record); };
    application.restore = [this](consensus::LogIndex, BytesView state) { this->restored(state); };
    application.capture = [this] { return this->log.snapshot(); };
    application.report = [](const consensus::Report& report) {
        runtime::log(report.event, Field { "replica", report.other.instance }, Field { "term", report.term },
            Field { "index", report.index });
    };
    auto driver = ReplicaDriver::create(
        *this->loop, *this->files, this->sealer, this->replicaSettings(), std::move(application));
    if (!driver) {
        const bool fromStorage = driver.error().cause == ReplicaDriverError::Cause::Storage;
        return fromStorage ? ControlError::Storage : ControlError::Replica;
    }
    this->replica = std::move(driver.value());

    auto server = StreamServer::create(
        *this->loop, this->settings.stream, [this](BytesView sealed) { return this->answer(sealed); });
    if (!server)
        return ControlError::StreamAddress;
    this->streams = std::move(server.value());

    const auto token = OperatorToken::create(this->settings.operatorToken);
    if (!token)
        return ControlError::OperatorToken;
    this->operators
        = std::make_unique<OperatorInterface>(OperatorInterfaceSettings { .token = *token }, *this, this->metrics);
    auto http = HttpServer::create(
        { .address = this->settings.http, .bodyBytes = maxCommandBytes }, this->operators->routes());
    if (!http)
        return ControlError::HttpAddress;
    this->http = std::move(http.value());
    this->refresh();
    return std::nullopt;
}

ReplicaDriverSettings ControlProcess::replicaSettings() const
{
    ReplicaDriverSettings driver;
    driver.cluster = this->settings.cluster.id;
    driver.replica.self = this->settings.instance;
    driver.replica.bootstrap = this->settings.bootstrap;
    for (const ControlPeer& peer : this->settings.controls) {
        driver.replica.instances.push_back(peer.id);
        if (peer.id != this->settings.instance)
            driver.peers.push_back({ peer.id, peer.stream });
    }
    return driver;
}

void ControlProcess::submit(const config::CommandRequest& request, std::function<void(SubmitResult)> done)
{
    this->loop->post([this, record = wire::encodeCommand(request), done = std::move(done)] {
        this->replica->propose(
            record, [this, done](const consensus::ProposalResult& result) { this->finish(result, done); });
    });
}

void ControlProcess::finish(const consensus::ProposalResult& result, const std::function<void(SubmitResult)>& done)
{
    if (const auto* committed = std::get_if<consensus::Committed>(&result)) {
        const auto found = this->outcomes.find(committed->index);
        if (found == this->outcomes.end()) {
            done(OutcomeUnknown {});
            return;
        }
        done(found->second);
        this->outcomes.erase(this->outcomes.begin(), std::next(found));
    } else if (const auto* other = std::get_if<consensus::NotLeader>(&result)) {
        done(NotLeader { this->httpAddressOf(other->leader) });
    } else if (std::holds_alternative<consensus::OutcomeUnknown>(result)) {
        done(OutcomeUnknown {});
    } else {
        // The command was rejected before it was proposed: the operator's client tries the other instances.
        done(NotLeader {});
    }
}

config::Configuration ControlProcess::configuration() const
{
    const std::lock_guard lock { this->mutex };
    return *this->published;
}

ClusterStatus ControlProcess::status() const
{
    const std::lock_guard lock { this->mutex };
    ClusterStatus status = this->publishedStatus;
    status.version = this->published->version;
    status.instances = this->instances.statuses(*this->published, this->loop->now());
    return status;
}

void ControlProcess::stop()
{
    this->replica->stop();
    this->continueStop(maxStopTurns);
}

void ControlProcess::continueStop(int turnsLeft)
{
    if (this->replica->pendingCount() == 0 || turnsLeft == 0) {
        this->loop->stop();
        return;
    }
    this->loop->schedule(stopInterval, [this, turnsLeft] { this->continueStop(turnsLeft - 1); });
}

std::optional<Bytes> ControlProcess::answer(BytesView sealed)
{
    const auto opened = this->exchange.open(sealed);
    RefusalReason reason = opened ? RefusalReason::UnknownKind : opened.error();
    if (opened && opened.value().kind == wire::MessageKind::ConfigPoll) {
        if (auto reply = this->answerPoll(opened.value(), reason))
            return reply;
    } else if (opened && opened.value().kind == wire::MessageKind::Consensus) {
        const auto refused = this->replica->receive(opened.value());
        if (!refused)
            return Bytes {};
        reason = *refused;
    }
    this->metrics.refusals(reason).add();
    runtime::log(Event::MessageRefused, Field { "reason", reason });
    return std::nullopt;
}

std::optional<Bytes> ControlProcess::answerPoll(const wire::OpenedMessage& message, RefusalReason& reason)
{
    const auto poll = ConfigExchange::readPoll(message);
    if (!poll) {
        reason = poll.error();
        return std::nullopt;
    }
    const std::lock_guard lock { this->mutex };
    this->instances.recordVersion(poll.value().instance, poll.value().activeVersion, this->loop->now());
    return this->exchange.answer(poll.value(), *this->published);
}

void ControlProcess::applied(consensus::LogIndex index, BytesView record)
{
    config::CommandOutcome outcome = this->log.apply(record);
    const bool leads = this->replica && this->replica->status().role == consensus::Role::Leader;
    if (leads)
        this->outcomes.insert_or_assign(index, std::move(outcome));
    this->publish();
}

void ControlProcess::restored(BytesView state)
{
    const auto done = this->log.restore(state);
    if (!done)
        runtime::log(Event::SnapshotRefused, Field { "cause", done.error() });
    this->publish();
}

void ControlProcess::publish()
{
    const std::lock_guard lock { this->mutex };
    if (!this->published || this->published->version < this->log.state().configuration().version)
        this->published = std::make_shared<const config::Configuration>(this->log.state().configuration());
    this->instances.recordVersion(this->settings.instance, this->published->version, this->loop->now());
}

void ControlProcess::refresh()
{
    const consensus::Status status = this->replica->status();
    {
        const std::lock_guard lock { this->mutex };
        this->publishedStatus.self = this->settings.instance;
        this->publishedStatus.role = roleOf(status.role);
        this->publishedStatus.leader = this->httpAddressOf(status.leader);
        this->instances.recordVersion(this->settings.instance, this->published->version, this->loop->now());
    }
    this->metrics.gauge({ "zinnia_control_is_leader" }).set(status.role == consensus::Role::Leader ? 1 : 0);
    this->metrics.gauge({ "zinnia_control_term" }).set(static_cast<double>(status.term));
    this->metrics.gauge({ "zinnia_control_commit_index" }).set(static_cast<double>(status.commit));
    this->metrics.gauge({ "zinnia_control_voters" }).set(static_cast<double>(status.voters.size()));
    this->loop->schedule(refreshInterval, [this] { this->refresh(); });
}

std::optional<Endpoint> ControlProcess::httpAddressOf(std::optional<InstanceId> instance) const
{
    for (const ControlPeer& peer : this->settings.controls) {
        if (instance && peer.id == *instance)
            return peer.http;
    }
    return std::nullopt;
}

} // namespace zinnia::runtime
