// Measures placement, memory, imbalance and control traffic of the flow engine. All times are ratios within this run.

#include "../test/zinnia/flow/fake_cluster.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <unordered_map>

namespace zinnia::flow {
namespace {

    using fake::FakeCluster;
    using fake::Options;

    constexpr ServiceId service { 1 };

    void row(const std::string& what, double value, const char* unit)
    {
        std::printf("%-64s %12.2f %-10s\n", what.c_str(), value, unit);
    }
    void row(const std::string& what, double value, const char* unit, double aim)
    {
        std::printf(
            "%-64s %12.2f %-10s aim <= %.2f  %s\n", what.c_str(), value, unit, aim, value <= aim ? "met" : "NOT MET");
    }

    /** @brief One active entry with 15 upstreams, each with room for 60,000 flows. */
    class SingleEntry {
    public:
        SingleEntry()
            : engine { InstanceId { 1 }, ZoneId { 1 }, Epoch { 1 }, this->clock.now() }
        {
            config::Configuration configuration;
            configuration.version = ConfigVersion { 1 };
            configuration.services.emplace_back().id = service;
            configuration.zones.push_back({ ZoneId { 1 }, "", config::ZoneState::InService, 1.0 });
            this->handle(ConfigurationChanged { configuration });
            this->handle(ViewChanged { { InstanceId { 1 }, ZoneId { 1 },
                { { InstanceId { 1 }, ZoneId { 1 }, Epoch { 1 }, membership::MemberState::Active } } } });
            std::vector<upstream::UpstreamInfo> upstreams;
            for (std::uint32_t i = 0; i < 15; ++i) {
                upstreams.push_back(FakeCluster::makeUpstream(service, ZoneId { 1 }, i));
                upstreams.back().connections = 60000;
            }
            this->handle(UpstreamsChanged { upstreams });
        }
        void handle(const Input& input)
        {
            this->actions.clear();
            this->engine.handle(input, this->clock.now(), this->actions);
        }

        ManualClock clock;
        FlowEngine engine;
        Actions actions;
    };

    double seconds(const auto& work)
    {
        const auto start = std::chrono::steady_clock::now();
        work();
        return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    }

    void benchPlacement()
    {
        constexpr std::uint32_t flows = 500000;
        SingleEntry entry;
        const std::size_t empty = entry.engine.memoryBytes();
        const Bytes payload(64, 1);
        std::unordered_map<std::uint64_t, UpstreamId> map;
        for (std::uint32_t flow = 0; flow < flows; ++flow) {
            const Endpoint caller = FakeCluster::callerOf(flow);
            entry.handle(CallerPacket { service, caller, payload });
            map[entry.engine.keyOf(service, caller).value] = UpstreamId { flow };
        }
        row("flows in the table", entry.engine.flows(), "flows");
        row("memory at 500,000 flows, whole engine, per flow", static_cast<double>(entry.engine.memoryBytes()) / flows,
            "B", 64.0);
        row("  of which grows with flows", static_cast<double>(entry.engine.memoryBytes() - empty) / flows, "B");

        std::mt19937_64 random { 1 };
        std::vector<Endpoint> callers;
        std::vector<std::uint64_t> keys;
        for (std::uint32_t i = 0; i < 1 << 20U; ++i) {
            callers.push_back(FakeCluster::callerOf(static_cast<std::uint32_t>(random() % flows)));
            keys.push_back(entry.engine.keyOf(service, callers.back()).value);
        }
        constexpr std::size_t batch = 32; // datagrams received by one system call
        std::vector<Input> inputs(batch);
        std::vector<double> single;
        std::vector<double> batched;
        std::uint64_t sink = 0;
        for (int round = 0; round < 9; ++round) {
            const double lookups = seconds([&] {
                for (const std::uint64_t key : keys)
                    sink += map.find(key)->second.value;
            });
            const double singles = seconds([&] {
                for (const Endpoint& caller : callers) {
                    entry.handle(CallerPacket { service, caller, payload });
                    sink += entry.actions.size();
                }
            });
            const double batches = seconds([&] {
                for (std::size_t first = 0; first < callers.size(); first += batch) {
                    for (std::size_t i = 0; i < batch; ++i)
                        inputs[i] = CallerPacket { service, callers[first + i], payload };
                    entry.actions.clear();
                    entry.engine.handleBatch(inputs, entry.clock.now(), entry.actions);
                    sink += entry.actions.size();
                }
            });
            single.push_back(singles / lookups);
            batched.push_back(batches / lookups);
        }
        for (std::vector<double>* ratios : { &batched, &single })
            std::sort(ratios->begin(), ratios->end());
        row("packet of a known flow, in batches of 32 / map lookup, median of 9", batched[4], "x", 3.0);
        row("  lowest of 9", batched.front(), "x");
        row("  highest of 9", batched.back(), "x");
        row("packet of a known flow, one by one / map lookup, median of 9", single[4], "x", 3.0);
        if (sink == 0)
            std::printf("no work was done\n");
    }

