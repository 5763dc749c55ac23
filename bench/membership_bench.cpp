// Measures heartbeats and configuration polls of one entry, on a manual clock. Bytes are those of sealed messages
// without transport headers. Processor time includes codec and keyed hash, not system calls.

#include "zinnia/config/distribution.hpp"
#include "zinnia/membership/membership.hpp"
#include "zinnia/runtime/config_exchange.hpp"
#include "zinnia/wire/config_codec.hpp"
#include "zinnia/wire/peer_codec.hpp"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace zinnia::bench {

namespace {

    constexpr ClusterId cluster { 1 };
    constexpr Epoch epoch { 1764800000000000 }; // microseconds since 1970, as the programs set it
    constexpr Milliseconds step { 50 };
    constexpr wire::ClusterKey key {};

    double processorSeconds()
    {
        timespec time {};
        clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
    }

    /** @return Mean processor time of one run of the work in microseconds. The work returns a value other than 0. */
    double microseconds(const auto& work)
    {
        constexpr int rounds = 50;
        std::size_t sink = 0;
        const double begin = processorSeconds();
        for (int round = 0; round < rounds; ++round)
            sink += work();
        return sink == 0 ? 0.0 : (processorSeconds() - begin) * 1e6 / rounds;
    }

    struct Node {
        Node(InstanceId id, ZoneId zone, TimePoint now)
            : membership { id, zone, epoch, now }
            , sealer { key, cluster, id, epoch }
            , opener { key, cluster }
        {
        }
        membership::Membership membership;
        wire::Sealer sealer;
        wire::Opener opener;
        std::vector<Bytes> inbox;
    };

    /** @brief Entries that exchange sealed heartbeats; instances are spread evenly over `zones` zones. */
    class Heartbeats {
    public:
        Heartbeats(std::uint32_t entries, std::uint32_t zones)
        {
            membership::PeersChanged peers;
            for (std::uint32_t id = 1; id <= entries; ++id)
                peers.peers.push_back({ InstanceId { id }, ZoneId { static_cast<std::uint16_t>(1 + id % zones) } });
            for (const membership::Peer& peer : peers.peers)
                this->nodes.push_back(std::make_unique<Node>(peer.id, peer.zone, this->clock.now()));
            for (const auto& node : this->nodes)
                this->perform(*node, node->membership.handle(peers, this->clock.now()));
        }

        void run(Milliseconds duration)
        {
            for (Milliseconds spent { 0 }; spent < duration; spent += step) {
                this->clock.advance(step);
                for (const auto& node : this->nodes)
                    this->receive(*node);
                for (const auto& node : this->nodes)
                    this->perform(*node, node->membership.handle(membership::Tick {}, this->clock.now()));
            }
        }

        /** @return True if every entry has all others in its view. */
        [[nodiscard]] bool isComplete() const
        {
            return std::ranges::all_of(this->nodes,
                [this](const auto& node) { return node->membership.view().members.size() == this->nodes.size(); });
        }

        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
        std::vector<std::unique_ptr<Node>> nodes;

    private:
        void receive(Node& node)
        {
            for (const Bytes& datagram : std::exchange(node.inbox, {})) {
                const auto opened = node.opener.open(datagram);
                const auto decoded = wire::decodePeerBody(opened.value().kind, opened.value().body);
                if (const auto* heartbeat = std::get_if<membership::Heartbeat>(&decoded.value()))
                    this->perform(
                        node, node.membership.handle(membership::HeartbeatReceived { *heartbeat }, this->clock.now()));
            }
        }

        void perform(Node& node, const membership::Actions& actions)
        {
            for (const auto& action : actions) {
                const auto* send = std::get_if<membership::SendHeartbeat>(&action);
                if (!send)
                    continue;
                Bytes body;
                wire::encodePeerBody(body, entry::PeerMessage { send->heartbeat });
                Bytes sealed = node.sealer.seal(wire::MessageKind::Heartbeat, body);
                ++this->messages;
                this->bytes += sealed.size();
                this->nodes[send->to.value - 1]->inbox.push_back(std::move(sealed));
            }
        }

        ManualClock clock;
    };

