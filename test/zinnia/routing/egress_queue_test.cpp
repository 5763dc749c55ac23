#include "zinnia/routing/egress_queue.hpp"

#include <gtest/gtest.h>
#include <map>
#include <random>
#include <vector>

namespace zinnia::routing::test {
namespace {

    const TimePoint start { Seconds { 1000 } };

    FlowPacket packetOf(std::uint16_t port, std::uint32_t sequence, std::uint16_t dataBytes)
    {
        FlowPacket packet;
        packet.caller = { 0x64400007, port };
        packet.service = { 0xC6120001, 443 };
        packet.sequence = sequence;
        packet.dataBytes = dataBytes;
        packet.ack = true;
        return packet;
    }

    void add(EgressQueue& queue, const FlowPacket& packet, TimePoint now = start)
    {
        const Bytes bytes(32U + packet.dataBytes, 1);
        (void)queue.add(packet, bytes, now);
    }

    /** @return Ports of the callers of all waiting packets, in the order of departure. */
    std::vector<int> takeAll(EgressQueue& queue)
    {
        std::vector<int> ports;
        while (const auto next = queue.take(start))
            ports.push_back(next->packet.caller.port);
        return ports;
    }

    // Guards against short requests that wait behind the data of an upload.
    TEST(EgressQueue, ANewFlowGoesBeforeTheDataOfAnUpload)
    {
        EgressQueue queue { {} };
        for (std::uint32_t i = 0; i < 8; ++i)
            add(queue, packetOf(1, 1000 + 1200 * i, 1200));
        for (int i = 0; i < 3; ++i)
            (void)queue.take(start);
        add(queue, packetOf(2, 1, 200));
        add(queue, packetOf(3, 1, 0));
        EXPECT_EQ(takeAll(queue), (std::vector { 2, 3, 1, 1, 1, 1, 1 }));
        EXPECT_TRUE(queue.isEmpty());
        queue.expire(start + Seconds { 1 });
        EXPECT_EQ(queue.flowCount(), 0U);
    }

    // Guards against a request on a long-lived flow that waits behind uploads which opened before it.
    TEST(EgressQueue, AFlowGetsAFirstTurnAgainAfterAPause)
    {
        EgressQueue queue { {} };
        for (std::uint32_t i = 0; i < 8; ++i)
            add(queue, packetOf(1, 1000 + 1200 * i, 1200));
        for (std::uint32_t i = 0; i < 6; ++i)
            add(queue, packetOf(2, 1 + 600 * i, 600));
        for (int i = 0; i < 14; ++i)
            (void)queue.take(start);
        ASSERT_TRUE(queue.isEmpty());
        const TimePoint later = start + Milliseconds { 100 };
        for (std::uint32_t i = 8; i < 16; ++i)
            add(queue, packetOf(1, 1000 + 1200 * i, 1200), start);
        add(queue, packetOf(2, 9000, 600), later);
        EXPECT_EQ(takeAll(queue).front(), 2);
    }

    // Guards against uploads that all finish late because each of them gets an equal share.
    TEST(EgressQueue, SendsTheOldestUploadFirst)
    {
        EgressQueue queue { {} };
        for (std::uint32_t i = 0; i < 6; ++i) {
            for (std::uint16_t port = 1; port <= 3; ++port)
                add(queue, packetOf(port, 1000 + 1200 * i, 1200));
        }
        // Each flow has three packets in its first turn.
        EXPECT_EQ(takeAll(queue), (std::vector { 1, 1, 1, 2, 2, 2, 3, 3, 3, 1, 1, 1, 2, 2, 2, 3, 3, 3 }));
    }