    Options currentSize(std::uint64_t seed)
    {
        Options options;
        options.seed = seed;
        options.buckets = 1024;
        options.settings.seed = seed;
        return options;
    }

    void addFlows(FakeCluster& cluster, std::uint32_t first, std::uint32_t last)
    {
        for (std::uint32_t flow = first; flow < last; ++flow) {
            cluster.sendPacket(service, flow);
            if (flow % 50 == 0)
                cluster.step();
        }
        cluster.run(Milliseconds { 500 });
    }

    double imbalance(const FakeCluster& cluster)
    {
        double sum = 0.0;
        double highest = 0.0;
        int count = 0;
        for (const auto& [id, info] : cluster.publishedUpstreams) {
            if (info.second.service != service)
                continue;
            double flows = 0.0;
            for (const auto& [instance, node] : cluster.nodes)
                flows += node.engine ? node.engine->flowsOn(id) : 0;
            sum += flows;
            highest = std::max(highest, flows);
            ++count;
        }
        return highest * count / sum;
    }

    void benchImbalance()
    {
        for (std::uint64_t seed = 1; seed <= 8; ++seed) {
            FakeCluster cluster { currentSize(seed) };
            cluster.startAll();
            cluster.run(Milliseconds { 8000 });
            addFlows(cluster, 0, 10000);
            row("imbalance, 10,000 flows, 15 upstreams, 9 entries, seed " + std::to_string(seed), imbalance(cluster),
                "max/mean", 1.10);
            row("  new flows that skipped their default",
                100.0 * static_cast<double>(cluster.sumOfCounter(&Counters::offDefault))
                    / static_cast<double>(cluster.sumOfCounter(&Counters::flowsCreated)),
                "%");
            if (seed == 1)
                row("hops between entries for each packet, sprayed over 9 entries",
                    static_cast<double>(cluster.sumOfCounter(&Counters::forwarded)) / 10000.0, "hops");
        }
    }

    struct Traffic {
        double steady;
        double withChanges;
        double memory;
    };

    /** @return Control bytes per second of the busiest entry, under packets only and with a drain and a join in 60 s.
     */
    Traffic measureTraffic(const Options& options, std::uint32_t flows)
    {
        FakeCluster cluster { options };
        const InstanceId spare { 100 + options.perZone };
        for (const auto& [id, node] : cluster.nodes) {
            if (id != spare || options.perZone == 1)
                cluster.start(id);
        }
        cluster.run(Milliseconds { 8000 });
        addFlows(cluster, 0, flows);
        cluster.run(Milliseconds { 4000 });
        const auto measureMinute = [&] {
            cluster.sentBytes.clear();
            std::uint32_t next = 0;
            for (int step = 0; step < 6000; ++step) {
                for (; next < static_cast<std::uint64_t>(flows) * static_cast<std::uint64_t>(step % 2000) / 2000;
                     ++next)
                    cluster.sendPacket(service, next);
                if (step % 2000 == 1999)
                    next = 0;
                cluster.step();
            }
            std::uint64_t maxBytes = 0;
            for (const auto& [id, bytes] : cluster.sentBytes)
                maxBytes = std::max(maxBytes, bytes);
            return static_cast<double>(maxBytes) / 60.0;
        };
        Traffic result {};
        result.steady = measureMinute();
        if (options.perZone > 1)
            cluster.start(spare);
        cluster.setState(
            FakeCluster::makeUpstream(service, ZoneId { 1 }, 0).id, upstream::UpstreamState::Draining, 0.0);
        result.withChanges = measureMinute();
        for (const auto& [id, node] : cluster.nodes)
            result.memory = std::max(result.memory, node.engine ? static_cast<double>(node.engine->memoryBytes()) : 0);
        return result;
    }

