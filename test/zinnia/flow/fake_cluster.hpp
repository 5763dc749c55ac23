#pragma once

#include "zinnia/flow/flow_engine.hpp"
#include "zinnia/membership/membership.hpp"
#include "zinnia/wire/archive.hpp"
#include "zinnia/wire/envelope.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace zinnia::flow::fake {

struct Options {
    std::uint16_t zones = 3;
    std::uint32_t perZone = 3;
    std::uint32_t upstreamsPerZone = 5;
    std::uint32_t buckets = 128;
    double loss = 0.0;
    double duplicate = 0.0;
    Microseconds delay { 500 };
    Microseconds jitter { 1500 };
    /** Maximum random delay until an entry learns of a change of an upstream, independent for each change. */
    Milliseconds upstreamLearnDelay { 0 };
    Milliseconds flowIdle { 60000 };
    std::uint64_t seed = 1;
    Settings settings;
};

/** @brief Entries with engine and membership on a network with delay, loss, duplication, reordering and partitions. */
class FakeCluster {
public:
    struct Node {
        InstanceId id;
        ZoneId zone;
        Epoch epoch;
        bool up = false;
        TimePoint pausedUntil;
        std::unique_ptr<membership::Membership> membership;
        std::unique_ptr<FlowEngine> engine;
        std::map<UpstreamId, std::pair<std::uint64_t, upstream::UpstreamInfo>> known;
    };
    using Observer = std::function<void(const Node&, const Action&)>;

    explicit FakeCluster(const Options& options)
        : options { options }
        , random { options.seed }
    {
        this->configuration.version = ConfigVersion { 1 };
        for (std::uint16_t id = 1; id <= 2; ++id) {
            config::Service& service = this->configuration.services.emplace_back();
            service.id = ServiceId { id };
            service.buckets = options.buckets;
            service.flowIdleTimeout = options.flowIdle;
        }
        for (std::uint16_t zone = 1; zone <= options.zones; ++zone) {
            this->configuration.zones.push_back({ ZoneId { zone }, "", config::ZoneState::InService, 1.0 });
            for (std::uint32_t i = 0; i < options.perZone; ++i) {
                const InstanceId id { zone * 100U + i + 1 };
                this->configuration.entries.push_back({ id, ZoneId { zone }, {}, {}, {} });
                Node& node = this->nodes[id];
                node.id = id;
                node.zone = ZoneId { zone };
            }
            for (std::uint32_t i = 0; i < options.upstreamsPerZone; ++i)
                this->publish(makeUpstream(ServiceId { 1 }, ZoneId { zone }, i));
            this->publish(makeUpstream(ServiceId { 2 }, ZoneId { zone }, 90));
        }
    }

    [[nodiscard]] static upstream::UpstreamInfo makeUpstream(
        ServiceId service, ZoneId zone, std::uint32_t index, std::uint64_t incarnation = 1)
    {
        upstream::UpstreamInfo info;
        info.address = { 0x0A000000U + zone.value * 65536U + index, 7000 };
        info.service = service;
        info.zone = zone;
        info.incarnation = Incarnation { incarnation };
        info.id = upstreamIdOf(service, info.address, info.incarnation);
        info.state = upstream::UpstreamState::Ready;
        return info;
    }

    void start(InstanceId id)
    {
        Node& node = this->nodes.at(id);
        ++node.epoch.value;
        node.up = true;
        node.membership
            = std::make_unique<membership::Membership>(id, node.zone, node.epoch, this->now(), membership::Settings {});
        node.engine = std::make_unique<FlowEngine>(id, node.zone, node.epoch, this->now(), this->options.settings);
        node.known.clear();
        for (const auto& [upstream, info] : this->publishedUpstreams)
            this->scheduleUpstreamUpdate(node, info.first, info.second);
        std::vector<membership::Peer> peers;
        for (const config::Entry& entry : this->configuration.entries)
            peers.push_back({ entry.id, entry.zone });
        this->applyMembership(node, membership::PeersChanged { peers });
        this->adopt(id);
    }
    void startAll()
    {
        for (auto& [id, node] : this->nodes)
            this->start(id);
    }
    void kill(InstanceId id) { this->nodes.at(id).up = false; }
    void leave(InstanceId id)
    {
        this->applyMembership(this->nodes.at(id), membership::LeaveRequested {});
        this->applyEngine(this->nodes.at(id), Stop {});
    }
    void pause(InstanceId id, Milliseconds duration) { this->nodes.at(id).pausedUntil = this->now() + duration; }
    void partitionZone(ZoneId zone) { this->partitionedZones.insert(zone); }
    void endPartition(ZoneId zone) { this->partitionedZones.erase(zone); }

