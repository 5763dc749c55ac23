#include "zinnia/consensus/cluster.hpp"

#include "zinnia/wire/archive.hpp"

#include <sstream>

namespace zinnia::consensus::test {

namespace {

    /** Messages up to this size overtake larger ones, as in streams of one connection. Unit: bytes. */
    constexpr std::size_t frameBytes = 16U << 10U;
    /** Time after which a message that was not delivered counts as lost. */
    constexpr Milliseconds streamTimeout { 1000 };

    Bytes bytesOf(const std::string& text, std::size_t minBytes)
    {
        Bytes bytes { text.begin(), text.end() };
        bytes.resize(std::max(bytes.size(), minBytes), ' ');
        return bytes;
    }

    std::string textOf(const Bytes& bytes)
    {
        std::string text { bytes.begin(), bytes.end() };
        text.erase(text.find_last_not_of(' ') + 1);
        return text;
    }

} // namespace

void FakeDisk::sync() { this->crash(this->unsynced.size()); }

void FakeDisk::crash(std::size_t kept)
{
    for (std::size_t i = 0; i < kept && i < this->unsynced.size(); ++i) {
        const Persist& write = this->unsynced[i];
        auto& entries = this->durable.entries;
        if (write.snapshot) {
            this->durable.snapshot = write.snapshot;
            std::erase_if(entries, [&](const LogEntry& entry) { return entry.index <= write.snapshot->index; });
        }
        if (write.resetLog)
            entries.clear();
        if (write.truncateFrom > 0)
            std::erase_if(entries, [&](const LogEntry& entry) { return entry.index >= write.truncateFrom; });
        entries.insert(entries.end(), write.entries.begin(), write.entries.end());
        if (write.hard)
            this->durable.hard = write.hard;
    }
    this->unsynced.clear();
}

Cluster::Cluster(std::uint32_t size, std::uint64_t seed, SafetyChecks safetyChecks,
    const std::function<void(Settings&)>& adjustSettings)
    : random { seed }
{
    for (std::uint32_t id = 1; id <= size; ++id) {
        Settings& settings = this->nodes[id].settings;
        settings.self = InstanceId { id };
        for (std::uint32_t other = 1; other <= size; ++other)
            settings.instances.push_back(InstanceId { other });
        settings.safetyChecks = safetyChecks;
        if (adjustSettings)
            adjustSettings(settings);
    }
}

bool Cluster::form()
{
    for (const auto& [id, node] : this->nodes)
        this->start(id, id == 1);
    return this->runUntil([this] {
        for (const auto& [id, node] : this->nodes) {
            const Status status = node.replica->status();
            if (status.voters.size() != this->nodes.size() || status.role == Role::Learner)
                return false;
        }
        return true;
    });
}

void Cluster::start(std::uint32_t id, bool bootstrap)
{
    FakeNode& node = this->nodes.at(id);
    node.settings.bootstrap = bootstrap;
    node.settings.seed = this->random();
    node.applied.clear();
    node.paused = false;
    node.replica
        = std::make_unique<Replica>(std::move(Replica::create(node.settings, node.disk.durable, this->now)).value());
    ++node.startCount;
    if (!this->zones.empty())
        this->handle(id, InstancesUpdated { node.settings.instances, this->zones });
    this->tick(id, node.startCount);
}

void Cluster::setZones(const ZoneTable& table)
{
    this->zones = table;
    for (auto& [id, node] : this->nodes)
        this->handle(id, InstancesUpdated { node.settings.instances, table });
}

void Cluster::crash(std::uint32_t id)
{
    FakeNode& node = this->nodes.at(id);
    node.replica.reset();
    node.deferredWork.clear();
    ++node.startCount;
    node.disk.crash(this->random() % (node.disk.unsynced.size() + 1));
}

void Cluster::loseDisk(std::uint32_t id)
{
    this->crash(id);
    this->nodes.at(id).disk = FakeDisk {};
}

void Cluster::remove(std::uint32_t id)
{
    this->crash(id);
    this->nodes.at(id).removed = true;
}

void Cluster::pause(std::uint32_t id) { this->nodes.at(id).paused = true; }

void Cluster::resume(std::uint32_t id)
{
    FakeNode& node = this->nodes.at(id);
    node.paused = false;
    for (const auto& work : std::exchange(node.deferredWork, {}))
        work();
}

void Cluster::isolate(std::uint32_t id)
{
    for (const auto& [other, node] : this->nodes) {
        this->blockLink(id, other);
        this->blockLink(other, id);
    }
}

void Cluster::schedule(Microseconds delay, std::function<void()> work)
{
    this->queue.emplace(std::pair { this->now + delay, this->nextWorkNumber++ }, std::move(work));
}

void Cluster::runFor(Milliseconds duration)
{
    const TimePoint end = this->now + duration;
    this->runUntil([] { return false; }, duration);
    this->now = end;
}

bool Cluster::runUntil(const std::function<bool()>& condition, Milliseconds timeout)
{
    const TimePoint end = this->now + timeout;
    while (!condition()) {
        if (this->queue.empty() || this->queue.begin()->first.first > end)
            return false;
        auto next = this->queue.extract(this->queue.begin());
        this->now = next.key().first;
        next.mapped()();
    }
    return true;
}

void Cluster::tick(std::uint32_t id, std::uint64_t start)
{
    if (this->nodes.at(id).startCount != start)
        return;
    this->handle(id, Tick {});
    this->schedule(Milliseconds { 20 }, [this, id, start] { this->tick(id, start); });
}

void Cluster::handle(std::uint32_t id, const Event& event)
{
    FakeNode& node = this->nodes.at(id);
    if (!node.replica)
        return;
    if (node.paused) {
        node.deferredWork.emplace_back([this, id, event] { this->handle(id, event); });
        return;
    }
    for (const auto& action : node.replica->handle(event, this->now))
        this->perform(id, action);
}

void Cluster::perform(std::uint32_t id, const Action& action)
{
    FakeNode& node = this->nodes.at(id);
    if (const auto* send = std::get_if<Send>(&action)) {
        this->deliver(*send);
    } else if (const auto* persist = std::get_if<Persist>(&action)) {
        const bool fails = node.disk.full;
        if (!fails)
            node.disk.unsynced.push_back(*persist);
        this->schedule(Microseconds { 200 + this->random() % 3000 },
            [this, id, fails, write = persist->write, start = node.startCount] {
                FakeNode& writer = this->nodes.at(id);
                if (writer.startCount != start)
                    return;
                if (!fails) {
                    const auto last = std::find_if(writer.disk.unsynced.begin(), writer.disk.unsynced.end(),
                        [&](const Persist& other) { return other.write > write; });
                    std::vector<Persist> laterWrites { last, writer.disk.unsynced.end() };
                    writer.disk.unsynced.erase(last, writer.disk.unsynced.end());
                    writer.disk.sync();
                    writer.disk.unsynced = std::move(laterWrites);
                }
                this->handle(id, fails ? Event { PersistFailed { write } } : Event { Persisted { write } });
            });
    } else if (const auto* apply = std::get_if<Apply>(&action)) {
        node.applied.push_back(textOf(apply->command));
    } else if (const auto* restore = std::get_if<Restore>(&action)) {
        node.applied.clear();
        std::istringstream lines { textOf(restore->data) };
        for (std::string line; std::getline(lines, line);)
            node.applied.push_back(line);
    } else if (const auto* takeSnapshot = std::get_if<TakeSnapshot>(&action)) {
        std::string text;
        for (const auto& command : node.applied)
            text += command + "\n";
        this->schedule(Microseconds { 0 }, [this, id, text, index = takeSnapshot->index, start = node.startCount] {
            if (this->nodes.at(id).startCount == start)
                this->handle(id, SnapshotTaken { index, bytesOf(text, this->commandBytes) });
        });
    } else if (const auto* done = std::get_if<ProposalDone>(&action)) {
        this->results[done->id.value] = done->result;
    } else if (const auto* read = std::get_if<ReadDone>(&action)) {
        this->reads[read->id.value] = read->result;
    } else if (const auto* report = std::get_if<Report>(&action)) {
        this->reports.insert(report->event);
    }
}

Microseconds Cluster::transmissionTime(std::pair<std::uint32_t, std::uint32_t> link, std::size_t size)
{
    this->sentBytes[link] += size;
    if (this->linkRate == 0)
        return Microseconds { 0 };
    const Microseconds duration { static_cast<std::int64_t>(size * 1000000 / this->linkRate) };
    if (size <= frameBytes)
        return duration;
    TimePoint& busyUntil = this->linkBusyUntil[link];
    busyUntil = std::max(busyUntil, this->now) + duration;
    return busyUntil - this->now;
}

void Cluster::reportEnd(const Header& header, TransferNumber transfer, bool delivered, Microseconds delay)
{
    if (transfer == 0)
        return;
    const std::uint32_t sender = header.from.instance.value;
    this->schedule(
        delay, [this, sender, to = header.to, transfer, delivered, start = this->nodes.at(sender).startCount] {
            if (this->nodes.at(sender).startCount == start)
                this->handle(sender, TransferEnded { to, transfer, delivered });
        });
}

void Cluster::deliver(const Send& send)
{
    if (this->ignoresTransfers && std::holds_alternative<TransferLeadership>(send.message))
        return;
    const Header header = headerOf(send.message);
    const std::uint32_t to = header.to.instance.value;
    const std::pair link { header.from.instance.value, to };
    if (this->blockedLinks.contains(link) || this->random() % 1000 < this->dropPerMille)
        return this->reportEnd(header, send.transfer, false, streamTimeout);
    const int copies = this->random() % 1000 < this->duplicatePerMille ? 2 : 1;
    const Bytes encoded = wire::encode(send.message);
    const auto delayOf = [this](std::uint32_t id) {
        const auto found = this->delays.find(id);
        return found == this->delays.end() ? Milliseconds { 0 } : found->second;
    };
    const Microseconds transmission
        = this->transmissionTime(link, encoded.size()) + delayOf(link.first) + delayOf(link.second);
    for (int copy = 0; copy < copies; ++copy) {
        const auto maxDelayMicroseconds = static_cast<std::uint64_t>(Microseconds { this->maxDelay }.count());
        this->schedule(transmission + Microseconds { 500 + this->random() % maxDelayMicroseconds },
            [this, to, encoded, header, transfer = copy == 0 ? send.transfer : 0] {
                const FakeNode& receiver = this->nodes.at(to);
                const bool isRunning = receiver.replica && !receiver.paused;
                this->reportEnd(header, transfer, isRunning, isRunning ? Milliseconds { 1 } : streamTimeout);
                this->handle(to, Receive { wire::decode<Message>(encoded).value() });
            });
    }
}

std::uint32_t Cluster::leader() const
{
    std::uint32_t result = 0;
    Term term = 0;
    for (const auto& [id, node] : this->nodes) {
        if (!node.replica || node.replica->status().role != Role::Leader || node.replica->status().term <= term)
            continue;
        term = node.replica->status().term;
        result = id;
    }
    return result;
}

std::uint64_t Cluster::propose(std::uint32_t id)
{
    const std::uint64_t number = ++this->nextProposal;
    this->handle(id, Propose { RequestId { number }, bytesOf("c" + std::to_string(number), this->commandBytes) });
    return number;
}

bool Cluster::commitOne()
{
    return this->runUntil([this, number = std::uint64_t { 0 }]() mutable {
        const auto found = this->results.find(number);
        if (found != this->results.end() && std::holds_alternative<Committed>(found->second))
            return true;
        if ((number == 0 || found != this->results.end()) && this->leader() != 0
            && this->random() % 16 == 0) // proposes in 1 of 16 simulation steps
            number = this->propose(this->leader());
        return false;
    });
}

std::size_t Cluster::acknowledged() const
{
    std::size_t count = 0;
    for (const auto& [number, result] : this->results)
        count += std::holds_alternative<Committed>(result) ? 1 : 0;
    return count;
}

std::string Cluster::findInconsistency() const
{
    const std::vector<std::string>* longest = nullptr;
    for (const auto& [id, node] : this->nodes) {
        if (node.removed)
            continue;
        if (!longest || node.applied.size() > longest->size())
            longest = &node.applied;
    }
    for (const auto& [id, node] : this->nodes) {
        if (!node.removed && node.applied != *longest)
            return "instance " + std::to_string(id) + " applied a different sequence of commands";
    }
    std::multiset<std::string> appliedCommands { longest->begin(), longest->end() };
    std::map<LogIndex, std::string> acknowledgedByIndex;
    for (const auto& [number, result] : this->results) {
        const std::string command = "c" + std::to_string(number);
        if (appliedCommands.count(command) > 1)
            return command + " was applied twice";
        if (const auto* committed = std::get_if<Committed>(&result)) {
            if (appliedCommands.count(command) == 0)
                return command + " was acknowledged and lost";
            acknowledgedByIndex[committed->index] = command;
        } else if (!std::holds_alternative<OutcomeUnknown>(result) && appliedCommands.count(command) > 0) {
            return command + " was refused and applied";
        }
    }
    // A single copy would have applied the acknowledged commands in the order of their log indexes.
    auto position = longest->begin();
    for (const auto& [index, command] : acknowledgedByIndex) {
        position = std::find(position, longest->end(), command);
        if (position == longest->end())
            return command + " was applied out of order";
    }
    return {};
}

} // namespace zinnia::consensus::test
