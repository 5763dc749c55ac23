#include "zinnia/routing/egress_queue.hpp"

#include <gtest/gtest.h>
#include <string>

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

} // namespace
} // namespace zinnia::routing::test
