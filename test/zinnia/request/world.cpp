#include "world.hpp"

#include <algorithm>
#include <utility>

namespace zinnia::request {

namespace {

    constexpr ServiceId service { 1 };
    constexpr std::uint32_t buckets = 16;
    constexpr std::size_t entries = 3;
    constexpr std::size_t hosts = 4;

    Endpoint upstreamAddress(std::size_t upstream) { return { 2, static_cast<std::uint16_t>(upstream) }; }

    template <class... Ts> struct Overloaded : Ts... {
        using Ts::operator()...;
    };
    template <class... Ts> Overloaded(Ts...) -> Overloaded<Ts...>;

} // namespace

Tally& Tally::operator+=(const Tally& other)
{
    for (const auto member :
        { &Tally::requests, &Tally::answered, &Tally::notRun, &Tally::unknown, &Tally::cancelled, &Tally::silent,
            &Tally::doubleRuns, &Tally::falseNotRun, &Tally::falseNotRunIdempotent, &Tally::foreignAnswers,
            &Tally::slotOverruns, &Tally::coldOverruns, &Tally::endedTwice, &Tally::neverEnded, &Tally::notifications,
            &Tally::staleDispatches, &Tally::shed, &Tally::cooled, &Tally::noticed, &Tally::abandoned })
        this->*member += other.*member;
    return *this;
}

World::World(unsigned seed, const Scenario& scenario)
    : scenario { scenario }
    , random { seed }
    , nodes { entries }
    , upstreams { hosts }
    , configuration { std::make_shared<config::Configuration>() }
{
    for (std::size_t i = 0; i < entries; ++i) {
        this->nodes[i].self = { InstanceId { static_cast<std::uint32_t>(i + 1) }, Epoch { 1 } };
        this->boot(i);
    }
    for (std::size_t i = 0; i < hosts; ++i)
        this->announce(i, upstream::UpstreamState::Ready);
    for (std::size_t i = 0; i < entries; ++i)
        this->changeView(i, { 0, 1, 2 });
    this->now += Seconds { 100 }; // past MAX_TRANSMIT_WAIT, as in an installation that has run for a while
}

Tally World::run()
{
    for (int caller = 0; caller < this->scenario.callers; ++caller)
        this->at(this->now + Milliseconds { this->below(500) }, [=, this] { this->newCall(std::size_t(caller)); });
    this->at(this->now, [this] { this->tick(); });
    this->at(this->now + Seconds { 2 }, [this] { this->breakSomething(); });
    const TimePoint end = this->quietAt + Seconds { 40 };
    while (!this->agenda.empty() && this->agenda.top().time <= end) {
        const Later next = this->agenda.top();
        this->agenda.pop();
        this->now = next.time;
        next.action();
    }
    this->count();
    return this->tally;
}

void World::at(TimePoint time, std::function<void()> action)
{
    this->agenda.push({ time, this->order++, std::move(action) });
}

void World::post(Milliseconds longest, const std::function<void()>& deliver)
{
    const bool loses = this->scenario.hasLoss;
    const std::size_t copies = loses && this->below(100) < 4 ? this->below(2) * 2 : 1;
    for (std::size_t copy = 0; copy < copies; ++copy) {
        const bool isLate = loses && this->below(100) < 3;
        const auto delay = isLate ? this->below(std::size_t(longest.count())) : 1 + this->below(8);
        this->at(this->now + Milliseconds { delay }, deliver);
    }
}

void World::toNode(std::size_t node, Milliseconds longest, const std::function<void()>& deliver)
{
    this->post(longest, [=, this] {
        if (this->nodes[node].power == Power::Frozen)
            this->nodes[node].inbox.push_back(deliver);
        else if (this->nodes[node].power == Power::Running)
            deliver();
    });
}

void World::owner(std::size_t node, const OwnerEvent& event)
{
    this->perform(node, this->nodes[node].owner->handle(event, this->now));
}

void World::home(std::size_t node, const HomeEvent& event)
{
    this->perform(node, this->nodes[node].home->handle(event, this->now));
}

void World::perform(std::size_t node, const OwnerActions& actions)
{
    const Overloaded visitor {
        [&](const SendToCaller& action) {
            const std::size_t caller = action.caller.port;
            this->post(Seconds { 2 }, [=, this] { this->toCaller(node, caller, action.message); });
        },
        [&](const SendToPeer& action) {
            const std::size_t peer = action.peer.value - 1;
            this->toNode(peer, Seconds { 2 }, [=, this] { this->peerMessage(node, peer, action.message); });
        },
        [&](const RequestEnded& action) {
            const PeerProcess& process = this->nodes[node].self;
            this->tally.endedTwice += ++this->ended[{ process, action.id }] > 1 ? 1 : 0;
        },
        [](const auto&) {},
    };
    for (const auto& action : actions)
        std::visit(visitor, action);
}

void World::perform(std::size_t node, const HomeActions& actions)
{
    const Overloaded visitor {
        [&](const SendToUpstream& action) { this->toUpstream(node, action.destination, action.message); },
        [&](const SendResult& action) {
            const std::size_t peer = action.owner.value - 1;
            const ResultReceived event { this->nodes[node].self.instance, action.result };
            this->toNode(peer, Seconds { 2 }, [=, this] { this->owner(peer, event); });
        },
        [&](const ReportHealthSignal& action) {
            this->tally.noticed += action.observation == upstream::HealthSignal::TurnedCold ? 1 : 0;
        },
        [](const auto&) {},
    };
    for (const auto& action : actions)
        std::visit(visitor, action);
}

void World::peerMessage(std::size_t from, std::size_t to, const PeerMessage& message)
{
    const InstanceId sender { static_cast<std::uint32_t>(from + 1) };
    std::visit(Overloaded {
                   [&](const RecordRequest& record) {
                       this->owner(to, RecordReceived { sender, record });
                   },
                   [&](const RecordRequestAck& ack) {
                       this->owner(to, RecordAckReceived { sender, ack });
                   },
                   [&](const ObservationRecord& record) {
                       this->owner(to, ObservationRecordReceived { sender, record });
                   },
                   [&](const ObservationRecordAck& ack) {
                       this->owner(to, ObservationRecordAckReceived { sender, ack });
                   },
                   [&](const DispatchRequest& request) {
                       this->home(to, DispatchReceived { sender, request });
                   },
                   [&](const CancelRequest& request) {
                       this->home(to, CancelReceived { sender, request });
                   },
               },
        message);
}

void World::boot(std::size_t node)
{
    Node& entry = this->nodes[node];
    entry.owner = std::make_unique<RequestOwner>(this->scenario.owner, entry.self);
    entry.home = std::make_unique<RequestHome>(this->scenario.home, entry.self, 77);
    entry.buckets.clear();
    entry.firstSeen.clear();
    this->owner(node, OwnerConfigured { this->configuration });
    for (const auto& [id, info] : entry.upstreams) {
        this->owner(node, UpstreamsUpdated { { info }, {} });
        this->home(node, UpstreamsUpdated { { info }, {} });
    }
}

void World::tick()
{
    this->extendLeases();
    for (std::size_t i = 0; i < entries; ++i) {
        if (this->nodes[i].power != Power::Running)
            continue;
        this->home(i, HomeTick {});
        this->owner(i, OwnerTick {});
    }
    for (auto& upstream : this->upstreams) {
        if (this->below(25) == 0 && this->now < this->quietAt)
            this->fromUpstream(std::size_t(&upstream - this->upstreams.data()), upstream.notifyObservers(this->now));
    }
    this->at(this->now + Milliseconds { 20 }, [this] { this->tick(); });
}

void World::extendLeases()
{
    for (std::size_t i = 0; i < entries; ++i) {
        Node& node = this->nodes[i];
        if (node.power != Power::Running || !node.joined)
            continue;
        TimePoint oldest = this->now;
        for (const std::size_t peer : node.view) {
            if (this->nodes[peer].power == Power::Running)
                node.acknowledged[peer] = this->now;
            oldest = std::min(oldest, node.acknowledged[peer]);
        }
        const LeaseExtended lease { oldest + Milliseconds { 800 } };
        this->owner(i, lease);
        this->home(i, lease);
    }
}

void World::breakSomething()
{
    if (this->now >= this->quietAt)
        return;
    const std::size_t node = this->below(entries);
    const auto running = std::count_if(this->nodes.begin(), this->nodes.end(),
        [](const Node& entry) { return entry.power == Power::Running && entry.joined; });
    const auto kind = this->below(4);
    if (kind == 0 && this->scenario.killsEntries && running == entries)
        this->takeDown(node, Power::Dead, Milliseconds { 2000 + this->below(4000) });
    else if (kind == 1 && this->scenario.freezesEntries && running == entries)
        this->takeDown(node, Power::Frozen, Milliseconds { 200 + this->below(4000) });
    else if (kind == 2 && this->scenario.restartsUpstreams) {
        const std::size_t host = this->below(hosts);
        this->announce(host, upstream::UpstreamState::Lost);
        this->upstreams[host].restart(this->now);
        this->announce(host, upstream::UpstreamState::Cold);
    }
    if (kind == 3 && this->scenario.coolsUpstreams) {
        ++this->tally.cooled;
        this->upstreams[this->below(hosts)].turnCold(this->now);
    }
    this->at(this->now + Milliseconds { 1000 + this->below(3000) }, [this] { this->breakSomething(); });
}

void World::takeDown(std::size_t node, Power power, Milliseconds duration)
{
    Node& entry = this->nodes[node];
    entry.power = power;
    const int outage = ++entry.outage;
    for (std::size_t peer = 0; peer < entries; ++peer) {
        const Milliseconds detection { 1000 + this->below(100) };
        this->at(this->now + detection, [=, this] {
            Node& observer = this->nodes[peer];
            Node& gone = this->nodes[node];
            if (peer == node || gone.power == Power::Running || gone.outage != outage
                || observer.power != Power::Running)
                return;
            gone.wasRemoved = true;
            auto view = observer.view;
            view.erase(node);
            this->owner(peer, PeerLost { gone.self });
            this->changeView(peer, view);
        });
    }
    this->at(this->now + duration, [=, this] {
        Node& back = this->nodes[node];
        back.power = Power::Running;
        if (power == Power::Dead) {
            ++back.self.epoch.value;
            back.wasRemoved = true;
            back.joined = false;
            this->boot(node);
        }
        // A process that wakes handles what has queued up before it hears that it was removed.
        back.isWaking = true;
        for (const auto& deliver : std::exchange(back.inbox, {}))
            deliver();
        back.isWaking = false;
        back.joined = back.joined && !back.wasRemoved;
        if (!back.joined)
            this->at(this->now + Milliseconds { 300 }, [=, this] { this->rejoin(node); });
    });
}

void World::rejoin(std::size_t node)
{
    for (std::size_t peer = 0; peer < entries; ++peer) {
        const Milliseconds delay { peer == node ? 200 : this->below(100) };
        this->at(this->now + delay, [=, this] {
            Node& entry = this->nodes[peer];
            if (peer == node) {
                entry.wasRemoved = false;
                entry.joined = true;
                for (std::size_t other = 0; other < entries; ++other)
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

void World::changeView(std::size_t node, const std::set<std::size_t>& view)
{
    Node& entry = this->nodes[node];
    entry.view = view;
    entry.viewChangedAt = this->now;
    LiveEntriesReplaced owners;
    for (const std::size_t peer : view)
        owners.entries.push_back(this->nodes[peer].self);
    this->home(node, owners);
    OwnershipTaken taken { service, {}, {} };
    std::set<std::uint32_t> mine;
    for (std::uint32_t bucket = 0; bucket < buckets; ++bucket) {
        if (this->ranked(bucket, view).front() != node)
            continue;
        mine.insert(bucket);
        if (entry.buckets.contains(bucket) && view.size() != entries)
            continue;
        const BucketIndex index { static_cast<std::uint16_t>(bucket) };
        taken.buckets.push_back(index);
        auto others = view;
        others.erase(node);
        // Only an entry that rejoins takes buckets over from one that still runs.
        if (view.size() == entries)
            taken.previousOwners.emplace(index, this->nodes[this->ranked(bucket, others).front()].self.instance);
    }
    OwnershipLost lost { service, {}, {} };
    for (const std::uint32_t bucket : entry.buckets) {
        if (!mine.contains(bucket))
            lost.buckets.push_back(BucketIndex { static_cast<std::uint16_t>(bucket) });
    }
    entry.buckets = mine;
    this->owner(node, lost);
    this->owner(node, taken);
    this->assign(node);
}

void World::assign(std::size_t node)
{
    Node& entry = this->nodes[node];
    HomeAssignmentsReplaced homes;
    for (const auto& [id, info] : entry.upstreams) {
        const std::size_t first = this->ranked(id.value, entry.view).front();
        this->owner(node, HomeChanged { id, this->nodes[first].self });
        const bool isNew
            = this->now - entry.firstSeen[id] < Milliseconds { 500 } && this->now - entry.viewChangedAt > Seconds { 2 };
        if (first == node)
            homes.assignments.push_back({ id, !isNew && this->now > TimePoint { Seconds { 1000 } } });
    }
    this->home(node, homes);
}

std::vector<std::size_t> World::ranked(std::uint64_t key, const std::set<std::size_t>& view) const
{
    std::vector<std::size_t> order { view.begin(), view.end() };
    std::sort(order.begin(), order.end(),
        [&](std::size_t left, std::size_t right) { return hashOf(5, key, left) > hashOf(5, key, right); });
    return order;
}

void World::announce(std::size_t upstream, upstream::UpstreamState state)
{
    upstream::UpstreamInfo info;
    info.service = service;
    info.address = upstreamAddress(upstream);
    info.incarnation = Incarnation { this->upstreams[upstream].incarnation };
    info.id = upstreamIdOf(service, info.address, info.incarnation);
    info.state = state;
    for (std::size_t i = 0; i < entries; ++i) {
        const Milliseconds delay { this->now > TimePoint { Seconds { 1000 } } ? 5 + this->below(200) : 0 };
        if (delay.count() == 0)
            this->learn(i, info);
        else
            this->at(this->now + delay, [=, this] { this->learn(i, info); });
    }
}

void World::learn(std::size_t node, const upstream::UpstreamInfo& info)
{
    Node& entry = this->nodes[node];
    entry.upstreams[info.id] = info;
    if (entry.power == Power::Dead)
        return;
    const auto apply = [=, this] {
        this->nodes[node].firstSeen.emplace(info.id, this->now);
        this->owner(node, UpstreamsUpdated { { info }, {} });
        this->home(node, UpstreamsUpdated { { info }, {} });
        if (!this->nodes[node].view.empty())
            this->assign(node);
    };
    if (entry.power == Power::Frozen)
        entry.inbox.emplace_back(apply);
    else
        apply();
}

} // namespace zinnia::request
