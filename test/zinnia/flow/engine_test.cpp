#include "fake_cluster.hpp"

#include <atomic>
#include <cstdlib>
#include <gtest/gtest.h>
#include <new>

namespace {

std::atomic<std::uint64_t> allocations { 0 };

} // namespace

// Counts the allocations of the whole test binary. If inlined, GCC 12 reports a mismatch of new and free.
[[gnu::noinline]] void* operator new(std::size_t size)
{
    ++allocations;
    if (void* memory = std::malloc(size))
        return memory;
    throw std::bad_alloc {};
}
[[gnu::noinline]] void operator delete(void* memory) noexcept { std::free(memory); }
[[gnu::noinline]] void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }

namespace zinnia::flow::fake {
namespace {

    using upstream::UpstreamState;

    constexpr ServiceId service { 1 };
    const Bytes payload { 1, 2, 3 };

    // An engine whose entry is the only active one, in zone 1.
    class SingleEntry {
    public:
        explicit SingleEntry(const Settings& settings = {}, config::ServiceMode mode = config::ServiceMode::Datagram)
            : engine { InstanceId { 1 }, ZoneId { 1 }, Epoch { 1 }, this->clock.now(), settings }
        {
            this->configuration.version = ConfigVersion { 1 };
            config::Service& added = this->configuration.services.emplace_back();
            added.id = service;
            added.mode = mode;
            this->configuration.zones.push_back({ ZoneId { 1 }, "", config::ZoneState::InService, 1.0 });
            this->handle(ConfigurationChanged { this->configuration });
            this->handle(ViewChanged { { InstanceId { 1 }, ZoneId { 1 },
                { { InstanceId { 1 }, ZoneId { 1 }, Epoch { 1 }, membership::MemberState::Active } } } });
        }

        const Actions& handle(const Input& input)
        {
            this->actions.clear();
            this->engine.handle(input, this->clock.now(), this->actions);
            return this->actions;
        }
        template <class T> const T* sendPacket(std::uint32_t flow)
        {
            return std::get_if<T>(&this->handle(CallerPacket { service, FakeCluster::callerOf(flow), payload }).back());
        }
        void run(Milliseconds duration)
        {
            for (const TimePoint end = this->clock.now() + duration; this->clock.now() < end;) {
                this->clock.advance(Milliseconds { 500 });
                this->handle(Tick {});
            }
        }
        void setUpstreams(const std::vector<upstream::UpstreamInfo>& infos)
        {
            this->handle(UpstreamsChanged { infos });
        }

        ManualClock clock;
        config::Configuration configuration;
        FlowEngine engine;
        Actions actions;
    };

    upstream::UpstreamInfo upstreamAt(std::uint32_t index)
    {
        return FakeCluster::makeUpstream(service, ZoneId { 1 }, index);
    }

    // Guards against answers to the wrong caller and against two flows on one local port.
    TEST(FlowEngine, EachFlowHasItsOwnLocalPort)
    {
        SingleEntry node;
        node.setUpstreams({ upstreamAt(0) });
        for (std::uint32_t flow = 0; flow < 100; ++flow) {
            const auto* sent = node.sendPacket<SendToUpstream>(flow);
            ASSERT_NE(sent, nullptr);
            const auto& answers = node.handle(UpstreamPacket { upstreamAt(0).address, sent->localPort, payload });
            ASSERT_EQ(answers.size(), 1U);
            EXPECT_EQ(std::get<SendToCaller>(answers[0]).caller, FakeCluster::callerOf(flow));
        }
        EXPECT_TRUE(node.handle(UpstreamPacket { upstreamAt(0).address, 100, payload }).empty());
        EXPECT_TRUE(node.handle(UpstreamPacket { upstreamAt(1).address, 0, payload }).empty());
    }

    // Guards against heap allocation while a packet of a known flow is handled.
    TEST(FlowEngine, PacketOfAKnownFlowDoesNotAllocate)
    {
        SingleEntry node;
        node.setUpstreams({ upstreamAt(0), upstreamAt(1) });
        const Input input = CallerPacket { service, FakeCluster::callerOf(7), payload };
        (void)node.handle(input);
        const std::uint64_t before = allocations;
        for (int i = 0; i < 1000; ++i)
            (void)node.handle(input);
        EXPECT_EQ(allocations, before);
    }

    // Guards against evicting existing flows for new ones, and against table entries that are not reused after expiry.
    TEST(FlowEngine, FullTableRefusesNewFlowsAndKeepsExistingOnes)
    {
        Settings settings;
        settings.maxFlows = 50;
        SingleEntry node { settings };
        node.setUpstreams({ upstreamAt(0) });
        for (std::uint32_t flow = 0; flow < 50; ++flow)
            ASSERT_NE(node.sendPacket<SendToUpstream>(flow), nullptr);
        ASSERT_NE(node.sendPacket<Refuse>(50), nullptr);
        EXPECT_EQ(std::get<Refuse>(node.actions.back()).reason, RefusalReason::FlowTableFull);
        node.run(Milliseconds { 40000 });
        EXPECT_NE(node.sendPacket<SendToUpstream>(3), nullptr);
        node.run(Milliseconds { 25000 });
        EXPECT_EQ(node.engine.flows(), 1U);
        EXPECT_NE(node.sendPacket<SendToUpstream>(50), nullptr);
    }