    void trafficRow(const std::string& what, const Traffic& result)
    {
        std::printf("%-40s %10.0f B/s at rest %10.0f B/s with changes %10.0f KB memory\n", what.c_str(), result.steady,
            result.withChanges, result.memory / 1024.0);
    }

    void benchTraffic()
    {
        const Traffic current = measureTraffic(currentSize(1), 10000);
        row("control of the busiest entry, 10,000 flows, at rest", current.steady, "B/s", 4096.0);
        row("control of the busiest entry, with a drain and a join in 60 s", current.withChanges, "B/s", 4096.0);
        for (const std::uint32_t perZone : { 1U, 2U, 3U, 4U, 6U }) {
            Options options = currentSize(1);
            options.perZone = perZone;
            trafficRow(std::to_string(perZone * 3) + " entries, 10,000 flows", measureTraffic(options, 10000));
        }
        for (const std::uint32_t upstreams : { 2U, 5U, 10U, 20U }) {
            Options options = currentSize(1);
            options.upstreamsPerZone = upstreams;
            trafficRow(std::to_string(upstreams * 3) + " upstreams, 10,000 flows", measureTraffic(options, 10000));
        }
        for (const std::uint32_t flows : { 2500U, 5000U, 10000U, 20000U })
            trafficRow(std::to_string(flows) + " flows, 9 entries", measureTraffic(currentSize(1), flows));
    }

    /** @brief Measures new flows only: each sends one packet. */
    void benchArrivals()
    {
        for (const std::uint32_t perSecond : { 900U, 4500U, 18000U }) {
            constexpr std::uint32_t duration = 20;
            FakeCluster cluster { currentSize(1) };
            for (const auto& [id, known] : std::map { cluster.publishedUpstreams }) {
                upstream::UpstreamInfo info = known.second;
                info.connections = 60000;
                cluster.publish(info);
            }
            cluster.startAll();
            cluster.run(Milliseconds { 8000 });
            cluster.sentBytes.clear();
            std::uint32_t flow = 0;
            for (std::uint32_t step = 0; step < duration * 100; ++step) {
                for (std::uint32_t i = 0; i < perSecond / 100; ++i)
                    cluster.sendPacket(service, flow++);
                cluster.step();
            }
            std::uint64_t maxBytes = 0;
            for (const auto& [id, bytes] : cluster.sentBytes)
                maxBytes = std::max(maxBytes, bytes);
            const std::string rate = std::to_string(perSecond / 9) + " new flows/s at each entry";
            row("control of the busiest entry, " + rate, static_cast<double>(maxBytes) / duration, "B/s", 4096.0);
            row("  imbalance", imbalance(cluster), "max/mean", 1.10);
        }
    }

