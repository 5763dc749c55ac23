#include "zinnia/feed/gossip_relay.hpp"

#include <gtest/gtest.h>
#include <map>
#include <set>

namespace zinnia::feed {
namespace {

    using upstream::AnnouncementBoard;
    using upstream::UpstreamNumber;

    const TimePoint start { Seconds { 1000 } };

    upstream::Announcement announcementOf(std::uint64_t number, std::uint64_t sequence)
    {
        upstream::Announcement announcement;
        announcement.number = UpstreamNumber { number };
        announcement.state = upstream::AnnouncedState::Ready;
        announcement.order = { 1, sequence };
        return announcement;
    }

    /** @brief Control instances that exchange news each 200 ms; links between them can be cut. */
    class Fleet {
    public:
        explicit Fleet(std::uint32_t size)
        {
            std::vector<InstanceId> ids;
            for (std::uint32_t id = 1; id <= size; ++id)
                ids.push_back(InstanceId { id });
            for (const InstanceId id : ids)
                this->members.emplace(id, Member { AnnouncementBoard { {} }, ControlRoster { {}, id, ids, start } });
        }

        void cut(std::uint32_t left, std::uint32_t right) { this->cuts.emplace(left, right); }

        void round()
        {
            this->now += Milliseconds { 200 };
            for (auto& [sender, member] : this->members) {
                const auto fresh = member.board.takeFresh(this->now);
                const auto live = member.roster.live(this->now);
                for (const InstanceId peer : member.roster.peers()) {
                    const auto news = newsFor(peer, fresh, member.roster);
                    this->sent += news.size();
                    if (this->isCut(sender, peer))
                        continue;
                    Member& receiver = this->members.at(peer);
                    (void)receiver.roster.heard(sender, Epoch { 1 }, this->now);
                    receiver.roster.recordHearing(sender, live);
                    for (const auto& [announcement, age] : news)
                        (void)receiver.board.observe(announcement, age, this->now, sender);
                }
            }
        }

        void announce(std::uint32_t at, std::uint64_t number, std::uint64_t sequence)
        {
            (void)this->members.at(InstanceId { at }).board.observe(announcementOf(number, sequence), {}, this->now);
        }

        [[nodiscard]] std::uint64_t sequenceAt(std::uint32_t at, std::uint64_t number) const
        {
            const auto* known = this->members.at(InstanceId { at }).board.find(UpstreamNumber { number });
            return known == nullptr ? 0 : known->order.sequence;
        }

        std::size_t sent = 0;

    private:
        struct Member {
            AnnouncementBoard board;
            ControlRoster roster;
        };

        [[nodiscard]] bool isCut(InstanceId left, InstanceId right) const
        {
            return this->cuts.contains({ left.value, right.value }) || this->cuts.contains({ right.value, left.value });
        }

        std::map<InstanceId, Member> members;
        std::set<std::pair<std::uint32_t, std::uint32_t>> cuts;
        TimePoint now = start;
    };

    // Load: many control instances. Guards against news that travels the square of their number times.
    TEST(GossipRelay, ARenewalIsSentOnceToEachInstance)
    {
        constexpr std::uint32_t size = 30;
        Fleet fleet { size };
        fleet.announce(1, 7, 1);
        for (int i = 0; i < 10; ++i)
            fleet.round();
        fleet.sent = 0;
        fleet.announce(2, 7, 2);
        for (int i = 0; i < 5; ++i)
            fleet.round();
        EXPECT_EQ(fleet.sequenceAt(size, 7), 2U);
        EXPECT_EQ(fleet.sent, size - 1);
    }

    // Guards against a change that stays unknown because one datagram was lost.
    TEST(GossipRelay, AChangeIsSentTwice)
    {
        Fleet fleet { 2 };
        for (int i = 0; i < 3; ++i)
            fleet.round();
        fleet.announce(1, 7, 1);
        fleet.sent = 0;
        for (int i = 0; i < 4; ++i)
            fleet.round();
        EXPECT_EQ(fleet.sent, 2U);
    }

    // Guards against upstreams that look silent where their control instance is not heard, while a third one hears
    // both.
    TEST(GossipRelay, AnInstanceInBetweenRelaysToThoseThatDoNotHearTheSource)
    {
        Fleet fleet { 3 };
        for (int i = 0; i < 5; ++i)
            fleet.round();
        fleet.cut(1, 3);
        for (std::uint64_t sequence = 1; sequence <= 40; ++sequence) {
            fleet.announce(1, 7, sequence);
            fleet.round();
        }
        EXPECT_GE(fleet.sequenceAt(3, 7), 38U);
        EXPECT_EQ(fleet.sequenceAt(2, 7), 40U);
    }

} // namespace
} // namespace zinnia::feed