    // Guards against more flows on an upstream than its connection limit.
    TEST(FlowEngine, ConnectionLimitIsExact)
    {
        SingleEntry node;
        upstream::UpstreamInfo small = upstreamAt(0);
        small.connections = 10;
        node.setUpstreams({ small });
        for (std::uint32_t flow = 0; flow < 10; ++flow)
            ASSERT_NE(node.sendPacket<SendToUpstream>(flow), nullptr);
        ASSERT_NE(node.sendPacket<Refuse>(10), nullptr);
        EXPECT_EQ(std::get<Refuse>(node.actions.back()).reason, RefusalReason::UpstreamConnectionsFull);
        EXPECT_NE(node.sendPacket<SendToUpstream>(3), nullptr);
    }

    // Guards against placing all new flows on a warming upstream because it has the fewest flows.
    TEST(FlowEngine, WarmingUpstreamGetsItsShareOfNewFlows)
    {
        SingleEntry node;
        node.setUpstreams({ upstreamAt(0), upstreamAt(1), upstreamAt(2) });
        std::uint32_t flow = 0;
        for (; flow < 3000; ++flow)
            (void)node.sendPacket<SendToUpstream>(flow);
        node.run(Milliseconds { 3000 });
        upstream::UpstreamInfo warming = upstreamAt(3);
        warming.state = UpstreamState::Warming;
        warming.weight = 0.25;
        node.setUpstreams({ upstreamAt(0), upstreamAt(1), upstreamAt(2), warming });
        for (int second = 0; second < 4; ++second) {
            const std::uint32_t before = node.engine.flowsOn(warming.id);
            for (int i = 0; i < 400; ++i)
                (void)node.sendPacket<SendToUpstream>(flow++);
            EXPECT_LE(node.engine.flowsOn(warming.id) - before, 25U); // 0.25 of a quarter of 400
            node.run(Milliseconds { 1000 });
        }
        EXPECT_GT(node.engine.flowsOn(warming.id), 0U);
    }

    // Guards against new flows on a draining upstream and against moving its existing flows. Flows of a lost upstream
    // are broken.
    TEST(FlowEngine, DrainingKeepsFlowsAndLostBreaksThem)
    {
        SingleEntry node;
        node.setUpstreams({ upstreamAt(0) });
        (void)node.sendPacket<SendToUpstream>(1);
        upstream::UpstreamInfo draining = upstreamAt(0);
        draining.state = UpstreamState::Draining;
        draining.weight = 0.0;
        node.setUpstreams({ draining, upstreamAt(1) });
        EXPECT_EQ(node.sendPacket<SendToUpstream>(1)->upstream, draining.id);
        for (std::uint32_t flow = 2; flow < 50; ++flow)
            EXPECT_EQ(node.sendPacket<SendToUpstream>(flow)->upstream, upstreamAt(1).id);
        node.setUpstreams({ upstreamAt(1) });
        EXPECT_EQ(node.sendPacket<SendToUpstream>(1)->upstream, upstreamAt(1).id);
        EXPECT_EQ(node.engine.counters().broken, 1U);
    }

    // Guards against a peer's record that sends a flow to an upstream of another service.
    TEST(FlowEngine, RecordWithAnUpstreamOfAnotherServiceIsNotUsed)
    {
        for (const bool recordFirst : { false, true }) {
            SingleEntry node;
            config::Service& other = node.configuration.services.emplace_back();
            other.id = ServiceId { 2 };
            node.configuration.version = ConfigVersion { 2 };
            node.handle(ConfigurationChanged { node.configuration });
            const auto foreign = FakeCluster::makeUpstream(other.id, ZoneId { 1 }, 5);
            if (!recordFirst)
                node.setUpstreams({ upstreamAt(0), foreign });
            const FlowKey key = node.engine.keyOf(service, FakeCluster::callerOf(1));
            node.handle(PeerMessageReceived {
                InstanceId { 2 }, HandoverRecords { 1, service, { { key, foreign.id, ZoneId { 1 }, 1000 } } } });
            if (recordFirst)
                node.setUpstreams({ upstreamAt(0), foreign });
            const auto* sent = node.sendPacket<SendToUpstream>(1);
            ASSERT_NE(sent, nullptr);
            EXPECT_EQ(sent->upstream, upstreamAt(0).id);
        }
    }

    // Guards against packets to a withdrawn zone, and against reverting to an older configuration.
    TEST(FlowEngine, WithdrawnZoneStopsAtOnce)
    {
        SingleEntry node;
        node.setUpstreams({ upstreamAt(0) });
        (void)node.sendPacket<SendToUpstream>(1);
        const config::Configuration older = node.configuration;
        node.configuration.version = ConfigVersion { 2 };
        node.configuration.zones[0].state = config::ZoneState::Withdrawn;
        node.handle(ConfigurationChanged { node.configuration });
        node.handle(ConfigurationChanged { older });
        EXPECT_EQ(node.sendPacket<SendToUpstream>(1), nullptr);
        EXPECT_EQ(node.engine.counters().givenUp, 1U);
        EXPECT_EQ(node.engine.counters().broken, 0U);
    }