    // Guards against an endless upload that keeps the link from all others.
    TEST(EgressQueue, ALongUploadGivesWayAfterItsTurn)
    {
        EgressQueueSettings settings;
        settings.turnBytes = 10'000;
        EgressQueue queue { settings };
        std::uint32_t next = 0;
        const auto fill = [&] {
            for (; queue.size() < 40'000; ++next)
                add(queue, packetOf(1, 1000 + 1200 * next, 1200));
        };
        for (std::uint32_t i = 0; i < 6; ++i)
            add(queue, packetOf(2, 1000 + 1200 * i, 1200));
        fill();
        int others = 0;
        for (int i = 0; i < 24; ++i) {
            others += queue.take(start)->packet.caller.port == 2 ? 1 : 0;
            fill();
        }
        EXPECT_EQ(others, 6);
    }

    // Guards against a full queue that every retransmission makes longer: callers retransmit after 200 ms.
    TEST(EgressQueue, ARetransmissionOfAWaitingPacketTakesItsPlace)
    {
        EgressQueue queue { {} };
        add(queue, packetOf(1, 1000, 1200));
        add(queue, packetOf(1, 2200, 1200));
        FlowPacket again = packetOf(1, 1000, 1200);
        again.acknowledged = 77;
        const Bytes bytes(1232, 2);
        EXPECT_EQ(queue.add(again, bytes, start + Milliseconds { 200 }), EgressOutcome::Replaced);
        EXPECT_EQ(queue.size(), 2 * 1232U);
        const auto first = queue.take(start);
        ASSERT_TRUE(first);
        EXPECT_EQ(first->packet.acknowledged, 77U);
        EXPECT_EQ(first->bytes, bytes);
        EXPECT_EQ(first->arrivedAt, start);
        EXPECT_EQ(queue.take(start)->packet.sequence, 2200U);
        EXPECT_FALSE(queue.take(start));
    }

    // Guards against acknowledgements that are lost because they have the sequence number of another one.
    TEST(EgressQueue, KeepsEachAcknowledgement)
    {
        EgressQueue queue { {} };
        for (std::uint32_t i = 0; i < 3; ++i) {
            FlowPacket packet = packetOf(1, 1000, 0);
            packet.acknowledged = i;
            add(queue, packet);
        }
        EXPECT_EQ(takeAll(queue).size(), 3U);
    }

    // Guards against data on the link that its caller no longer wants.
    TEST(EgressQueue, AnAbortedFlowSendsOnlyItsAbort)
    {
        EgressQueue queue { {} };
        for (std::uint32_t i = 0; i < 5; ++i)
            add(queue, packetOf(1, 1000 + 1200 * i, 1200));
        FlowPacket abort = packetOf(1, 7000, 0);
        abort.rst = true;
        add(queue, abort);
        const auto next = queue.take(start);
        ASSERT_TRUE(next);
        EXPECT_TRUE(next->packet.rst);
        EXPECT_FALSE(queue.take(start));
        EXPECT_TRUE(queue.isEmpty());
    }

    // Guards against a queue that grows without a limit, and against the loss of a short flow's packet at the limit.
    TEST(EgressQueue, DropsTheOldestPacketOfTheLargestFlowAtTheLimit)
    {
        EgressQueueSettings settings;
        settings.maxBytes = 10'000;
        EgressQueue queue { settings };
        add(queue, packetOf(2, 1, 200));
        for (std::uint32_t i = 0; i < 20; ++i)
            add(queue, packetOf(1, 1000 + 1200 * i, 1200));
        EXPECT_LE(queue.size(), settings.maxBytes);
        EXPECT_EQ(queue.dropped()[static_cast<std::size_t>(PacketKind::Data)], 13U);
        EXPECT_EQ(queue.dropped()[static_cast<std::size_t>(PacketKind::Signal)], 0U);
        EXPECT_EQ(queue.take(start)->packet.caller.port, 2);
        EXPECT_EQ(queue.take(start)->packet.sequence, 1000U + 13 * 1200U);
        EXPECT_EQ(takeAll(queue).size(), 6U);
        EXPECT_TRUE(queue.isEmpty());
    }

    // Guards against a flow that has two places in the order after its first turn, and keeps one when its only packet
    // is dropped: the next packet would be taken from an empty queue.
    TEST(EgressQueue, AFlowWhoseLastPacketIsDroppedHasNoTurn)
    {
        EgressQueueSettings settings;
        settings.maxBytes = 3'000;
        EgressQueue queue { settings };
        for (std::uint32_t i = 0; i < 3; ++i) {
            add(queue, packetOf(1, 1000 + 1200 * i, 1200));
            (void)queue.take(start);
        }
        add(queue, packetOf(1, 4600, 1200));
        for (std::uint16_t port = 2; port <= 4; ++port)
            add(queue, packetOf(port, 1, 600));
        EXPECT_EQ(queue.dropped()[static_cast<std::size_t>(PacketKind::Data)], 1U);
        EXPECT_EQ(queue.uploadCount(), 0U);
        EXPECT_EQ(takeAll(queue), (std::vector { 2, 3, 4 }));
    }

    // Guards against packets that are lost, reordered within their flow or sent twice after any sequence of operations,
    // and against a flow that keeps a place in the order when its last packet is dropped.
    TEST(EgressQueue, KeepsEveryPacketOfRandomTrafficInOrder)
    {
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            std::mt19937_64 random { seed };
            EgressQueueSettings settings;
            settings.turnBytes = 5'000;
            settings.maxBytes = seed % 2 == 0 ? 1 << 20 : 4'000;
            EgressQueue queue { settings };
            TimePoint now = start;
            std::map<std::uint16_t, std::uint32_t> nextSequence;
            std::map<std::uint16_t, std::uint32_t> lastTaken;
            std::uint64_t added = 0;
            std::uint64_t taken = 0;
            const auto take = [&] {
                const auto next = queue.take(now);
                if (!next)
                    return false;
                ++taken;
                const auto port = next->packet.caller.port;
                EXPECT_GT(next->packet.sequence, lastTaken[port]) << "seed " << seed;
                lastTaken[port] = next->packet.sequence;
                return true;
            };
            for (int step = 0; step < 500; ++step) {
                now += Milliseconds { static_cast<std::int64_t>(random() % 40) };
                const auto port = static_cast<std::uint16_t>(1 + random() % 5);
                if (random() % 20 == 0)
                    queue.expire(now);
                if (random() % 2 == 0) {
                    add(queue, packetOf(port, ++nextSequence[port], static_cast<std::uint16_t>(1 + random() % 1200)),
                        now);
                    ++added;
                } else {
                    (void)take();
                }
                EXPECT_LE(queue.size(), settings.maxBytes);
            }
            while (take()) { }
            EXPECT_TRUE(queue.isEmpty());
            EXPECT_EQ(added, taken + queue.dropped()[static_cast<std::size_t>(PacketKind::Data)]) << "seed " << seed;
            queue.expire(now + Seconds { 2 });
            EXPECT_EQ(queue.flowCount(), 0U);
            EXPECT_EQ(queue.uploadCount(), 0U);
        }
    }

} // namespace
} // namespace zinnia::routing::test
