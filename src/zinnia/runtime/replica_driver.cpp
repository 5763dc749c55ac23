#include "zinnia/runtime/replica_driver.hpp"

#include "zinnia/wire/archive.hpp"

#include <algorithm>
#include <random>

namespace zinnia::runtime {

Result<std::unique_ptr<ReplicaDriver>, ReplicaDriverError> ReplicaDriver::create(
    Poller& poller, FileSystem& files, wire::Sealer& sealer, ReplicaDriverSettings settings, Application application)
{
    using Cause = ReplicaDriverError::Cause;
    for (const auto& instance : settings.replica.instances) {
        const bool isKnown = std::any_of(settings.peers.begin(), settings.peers.end(),
            [&](const ReplicaPeer& peer) { return peer.instance == instance; });
        if (!isKnown && instance != settings.replica.self)
            return ReplicaDriverError { Cause::MissingPeer, {}, {}, instance };
    }
    auto storage = LogStorage::open(files, settings.cluster);
    if (!storage)
        return ReplicaDriverError { Cause::Storage, storage.error(), {}, {} };
    while (settings.replica.seed == 0) {
        std::random_device source;
        settings.replica.seed = (std::uint64_t { source() } << 32U) | source();
    }
    auto replica = consensus::Replica::create(settings.replica, storage.value().takeState(), poller.now());
    if (!replica)
        return ReplicaDriverError { Cause::Replica, {}, replica.error(), {} };
    return std::unique_ptr<ReplicaDriver> { new ReplicaDriver { poller, sealer, std::move(settings),
        std::move(application), std::move(storage).value(), std::move(replica).value() } };
}

ReplicaDriver::ReplicaDriver(Poller& poller, wire::Sealer& sealer, ReplicaDriverSettings settings,
    Application application, LogStorage storage, consensus::Replica replica)
    : poller { &poller }
    , sealer { &sealer }
    , settings { std::move(settings) }
    , application { std::move(application) }
    , storage { std::move(storage) }
    , replica { std::move(replica) }
{
    for (const auto& peer : this->settings.peers) {
        if (peer.instance != this->settings.replica.self)
            this->clients[peer.instance] = std::make_unique<StreamClient>(poller, peer.address, this->settings.streams);
    }
    this->tickTimer = poller.schedule(Microseconds { 0 }, [this] {
        if (this->storage.truncatedBytes() > 0) {
            const consensus::Status status = this->replica.status();
            this->application.report(
                consensus::Report { zinnia::Event::TornRecordDropped, status.self, status.term, status.lastIndex });
        }
        this->tick();
    });
}

ReplicaDriver::~ReplicaDriver()
{
    this->poller->cancel(this->tickTimer);
    if (this->syncTimer)
        this->poller->cancel(*this->syncTimer);
}

void ReplicaDriver::propose(Bytes command, ResultCallback callback)
{
    this->enqueue(consensus::Propose { this->registerCallback(std::move(callback)), std::move(command) });
}

void ReplicaDriver::read(ResultCallback callback)
{
    this->enqueue(consensus::Read { this->registerCallback(std::move(callback)) });
}

void ReplicaDriver::setPeers(const std::vector<ReplicaPeer>& peers)
{
    std::vector<InstanceId> instances { this->settings.replica.self };
    consensus::ZoneTable zones;
    if (!this->settings.zone.empty())
        zones[this->settings.replica.self] = this->settings.zone;
    for (const auto& peer : peers) {
        if (peer.instance == this->settings.replica.self)
            continue;
        instances.push_back(peer.instance);
        if (!peer.zone.empty())
            zones[peer.instance] = peer.zone;
        if (!this->clients.contains(peer.instance))
            this->clients[peer.instance]
                = std::make_unique<StreamClient>(*this->poller, peer.address, this->settings.streams);
    }
    // Also closes the connections to instances that are no longer in the group.
    std::erase_if(this->clients,
        [&](const auto& item) { return std::find(instances.begin(), instances.end(), item.first) == instances.end(); });
    this->enqueue(consensus::InstancesUpdated { std::move(instances), std::move(zones) });
}

std::optional<RefusalReason> ReplicaDriver::receive(const wire::OpenedMessage& message)
{
    auto decoded = wire::decode<consensus::Message>(message.body);
    if (!decoded || consensus::headerOf(decoded.value()).from.instance != message.sender)
        return RefusalReason::Malformed;
    this->enqueue(consensus::Receive { std::move(decoded).value() });
    return std::nullopt;
}

void ReplicaDriver::stop() { this->enqueue(consensus::Stop {}); }

void ReplicaDriver::tick()
{
    this->tickTimer = this->poller->schedule(this->settings.tick, [this] { this->tick(); });
    this->enqueue(consensus::Tick {});
}

void ReplicaDriver::enqueue(consensus::Event event)
{
    this->events.push_back(std::move(event));
    if (this->performing)
        return;
    this->performing = true;
    while (!this->events.empty()) {
        const consensus::Event next = std::move(this->events.front());
        this->events.pop_front();
        for (auto& action : this->replica.handle(next, this->poller->now()))
            std::visit([this](auto& alternative) { this->perform(alternative); }, action);
    }
    this->performing = false;
}

void ReplicaDriver::sync()
{
    const std::vector<consensus::Persist> batch = std::exchange(this->writes, {});
    const consensus::WriteNumber last = batch.back().write;
    const TimePoint start = this->poller->now();
    const bool written = this->storage.write(batch).has_value();
    if (this->application.synced)
        this->application.synced(this->poller->now() - start);
    if (written)
        this->enqueue(consensus::Persisted { last });
    else
        this->enqueue(consensus::PersistFailed { last });
}

consensus::RequestId ReplicaDriver::registerCallback(ResultCallback callback)
{
    const consensus::RequestId id { this->nextRequest++ };
    this->callbacks.emplace(id, std::move(callback));
    return id;
}

void ReplicaDriver::finish(consensus::RequestId id, const consensus::ProposalResult& result)
{
    const auto request = this->callbacks.extract(id);
    if (!request.empty())
        request.mapped()(result);
}

void ReplicaDriver::perform(const consensus::Send& action)
{
    const consensus::ReplicaId to = consensus::headerOf(action.message).to;
    const auto reportEnd = [this, to, transfer = action.transfer](bool delivered) {
        if (transfer != 0)
            this->enqueue(consensus::TransferEnded { to, transfer, delivered });
    };
    const auto client = this->clients.find(to.instance);
    if (client == this->clients.end())
        return reportEnd(false);
    // The replica sends lost messages again.
    const Bytes sealed = this->sealer->seal(wire::MessageKind::Consensus, wire::encode(action.message));
    const auto sent = client->second->send(
        sealed, [reportEnd](const Result<Bytes, StreamError>& answer) { reportEnd(answer.has_value()); });
    if (!sent)
        reportEnd(false);
}

void ReplicaDriver::perform(consensus::Persist& action)
{
    this->writes.push_back(std::move(action));
    // One sync covers all writes of a loop iteration.
    if (!this->syncTimer) {
        this->syncTimer = this->poller->schedule(Microseconds { 0 }, [this] {
            this->syncTimer.reset();
            this->sync();
        });
    }
}

void ReplicaDriver::perform(const consensus::Apply& action) { this->application.apply(action.index, action.command); }

void ReplicaDriver::perform(const consensus::Restore& action) { this->application.restore(action.index, action.data); }

void ReplicaDriver::perform(const consensus::TakeSnapshot& action)
{
    this->enqueue(consensus::SnapshotTaken { action.index, this->application.capture() });
}

void ReplicaDriver::perform(const consensus::ProposalDone& action) { this->finish(action.id, action.result); }

void ReplicaDriver::perform(const consensus::ReadDone& action) { this->finish(action.id, action.result); }

void ReplicaDriver::perform(const consensus::Report& action) { this->application.report(action); }

} // namespace zinnia::runtime