    void benchHeartbeats(std::uint32_t entries, std::uint32_t zones)
    {
        constexpr int seconds = 10;
        Heartbeats heartbeats { entries, zones };
        heartbeats.run(Milliseconds { 4000 });
        heartbeats.messages = heartbeats.bytes = 0;
        const double begin = processorSeconds();
        heartbeats.run(Seconds { seconds });
        const double spent = processorSeconds() - begin;
        const double runs = static_cast<double>(entries) * seconds;
        const Node& first = *heartbeats.nodes.front();
        std::printf("%8u %6u %12.1f %12.0f %10.1f %14.4f %14.2f %12zu%s\n", entries, zones,
            static_cast<double>(heartbeats.messages) / runs, static_cast<double>(heartbeats.bytes) / runs,
            static_cast<double>(heartbeats.bytes) / static_cast<double>(heartbeats.messages), 100.0 * spent / runs,
            spent * 1e6 / static_cast<double>(heartbeats.messages), first.membership.memoryBytes(),
            heartbeats.isComplete() ? "" : "  VIEW NOT COMPLETE");
    }

    config::Configuration makeConfiguration(std::uint32_t entries, std::uint32_t services)
    {
        config::Configuration configuration;
        configuration.cluster = cluster;
        configuration.version = ConfigVersion { 1000000 };
        for (std::uint16_t id = 1; id <= 17; ++id)
            configuration.zones.push_back({ ZoneId { id }, "zone-" + std::to_string(id) });
        for (std::uint32_t id = 1; id <= entries; ++id) {
            const std::uint32_t address = 0x0A000000U + id;
            configuration.entries.push_back({ InstanceId { id }, ZoneId { static_cast<std::uint16_t>(1 + id % 17) },
                { address, 7100 }, { address, 7200 }, { address, 7300 } });
        }
        for (std::uint32_t id = 1; id <= services; ++id) {
            config::Service& service = configuration.services.emplace_back();
            service.id = ServiceId { static_cast<std::uint16_t>(id) };
            service.name = "service-" + std::to_string(id);
            service.address = { 0x0A640000U + id, 5683 };
        }
        return configuration;
    }

    void benchConfiguration(std::uint32_t entries, std::uint32_t services)
    {
        const config::Configuration configuration = makeConfiguration(entries, services);
        wire::Sealer sealer { key, cluster, InstanceId { 9001 }, epoch };
        runtime::ConfigExchange exchange { key, cluster, InstanceId { 9001 }, sealer };
        const auto answer = [&](ConfigVersion activeVersion) {
            return exchange.answer({ {}, activeVersion }, configuration).size();
        };
        const Bytes encoded = wire::encodeConfiguration(configuration);
        const double unchanged = microseconds([&] { return answer(configuration.version); });
        const double answering = microseconds([&] { return answer({}); });
        const double decoding = microseconds([&] { return wire::decodeConfiguration(encoded).has_value(); });
        std::printf("%8u %9u %8zu %8zu %12zu %12.1f %12.1f %12.1f\n", entries, services,
            exchange.poll(configuration.version).size(), answer(configuration.version), answer({}), unchanged,
            answering, decoding);
    }

} // namespace

} // namespace zinnia::bench

int main()
{
    std::printf("Heartbeats of one entry\n%8s %6s %12s %12s %10s %14s %14s %12s\n", "entries", "zones", "messages/s",
        "bytes/s", "B/message", "% of a core", "us/message", "table bytes");
    using Size = std::pair<std::uint32_t, std::uint32_t>;
    for (const auto& [entries, zones] : { Size { 9, 1 }, { 25, 1 }, { 60, 1 }, { 120, 1 }, { 235, 1 }, { 9, 3 },
             { 30, 3 }, { 60, 3 }, { 120, 3 }, { 240, 3 } })
        zinnia::bench::benchHeartbeats(entries, zones);
    std::printf("\nConfiguration exchange, sealed\n%8s %9s %8s %8s %12s %12s %12s %12s\n", "entries", "services",
        "poll B", "same B", "newer B", "us same", "us newer", "us decode");
    for (const auto& [entries, services] : { Size { 9, 2 }, { 100, 62 }, { 400, 250 }, { 1000, 625 }, { 2000, 1250 },
             { 4000, 2500 }, { 4000, 2 }, { 9, 2500 } })
        zinnia::bench::benchConfiguration(entries, services);
    return 0;
}