    /** @brief Makes the entry adopt the newest configuration. */
    void adopt(InstanceId id)
    {
        Node& node = this->nodes.at(id);
        this->applyMembership(node, membership::VersionAdopted { this->configuration.version });
        this->applyEngine(node, ConfigurationChanged { this->configuration });
    }
    /** @brief Changes a zone; entries adopt it when `adopt` is called. */
    void setZone(ZoneId zone, config::ZoneState state)
    {
        ++this->configuration.version.value;
        for (config::Zone& known : this->configuration.zones) {
            if (known.id == zone)
                known.state = state;
        }
    }

    /** @brief Adds or changes an upstream. */
    void publish(const upstream::UpstreamInfo& info)
    {
        this->publishedUpstreams[info.id] = { ++this->revision, info };
        for (auto& [id, node] : this->nodes) {
            if (node.up && node.zone == info.zone)
                this->scheduleUpstreamUpdate(node, this->revision, info);
        }
    }
    void setState(UpstreamId id, upstream::UpstreamState state, double weight)
    {
        upstream::UpstreamInfo info = this->publishedUpstreams.at(id).second;
        info.state = state;
        info.weight = weight;
        this->publish(info);
    }

    [[nodiscard]] static Endpoint callerOf(std::uint32_t flow)
    {
        return { 0xC0A80000U + flow / 50000, static_cast<std::uint16_t>(1024 + flow % 50000) };
    }
    /** @brief Delivers a caller's packet to a random running entry, as the fabric does. */
    void sendPacket(ServiceId service, std::uint32_t flow)
    {
        std::vector<Node*> running;
        for (auto& [id, node] : this->nodes) {
            if (node.up && (!this->excludeJoining || node.membership->state() != membership::MemberState::Joining))
                running.push_back(&node);
        }
        if (running.empty())
            return;
        Node& node = *running[this->random() % running.size()];
        if (this->now() < node.pausedUntil)
            return;
        // The payload holds the flow key and the service, so that an observer can identify the flow at the upstream.
        const FlowKey key = node.engine->keyOf(service, callerOf(flow));
        Bytes payload;
        for (unsigned shift = 64; shift > 0; shift -= 8)
            payload.push_back(static_cast<std::uint8_t>(key.value >> (shift - 8)));
        payload.push_back(static_cast<std::uint8_t>(service.value));
        this->applyEngine(node, CallerPacket { service, callerOf(flow), payload });
    }

    void run(Milliseconds duration)
    {
        for (const TimePoint end = this->now() + duration; this->now() < end;)
            this->step();
    }
    /** @brief Advances by one tick of 10 ms. */
    void step()
    {
        const TimePoint end = this->now() + Milliseconds { 10 };
        while (!this->queue.empty() && this->queue.begin()->first <= end) {
            const auto due = this->queue.begin()->first;
            auto task = std::move(this->queue.begin()->second);
            this->queue.erase(this->queue.begin());
            if (due > this->now())
                this->clock.advance(due - this->now());
            task();
        }
        this->clock.advance(end - this->now());
        for (auto& [id, node] : this->nodes) {
            if (!node.up || this->now() < node.pausedUntil)
                continue;
            this->applyMembership(node, membership::Tick {});
            this->applyEngine(node, Tick {});
        }
    }

    [[nodiscard]] TimePoint now() const { return this->clock.now(); }
    [[nodiscard]] bool isInSync() const
    {
        return std::all_of(this->nodes.begin(), this->nodes.end(),
            [](const auto& entry) { return !entry.second.up || entry.second.engine->isInSync(); });
    }
    template <class Field> [[nodiscard]] std::uint64_t sumOfCounter(Field field) const
    {
        std::uint64_t total = 0;
        for (const auto& [id, node] : this->nodes)
            total += node.engine ? node.engine->counters().*field : 0;
        return total;
    }

    void applyEngine(Node& node, const Input& input)
    {
        Actions actions;
        node.engine->handle(input, this->now(), actions);
        for (const Action& action : actions) {
            if (const auto* send = std::get_if<SendToPeer>(&action)) {
                const bool control = !std::holds_alternative<ForwardPacket>(send->message);
                this->transmit(node, send->to, wire::encode(send->message), control);
            }
            if (this->observer)
                this->observer(node, action);
        }
    }