    // Guards against packets of a request service that bypass the request layer.
    TEST(FlowEngine, RequestServiceIsDeliveredToTheRequestLayer)
    {
        SingleEntry node { {}, config::ServiceMode::Request };
        node.setUpstreams({ upstreamAt(0) });
        const auto* placed = node.sendPacket<DeliverRequestPacket>(1);
        ASSERT_NE(placed, nullptr);
        EXPECT_EQ(placed->upstream, upstreamAt(0).id);
        EXPECT_EQ(placed->key, node.engine.keyOf(service, FakeCluster::callerOf(1)));
    }

    // Guards against forwarding loops between entries with different views.
    TEST(FlowEngine, FourthHopIsRefused)
    {
        SingleEntry node;
        node.setUpstreams({ upstreamAt(0) });
        node.handle(ViewChanged { { InstanceId { 1 }, ZoneId { 1 },
            { { InstanceId { 1 }, ZoneId { 1 }, Epoch { 1 }, membership::MemberState::Leaving },
                { InstanceId { 2 }, ZoneId { 1 }, Epoch { 1 }, membership::MemberState::Active } } } });
        const auto forwarded = [&](std::uint8_t hops) {
            return node.handle(PeerMessageReceived { InstanceId { 2 },
                ForwardPacket { service, FakeCluster::callerOf(1), hops, ForwardMode::ToOwner, payload } });
        };
        EXPECT_EQ(std::get<ForwardPacket>(std::get<SendToPeer>(forwarded(2).back()).message).hops, 3);
        EXPECT_EQ(std::get<Refuse>(forwarded(3).back()).reason, RefusalReason::TooManyHops);
    }

    // Guards against lost, duplicate or mismatched table entries after insertions and removals in any order.
    TEST(FlowTable, AgreesWithAMap)
    {
        std::mt19937_64 random { 5 };
        FlowTable table { 3000 };
        table.addService(64);
        std::map<std::uint64_t, FlowIndex> expected;
        std::vector<FlowIndex> due;
        for (int i = 0; i < 60000; ++i) {
            // Few distinct values of the high bits cause long probe sequences.
            const std::uint64_t key = (random() % 64) << 58U | random() % 100;
            const auto known = expected.find(key);
            ASSERT_EQ(table.find(FlowKey { key }), known == expected.end() ? noFlow : known->second);
            if (known != expected.end() && random() % 2 == 0) {
                table.erase(known->second);
                expected.erase(known);
            } else if (known == expected.end()) {
                const FlowIndex index = table.insert(FlowKey { key }, 0);
                ASSERT_EQ(index == noFlow, expected.size() == 3000);
                if (index != noFlow) {
                    expected[key] = index;
                    table.schedule(index, static_cast<std::uint32_t>(i / 100 + random() % 500));
                }
            }
            due.clear();
            table.takeDue(static_cast<std::uint32_t>(i / 100), due);
            for (const FlowIndex index : due) {
                ASSERT_EQ(expected.erase(table[index].key().value), 1U);
                table.erase(index);
            }
            ASSERT_EQ(table.size(), expected.size());
        }
    }

    // Guards against a `done` or a default that overtakes the records before it.
    TEST(RecordStream, BarrierWaitsForEarlierRecords)
    {
        RecordStream stream;
        std::vector<StreamItem> items;
        for (std::uint64_t key = 1; key <= 50; ++key)
            stream.push({ key, {}, 0, StreamItemKind::Record, false, {} });
        const std::uint64_t done = stream.push({ 9, {}, 0, StreamItemKind::Done, true, {} });
        const TimePoint now {};
        for (std::uint64_t sequence = 1; sequence <= 2; ++sequence) {
            ASSERT_TRUE(stream.take(items));
            stream.trackSent(sequence, HandoverAck {}, 10, now);
        }
        EXPECT_FALSE(stream.take(items));
        EXPECT_TRUE(stream.acknowledge(2));
        EXPECT_FALSE(stream.take(items));
        EXPECT_EQ(stream.acknowledgedThrough(), 0U);
        EXPECT_FALSE(stream.acknowledge(2));
        EXPECT_TRUE(stream.acknowledge(1));
        ASSERT_TRUE(stream.take(items));
        EXPECT_EQ(items[0].kind, StreamItemKind::Done);
        stream.trackSent(3, HandoverAck {}, 10, now);
        EXPECT_LT(stream.acknowledgedThrough(), done);
        EXPECT_NE(stream.overdue(now), nullptr);
        EXPECT_TRUE(stream.acknowledge(3));
        EXPECT_EQ(stream.acknowledgedThrough(), done);
    }

} // namespace
} // namespace zinnia::flow::fake