    /** @brief Measures memory with idle services of one upstream each, and the view change when a zone peer leaves. */
    void benchServiceCount(std::uint32_t services, std::uint32_t members, std::uint32_t buckets, std::uint16_t zones)
    {
        ManualClock clock;
        FlowEngine engine { InstanceId { 1 }, ZoneId { 1 }, Epoch { 1 }, clock.now() };
        Actions actions;
        config::Configuration configuration;
        configuration.version = ConfigVersion { 1 };
        for (std::uint16_t zone = 1; zone <= zones; ++zone)
            configuration.zones.push_back({ ZoneId { zone }, "", config::ZoneState::InService, 1.0 });
        std::vector<upstream::UpstreamInfo> upstreams;
        for (std::uint32_t i = 1; i <= services; ++i) {
            const ServiceId id { static_cast<std::uint16_t>(i) };
            config::Service& added = configuration.services.emplace_back();
            added.id = id;
            added.buckets = buckets;
            upstreams.push_back(FakeCluster::makeUpstream(id, ZoneId { 1 }, i));
        }
        membership::View view { InstanceId { 1 }, ZoneId { 1 }, {} };
        for (std::uint32_t id = 1; id <= members; ++id)
            view.members.push_back({ InstanceId { id }, ZoneId { static_cast<std::uint16_t>(1 + (id - 1) % zones) },
                Epoch { 1 }, membership::MemberState::Active });
        engine.handle(ConfigurationChanged { configuration }, clock.now(), actions);
        engine.handle(ViewChanged { view }, clock.now(), actions);
        engine.handle(UpstreamsChanged { upstreams }, clock.now(), actions);
        const double memory = static_cast<double>(engine.memoryBytes());
        view.members.erase(view.members.begin() + zones); // the second member of zone 1
        const double spent = seconds([&] { engine.handle(ViewChanged { view }, clock.now(), actions); });
        std::printf("%5u services %5u buckets %5u entries %3u zones %10.0f KB memory %9.2f ms for a view change\n",
            services, buckets, members, zones, memory / 1024.0, spent * 1000.0);
    }

    void benchServices()
    {
        for (const std::uint32_t services : { 2U, 10U, 25U, 50U, 100U, 200U })
            benchServiceCount(services, 9, 1024, 1);
        for (const std::uint32_t buckets : { 64U, 128U, 256U, 512U, 1024U })
            benchServiceCount(50, 9, buckets, 1);
        for (const std::uint32_t members : { 25U, 60U, 120U, 235U })
            benchServiceCount(50, members, 1024, 1);
        for (const std::uint32_t members : { 235U, 500U, 1000U, 2000U, 4000U })
            benchServiceCount(10, members, 1024, 17);
    }

    void benchConvergence()
    {
        for (const std::uint32_t perZone : { 2U, 3U, 4U, 6U }) {
            for (const bool join : { false, true }) {
                Options options = currentSize(1);
                options.perZone = perZone;
                FakeCluster cluster { options };
                const InstanceId spare { 100 + perZone };
                for (const auto& [id, node] : cluster.nodes) {
                    if (id != spare)
                        cluster.start(id);
                }
                cluster.run(Milliseconds { 8000 });
                addFlows(cluster, 0, 5000);
                cluster.run(Milliseconds { 5000 });
                if (join) {
                    cluster.start(spare);
                    // The joining time and the first heartbeat as an active member are not part of the convergence.
                    cluster.run(Milliseconds { 1490 });
                } else
                    cluster.setState(
                        FakeCluster::makeUpstream(service, ZoneId { 1 }, 0).id, upstream::UpstreamState::Draining, 0.0);
                const std::uint64_t messages = cluster.controlMessages;
                int ticks = 0;
                do {
                    cluster.step();
                    ++ticks;
                } while ((ticks < 3 || !cluster.isInSync()) && ticks < 6000);
                std::printf("%-40s %6d ticks of 10 ms %8llu messages%s\n",
                    (std::string { join ? "join" : "drain" } + " until converged, " + std::to_string(perZone * 3)
                        + " entries")
                        .c_str(),
                    ticks, static_cast<unsigned long long>(cluster.controlMessages - messages),
                    cluster.isInSync() ? "" : "  NOT CONVERGED");
            }
        }
    }

} // namespace
} // namespace zinnia::flow

int main()
{
    zinnia::flow::benchPlacement();
    zinnia::flow::benchImbalance();
    zinnia::flow::benchArrivals();
    zinnia::flow::benchTraffic();
    zinnia::flow::benchServices();
    zinnia::flow::benchConvergence();
    return 0;
}