    Options options;
    config::Configuration configuration;
    std::map<InstanceId, Node> nodes;
    std::map<UpstreamId, std::pair<std::uint64_t, upstream::UpstreamInfo>> publishedUpstreams;
    std::mt19937_64 random;
    Observer observer;
    bool excludeJoining = false;
    /** Control bytes that each entry has sent, envelopes included. */
    std::map<InstanceId, std::uint64_t> sentBytes;
    /** Control messages without heartbeats. */
    std::uint64_t controlMessages = 0;

private:
    [[nodiscard]] double uniformRandom() { return std::uniform_real_distribution<double> {}(this->random); }

    void scheduleUpstreamUpdate(Node& node, std::uint64_t revision, const upstream::UpstreamInfo& info)
    {
        if (info.zone != node.zone)
            return;
        const auto delay = Microseconds { static_cast<std::int64_t>(
            this->uniformRandom() * static_cast<double>(Microseconds { this->options.upstreamLearnDelay }.count())) };
        this->queue.emplace(this->now() + delay, [this, id = node.id, epoch = node.epoch, revision, info] {
            Node& target = this->nodes.at(id);
            if (!target.up || target.epoch != epoch)
                return;
            auto& known = target.known[info.id];
            if (known.first >= revision)
                return;
            known = { revision, info };
            std::vector<upstream::UpstreamInfo> all;
            for (const auto& [key, value] : target.known)
                all.push_back(value.second);
            this->runWhenNotPaused(
                id, [this, id, all] { this->applyEngine(this->nodes.at(id), UpstreamsChanged { all }); });
        });
    }

    void runWhenNotPaused(InstanceId id, std::function<void()> task)
    {
        Node& node = this->nodes.at(id);
        if (!node.up)
            return;
        if (this->now() >= node.pausedUntil)
            task();
        else
            this->queue.emplace(node.pausedUntil, [this, id, task] { this->runWhenNotPaused(id, task); });
    }

    void applyMembership(Node& node, const membership::Input& input)
    {
        for (const membership::Action& action : node.membership->handle(input, this->now())) {
            if (const auto* send = std::get_if<membership::SendHeartbeat>(&action)) {
                this->sentBytes[node.id] += wire::encode(send->heartbeat).size() + wire::envelopeBytes;
                this->post(node, send->to, [this, to = send->to, heartbeat = send->heartbeat] {
                    this->applyMembership(this->nodes.at(to), membership::HeartbeatReceived { heartbeat });
                });
            } else if (const auto* changed = std::get_if<membership::ViewChanged>(&action))
                this->applyEngine(node, ViewChanged { changed->view });
            else if (std::holds_alternative<membership::FetchConfiguration>(action))
                this->post(node, node.id, [this, id = node.id] { this->adopt(id); });
        }
    }

    void transmit(Node& from, InstanceId to, const Bytes& encoded, bool control)
    {
        if (control) {
            // The envelope carries the kind, so the index of the variant is not sent.
            this->sentBytes[from.id] += encoded.size() - 2 + wire::envelopeBytes;
            ++this->controlMessages;
        }
        this->post(from, to, [this, from = from.id, to, encoded] {
            const auto message = wire::decode<PeerMessage>(encoded);
            if (message.has_value())
                this->applyEngine(this->nodes.at(to), PeerMessageReceived { from, message.value() });
            else
                ++this->undecodable;
        });
    }

    void post(Node& from, InstanceId to, const std::function<void()>& deliver)
    {
        const auto target = this->nodes.find(to);
        if (target == this->nodes.end())
            return;
        const int copies = this->uniformRandom() < this->options.duplicate ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            if (this->uniformRandom() < this->options.loss)
                continue;
            const auto delay = this->options.delay
                + Microseconds { static_cast<std::int64_t>(
                    this->uniformRandom() * static_cast<double>(this->options.jitter.count())) };
            const Epoch sender = from.epoch;
            const Epoch receiver = target->second.epoch;
            this->queue.emplace(this->now() + delay, [this, from = from.id, to, sender, receiver, deliver] {
                const Node& source = this->nodes.at(from);
                const Node& destination = this->nodes.at(to);
                const bool separated = source.zone != destination.zone
                    && (this->partitionedZones.contains(source.zone)
                        || this->partitionedZones.contains(destination.zone));
                // The envelope rejects messages of an earlier epoch of the sender.
                if (!separated && source.epoch == sender && destination.epoch == receiver)
                    this->runWhenNotPaused(to, deliver);
            });
        }
    }

    ManualClock clock;
    std::multimap<TimePoint, std::function<void()>> queue;
    std::set<ZoneId> partitionedZones;
    std::uint64_t revision = 0;

public:
    std::uint64_t undecodable = 0;
};

} // namespace zinnia::flow::fake
