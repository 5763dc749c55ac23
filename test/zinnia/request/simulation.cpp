#include "simulation.hpp"

#include <algorithm>
#include <utility>

namespace zinnia::request {

namespace {

    constexpr ServiceId service { 1 };
    constexpr std::uint32_t buckets = 16;
    constexpr std::size_t entryCount = 3;
    constexpr std::size_t upstreamCount = 4;

    Endpoint upstreamAddress(std::size_t upstream) { return { 2, static_cast<std::uint16_t>(upstream) }; }

    template <class... Ts> struct Overloaded : Ts... {
        using Ts::operator()...;
    };
    template <class... Ts> Overloaded(Ts...) -> Overloaded<Ts...>;

} // namespace

RunCounters& RunCounters::operator+=(const RunCounters& other)
{
    for (const auto member : { &RunCounters::requests, &RunCounters::answered, &RunCounters::notRun,
             &RunCounters::unknown, &RunCounters::cancelled, &RunCounters::unanswered, &RunCounters::doubleRuns,
             &RunCounters::falseNotRun, &RunCounters::falseNotRunIdempotent, &RunCounters::misdirectedAnswers,
             &RunCounters::slotOverruns, &RunCounters::coldOverruns, &RunCounters::endedTwice, &RunCounters::neverEnded,
             &RunCounters::notifications, &RunCounters::staleDispatches, &RunCounters::silentColdRefusals,
             &RunCounters::coldTurns, &RunCounters::coldTurnsDetected, &RunCounters::unansweredNonIdempotent })
        this->*member += other.*member;
    return *this;
}

Simulation::Simulation(unsigned seed, const Scenario& scenario)
    : scenario { scenario }
    , random { seed }
    , nodes { entryCount }
    , upstreams { upstreamCount }
    , configuration { std::make_shared<config::Configuration>() }
{
    for (std::size_t i = 0; i < entryCount; ++i) {
        this->nodes[i].self = { InstanceId { static_cast<std::uint32_t>(i + 1) }, Epoch { 1 } };
        this->startProcess(i);
    }
    for (std::size_t i = 0; i < upstreamCount; ++i)
        this->announceUpstream(i, upstream::UpstreamState::Ready);
    for (std::size_t i = 0; i < entryCount; ++i)
        this->changeView(i, { 0, 1, 2 });
    this->now += Seconds { 100 }; // past MAX_TRANSMIT_WAIT, as in a cluster that has run for some time
}

RunCounters Simulation::run()
{
    for (int caller = 0; caller < this->scenario.callers; ++caller)
        this->schedule(this->now + Milliseconds { this->randomBelow(500) },
            [=, this] { this->sendNewRequest(std::size_t(caller)); });
    this->schedule(this->now, [this] { this->tick(); });
    this->schedule(this->now + Seconds { 2 }, [this] { this->injectFault(); });
    const TimePoint end = this->faultsEndAt + Seconds { 40 };
    while (!this->eventQueue.empty() && this->eventQueue.top().time <= end) {
        const ScheduledEvent next = this->eventQueue.top();
        this->eventQueue.pop();
        this->now = next.time;
        next.action();
    }
    this->countOutcomes();
    return this->counters;
}

void Simulation::schedule(TimePoint time, std::function<void()> action)
{
    this->eventQueue.push({ time, this->nextEventOrder++, std::move(action) });
}

void Simulation::sendDatagram(Milliseconds maxDelay, const std::function<void()>& deliver)
{
    const bool loses = this->scenario.hasLoss;
    const std::size_t copies = loses && this->randomBelow(100) < 4 ? this->randomBelow(2) * 2 : 1;
    for (std::size_t copy = 0; copy < copies; ++copy) {
        const bool isLate = loses && this->randomBelow(100) < 3;
        const auto delay = isLate ? this->randomBelow(std::size_t(maxDelay.count())) : 1 + this->randomBelow(8);
        this->schedule(this->now + Milliseconds { delay }, deliver);
    }
}

void Simulation::sendToNode(std::size_t node, Milliseconds maxDelay, const std::function<void()>& deliver)
{
    this->sendDatagram(maxDelay, [=, this] {
        if (this->nodes[node].state == NodeState::Paused)
            this->nodes[node].inbox.push_back(deliver);
        else if (this->nodes[node].state == NodeState::Running)
            deliver();
    });
}

void Simulation::handleOwnerEvent(std::size_t node, const OwnerEvent& event)
{
    this->perform(node, this->nodes[node].owner->handle(event, this->now));
}

void Simulation::handleHomeEvent(std::size_t node, const HomeEvent& event)
{
    this->perform(node, this->nodes[node].home->handle(event, this->now));
}

void Simulation::perform(std::size_t node, const OwnerActions& actions)
{
    const Overloaded visitor {
        [&](const SendToCaller& action) {
            const std::size_t caller = action.caller.port;
            this->sendDatagram(Seconds { 2 }, [=, this] { this->deliverToCaller(node, caller, action.message); });
        },
        [&](const SendToPeer& action) {
            const std::size_t peer = action.peer.value - 1;
            this->sendToNode(peer, Seconds { 2 }, [=, this] { this->handlePeerMessage(node, peer, action.message); });
        },
        [&](const RequestEnded& action) {
            const PeerProcess& process = this->nodes[node].self;
            this->counters.endedTwice += ++this->ended[{ process, action.id }] > 1 ? 1 : 0;
        },
        [](const auto&) {},
    };
    for (const auto& action : actions)
        std::visit(visitor, action);
}

void Simulation::perform(std::size_t node, const HomeActions& actions)
{
    const Overloaded visitor {
        [&](const SendToUpstream& action) { this->sendToUpstream(node, action.destination, action.message); },
        [&](const SendResult& action) {
            const std::size_t peer = action.owner.value - 1;
            const ResultReceived event { this->nodes[node].self.instance, action.result };
            this->sendToNode(peer, Seconds { 2 }, [=, this] { this->handleOwnerEvent(peer, event); });
        },
        [&](const ReportHealthSignal& action) {
            this->counters.coldTurnsDetected += action.signal == upstream::HealthSignal::TurnedCold ? 1 : 0;
        },
        [](const auto&) {},
    };
    for (const auto& action : actions)
        std::visit(visitor, action);
}

void Simulation::handlePeerMessage(std::size_t from, std::size_t to, const PeerMessage& message)
{
    const InstanceId sender { static_cast<std::uint32_t>(from + 1) };
    std::visit(Overloaded {
                   [&](const RecordRequest& record) {
                       this->handleOwnerEvent(to, RecordReceived { sender, record });
                   },
                   [&](const RecordRequestAck& ack) {
                       this->handleOwnerEvent(to, RecordAckReceived { sender, ack });
                   },
                   [&](const ObservationRecord& record) {
                       this->handleOwnerEvent(to, ObservationRecordReceived { sender, record });
                   },
                   [&](const ObservationRecordAck& ack) {
                       this->handleOwnerEvent(to, ObservationRecordAckReceived { sender, ack });
                   },
                   [&](const DispatchRequest& request) {
                       this->handleHomeEvent(to, DispatchReceived { sender, request });
                   },
                   [&](const CancelRequest& request) {
                       this->handleHomeEvent(to, CancelReceived { sender, request });
                   },
               },
        message);
}

void Simulation::startProcess(std::size_t node)
{
    Node& entry = this->nodes[node];
    entry.owner = std::make_unique<RequestOwner>(this->scenario.owner, entry.self);
    entry.home = std::make_unique<RequestHome>(this->scenario.home, entry.self, 77);
    entry.buckets.clear();
    entry.firstSeen.clear();
    this->handleOwnerEvent(node, OwnerConfigured { this->configuration });
    for (const auto& [id, info] : entry.upstreams) {
        this->handleOwnerEvent(node, UpstreamsUpdated { { info }, {} });
        this->handleHomeEvent(node, UpstreamsUpdated { { info }, {} });
    }
}

void Simulation::tick()
{
    this->extendLeases();
    for (std::size_t i = 0; i < entryCount; ++i) {
        if (this->nodes[i].state != NodeState::Running)
            continue;
        this->handleHomeEvent(i, HomeTick {});
        this->handleOwnerEvent(i, OwnerTick {});
    }
    for (auto& upstream : this->upstreams) {
        if (this->randomBelow(25) == 0 && this->now < this->faultsEndAt)
            this->sendFromUpstream(
                std::size_t(&upstream - this->upstreams.data()), upstream.notifyObservers(this->now));
    }
    this->schedule(this->now + Milliseconds { 20 }, [this] { this->tick(); });
}

void Simulation::extendLeases()
{
    for (std::size_t i = 0; i < entryCount; ++i) {
        Node& node = this->nodes[i];
        if (node.state != NodeState::Running || !node.joined)
            continue;
        TimePoint oldest = this->now;
        for (const std::size_t peer : node.view) {
            if (this->nodes[peer].state == NodeState::Running)
                node.acknowledged[peer] = this->now;
            oldest = std::min(oldest, node.acknowledged[peer]);
        }
        const LeaseExtended lease { oldest + Milliseconds { 800 } };
        this->handleOwnerEvent(i, lease);
        this->handleHomeEvent(i, lease);
    }
}

void Simulation::injectFault()
{
    if (this->now >= this->faultsEndAt)
        return;
    const std::size_t node = this->randomBelow(entryCount);
    const auto running = std::count_if(this->nodes.begin(), this->nodes.end(),
        [](const Node& entry) { return entry.state == NodeState::Running && entry.joined; });
    const auto kind = this->randomBelow(4);
    if (kind == 0 && this->scenario.killsEntries && running == entryCount)
        this->interruptNode(node, NodeState::Crashed, Milliseconds { 2000 + this->randomBelow(4000) });
    else if (kind == 1 && this->scenario.pausesEntries && running == entryCount)
        this->interruptNode(node, NodeState::Paused, Milliseconds { 200 + this->randomBelow(4000) });
    else if (kind == 2 && this->scenario.restartsUpstreams) {
        const std::size_t host = this->randomBelow(upstreamCount);
        this->announceUpstream(host, upstream::UpstreamState::Lost);
        this->upstreams[host].restart(this->now);
        this->announceUpstream(host, upstream::UpstreamState::Cold);
    }
    if (kind == 3 && this->scenario.turnsUpstreamsCold) {
        ++this->counters.coldTurns;
        this->upstreams[this->randomBelow(upstreamCount)].turnCold(this->now);
    }
    this->schedule(this->now + Milliseconds { 1000 + this->randomBelow(3000) }, [this] { this->injectFault(); });
}

void Simulation::interruptNode(std::size_t node, NodeState state, Milliseconds duration)
{
    Node& entry = this->nodes[node];
    entry.state = state;
    const int outageCount = ++entry.outageCount;
    for (std::size_t peer = 0; peer < entryCount; ++peer) {
        const Milliseconds detection { 1000 + this->randomBelow(100) };
        this->schedule(this->now + detection, [=, this] {
            Node& observer = this->nodes[peer];
            Node& interrupted = this->nodes[node];
            if (peer == node || interrupted.state == NodeState::Running || interrupted.outageCount != outageCount
                || observer.state != NodeState::Running)
                return;
            interrupted.isRemoved = true;
            auto view = observer.view;
            view.erase(node);
            this->handleOwnerEvent(peer, PeerLost { interrupted.self });
            this->changeView(peer, view);
        });
    }
    this->schedule(this->now + duration, [=, this] {
        Node& resumed = this->nodes[node];
        resumed.state = NodeState::Running;
        if (state == NodeState::Crashed) {
            ++resumed.self.epoch.value;
            resumed.isRemoved = true;
            resumed.joined = false;
            this->startProcess(node);
        }
        // A process that resumes after a pause handles its queued messages before it learns that it was removed.
        resumed.isDrainingInbox = true;
        for (const auto& deliver : std::exchange(resumed.inbox, {}))
            deliver();
        resumed.isDrainingInbox = false;
        resumed.joined = resumed.joined && !resumed.isRemoved;
        if (!resumed.joined)
            this->schedule(this->now + Milliseconds { 300 }, [=, this] { this->rejoin(node); });
    });
}

void Simulation::rejoin(std::size_t node)
{
    for (std::size_t peer = 0; peer < entryCount; ++peer) {
        const Milliseconds delay { peer == node ? 200 : this->randomBelow(100) };
        this->schedule(this->now + delay, [=, this] {
            Node& entry = this->nodes[peer];
            if (peer == node) {
                entry.isRemoved = false;
                entry.joined = true;
                for (std::size_t other = 0; other < entryCount; ++other)
                    entry.acknowledged[other] = this->now;
                this->changeView(peer, { 0, 1, 2 });
                this->extendLeases();
            } else if (entry.joined) {
                auto view = entry.view;
                view.insert(node);
                entry.acknowledged[node] = this->now;
                this->changeView(peer, view);
            }
        });
    }
}

void Simulation::changeView(std::size_t node, const std::set<std::size_t>& view)
{
    Node& entry = this->nodes[node];
    entry.view = view;
    entry.viewChangedAt = this->now;
    LiveEntriesReplaced owners;
    for (const std::size_t peer : view)
        owners.entries.push_back(this->nodes[peer].self);
    this->handleHomeEvent(node, owners);
    OwnershipTaken taken { service, {}, {} };
    std::set<std::uint32_t> ownBuckets;
    for (std::uint32_t bucket = 0; bucket < buckets; ++bucket) {
        if (this->rankedEntries(bucket, view).front() != node)
            continue;
        ownBuckets.insert(bucket);
        if (entry.buckets.contains(bucket) && view.size() != entryCount)
            continue;
        const BucketIndex index { static_cast<std::uint16_t>(bucket) };
        taken.buckets.push_back(index);
        auto others = view;
        others.erase(node);
        // Only an entry that rejoins takes buckets over from an entry that is still running.
        if (view.size() == entryCount)
            taken.previousOwners.emplace(index, this->nodes[this->rankedEntries(bucket, others).front()].self.instance);
    }
    OwnershipLost lost { service, {}, {} };
    for (const std::uint32_t bucket : entry.buckets) {
        if (!ownBuckets.contains(bucket))
            lost.buckets.push_back(BucketIndex { static_cast<std::uint16_t>(bucket) });
    }
    entry.buckets = ownBuckets;
    this->handleOwnerEvent(node, lost);
    this->handleOwnerEvent(node, taken);
    this->assignHomes(node);
}

void Simulation::assignHomes(std::size_t node)
{
    Node& entry = this->nodes[node];
    HomeAssignmentsReplaced homes;
    for (const auto& [id, info] : entry.upstreams) {
        const std::size_t first = this->rankedEntries(id.value, entry.view).front();
        this->handleOwnerEvent(node, HomeChanged { id, this->nodes[first].self });
        const bool isNew
            = this->now - entry.firstSeen[id] < Milliseconds { 500 } && this->now - entry.viewChangedAt > Seconds { 2 };
        if (first == node)
            homes.assignments.push_back({ id, !isNew && this->now > TimePoint { Seconds { 1000 } } });
    }
    this->handleHomeEvent(node, homes);
}

std::vector<std::size_t> Simulation::rankedEntries(std::uint64_t key, const std::set<std::size_t>& view) const
{
    std::vector<std::size_t> order { view.begin(), view.end() };
    std::sort(order.begin(), order.end(),
        [&](std::size_t left, std::size_t right) { return hashOf(5, key, left) > hashOf(5, key, right); });
    return order;
}

void Simulation::announceUpstream(std::size_t upstream, upstream::UpstreamState state)
{
    upstream::UpstreamInfo info;
    info.service = service;
    info.address = upstreamAddress(upstream);
    info.incarnation = Incarnation { this->upstreams[upstream].incarnation };
    info.id = upstreamIdOf(service, info.address, info.incarnation);
    info.state = state;
    for (std::size_t i = 0; i < entryCount; ++i) {
        const Milliseconds delay { this->now > TimePoint { Seconds { 1000 } } ? 5 + this->randomBelow(200) : 0 };
        if (delay.count() == 0)
            this->updateUpstream(i, info);
        else
            this->schedule(this->now + delay, [=, this] { this->updateUpstream(i, info); });
    }
}

void Simulation::updateUpstream(std::size_t node, const upstream::UpstreamInfo& info)
{
    Node& entry = this->nodes[node];
    entry.upstreams[info.id] = info;
    if (entry.state == NodeState::Crashed)
        return;
    const auto apply = [=, this] {
        this->nodes[node].firstSeen.emplace(info.id, this->now);
        this->handleOwnerEvent(node, UpstreamsUpdated { { info }, {} });
        this->handleHomeEvent(node, UpstreamsUpdated { { info }, {} });
        if (!this->nodes[node].view.empty())
            this->assignHomes(node);
    };
    if (entry.state == NodeState::Paused)
        entry.inbox.emplace_back(apply);
    else
        apply();
}

} // namespace zinnia::request
