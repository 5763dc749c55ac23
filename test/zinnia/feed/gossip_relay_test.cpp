#include "zinnia/feed/gossip_relay.hpp"

#include <gtest/gtest.h>
#include <map>
#include <set>

namespace zinnia::feed {
namespace {

    using upstream::AnnouncementTable;
    using upstream::UpstreamNumber;

    const TimePoint start { Seconds { 1000 } };

    upstream::Announcement announcementOf(std::uint64_t number, std::uint64_t sequence)
    {
        upstream::Announcement announcement;
        announcement.number = UpstreamNumber { number };
        announcement.state = upstream::AnnouncedState::Ready;
        announcement.version = { 1, sequence };
        return announcement;
    }

    /** @brief Control instances that exchange gossip every 200 ms, with links that can be partitioned. */
    class Cluster {
    public:
        explicit Cluster(std::uint32_t size)
        {
            std::vector<InstanceId> ids;
            for (std::uint32_t id = 1; id <= size; ++id)
                ids.push_back(InstanceId { id });
            for (const InstanceId id : ids)
                this->nodes.emplace(id, Node { AnnouncementTable { {} }, ControlPeerTable { {}, id, ids, start } });
        }

        void partition(std::uint32_t left, std::uint32_t right) { this->partitions.emplace(left, right); }

        void exchangeGossip()
        {
            this->now += Milliseconds { 200 };
            for (auto& [sender, node] : this->nodes) {
                const auto pending = node.table.takePendingGossip(this->now);
                const auto live = node.peerTable.live(this->now);
                for (const InstanceId peer : node.peerTable.peers()) {
                    const auto announcements = announcementsFor(peer, pending, node.peerTable);
                    this->announcementsSent += announcements.size();
                    if (this->arePartitioned(sender, peer))
                        continue;
                    Node& receiver = this->nodes.at(peer);
                    (void)receiver.peerTable.recordMessage(sender, Epoch { 1 }, this->now);
                    receiver.peerTable.recordLiveReport(sender, live);
                    for (const auto& [announcement, age] : announcements)
                        (void)receiver.table.merge(announcement, age, this->now, sender);
                }
            }
        }

        void announce(std::uint32_t at, std::uint64_t number, std::uint64_t sequence)
        {
            (void)this->nodes.at(InstanceId { at }).table.merge(announcementOf(number, sequence), {}, this->now);
        }

        [[nodiscard]] std::uint64_t sequenceAt(std::uint32_t at, std::uint64_t number) const
        {
            const auto* known = this->nodes.at(InstanceId { at }).table.find(UpstreamNumber { number });
            return known == nullptr ? 0 : known->version.sequence;
        }

        std::size_t announcementsSent = 0;

    private:
        struct Node {
            AnnouncementTable table;
            ControlPeerTable peerTable;
        };

        [[nodiscard]] bool arePartitioned(InstanceId left, InstanceId right) const
        {
            return this->partitions.contains({ left.value, right.value })
                || this->partitions.contains({ right.value, left.value });
        }

        std::map<InstanceId, Node> nodes;
        std::set<std::pair<std::uint32_t, std::uint32_t>> partitions;
        TimePoint now = start;
    };

    // Guards against gossip that grows with the square of the number of control instances.
    TEST(GossipRelay, ARenewalIsSentOnceToEachInstance)
    {
        constexpr std::uint32_t size = 30;
        Cluster cluster { size };
        cluster.announce(1, 7, 1);
        for (int i = 0; i < 10; ++i)
            cluster.exchangeGossip();
        cluster.announcementsSent = 0;
        cluster.announce(2, 7, 2);
        for (int i = 0; i < 5; ++i)
            cluster.exchangeGossip();
        EXPECT_EQ(cluster.sequenceAt(size, 7), 2U);
        EXPECT_EQ(cluster.announcementsSent, size - 1);
    }

    // Guards against a change that is not propagated because one datagram was lost.
    TEST(GossipRelay, AChangeIsSentTwice)
    {
        Cluster cluster { 2 };
        for (int i = 0; i < 3; ++i)
            cluster.exchangeGossip();
        cluster.announce(1, 7, 1);
        cluster.announcementsSent = 0;
        for (int i = 0; i < 4; ++i)
            cluster.exchangeGossip();
        EXPECT_EQ(cluster.announcementsSent, 2U);
    }

    // Guards against upstreams that count as silent at a control instance that is partitioned from the one that
    // receives their announcements, while a third instance reaches both.
    TEST(GossipRelay, RelaysToInstancesThatDoNotReceiveFromTheSource)
    {
        Cluster cluster { 3 };
        for (int i = 0; i < 5; ++i)
            cluster.exchangeGossip();
        cluster.partition(1, 3);
        for (std::uint64_t sequence = 1; sequence <= 40; ++sequence) {
            cluster.announce(1, 7, sequence);
            cluster.exchangeGossip();
        }
        EXPECT_GE(cluster.sequenceAt(3, 7), 38U);
        EXPECT_EQ(cluster.sequenceAt(2, 7), 40U);
    }

} // namespace
} // namespace zinnia::feed
