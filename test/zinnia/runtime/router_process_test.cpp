#include "platform/packet_codec.hpp"
#include "zinnia/runtime/router_process.hpp"
#include "zinnia/runtime/steady_clock.hpp"

#include <gtest/gtest.h>

namespace zinnia::runtime {
namespace {

    /** @brief A router, and a control instance that records what it gets, on loopback addresses. */
    class RouterProcessTest : public ::testing::Test {
    protected:
        RouterProcessTest()
            : loop { std::move(EventLoop::create(this->clock)).value() }
        {
            this->control.address = 0x7F4E0001;
            this->control.zone = "a";
            this->control.ports = { 27730, 27731, 0 };
            this->settings.member = this->control;
            this->settings.member.address = 0x7F4E0002;
            this->settings.member.seeds = { { this->control.address, 27732 } };
            this->settings.instance = this->settings.member.id();
            this->settings.cluster.id = ClusterId { 1 };
            this->settings.packets = { this->settings.member.address, 27733 };
            this->settings.readiness = { this->settings.member.address, 27734 };
        }

        /** @brief Starts both and runs them for 700 ms; the control instance answers load reports. */
        void run()
        {
            wire::Sealer sealer { this->settings.cluster.key, this->settings.cluster.id, this->control.id(),
                Epoch { 1 } };
            std::unique_ptr<FleetLink> link;
            auto created = FleetLink::create(*this->loop, this->control, this->settings.cluster, sealer,
                [&](const wire::OpenedMessage& message, const Endpoint& source) {
                    ++this->received[message.kind];
                    this->answer(message, source, *link);
                    const auto report = wire::decode<load::LoadReport>(message.body);
                    if (message.kind != wire::MessageKind::LoadReport || !report)
                        return;
                    this->reports.push_back(report.value());
                    load::LoadReply reply;
                    reply.number = report.value().number;
                    reply.zone = "a";
                    link->reply(source, wire::MessageKind::LoadReply, reply);
                });
            ASSERT_TRUE(created);
            link = std::move(created.value());
            const ReadinessApi api = [](std::function<bool()>) -> HttpRequestHandler {
                return [](const HttpRequest&, const HttpResponder&) {};
            };
            auto router = RouterProcess::create(this->settings, this->format, api, Epoch { 1 }, *this->loop);
            ASSERT_TRUE(router);
            // A reply that was not asked for, as from a control instance that shares load.
            link->send(this->settings.instance, wire::MessageKind::LoadReply, load::LoadReply {});
            const auto end = this->loop->now() + Milliseconds { 700 };
            while (this->loop->now() < end)
                this->loop->runOnce(Milliseconds { 20 });
        }

        /** @brief Offers the newest state of the archive, if it has one, and sends it in parts. */
        void answer(const wire::OpenedMessage& message, const Endpoint& source, FleetLink& link)
        {
            if (const auto request = wire::decode<feed::FeedRequest>(message.body);
                request && message.kind == wire::MessageKind::FeedRequest && this->offeredRevision > 0) {
                this->routerRevision = request.value().revision;
                feed::FeedReply reply;
                reply.number = request.value().number;
                reply.hasLeader = true;
                reply.revision = this->offeredRevision;
                link.reply(source, wire::MessageKind::FeedReply, reply);
            }
            if (const auto request = wire::decode<feed::StatePartsRequest>(message.body);
                request && message.kind == wire::MessageKind::StatePartsRequest)
                link.replyAll(source, wire::MessageKind::StatePart, this->archive.answer(request.value()));
        }

        SteadyClock clock;
        std::unique_ptr<EventLoop> loop;
        feed::StateArchive archive;
        std::uint64_t offeredRevision {};
        std::uint64_t routerRevision {};
        platform::PacketCodec format;
        FleetMember control;
        RouterSettings settings;
        std::map<wire::MessageKind, int> received;
        std::vector<load::LoadReport> reports;
    };

    // Guards against load reports to control instances of the previous release, which log each of them.
    TEST_F(RouterProcessTest, SendsNoLoadReportWithoutLoadSharing)
    {
        this->run();
        EXPECT_GT(this->received[wire::MessageKind::FeedRequest], 0);
        EXPECT_EQ(this->received[wire::MessageKind::LoadReport], 0);
    }

    // Guards against a router that does not report its load, or repeats a number.
    TEST_F(RouterProcessTest, ReportsItsLoad)
    {
        this->settings.member.sharesLoad = true;
        this->run();
        ASSERT_GE(this->reports.size(), 3U);
        for (std::size_t i = 0; i < this->reports.size(); ++i) {
            EXPECT_EQ(this->reports[i].number, i + 1);
            EXPECT_EQ(this->reports[i].zone, "a");
        }
        EXPECT_LE(this->reports.size(), 6U);
    }

    // Guards against a router that never gets a routing state that does not fit into a reply (review/1).
    TEST_F(RouterProcessTest, RequestsARoutingStateInPartsThatIsNotInTheReply)
    {
        feed::RoutingState state { 9, ConfigVersion { 3 }, { { "logger", 2000, Milliseconds { 0 }, 0 } }, {}, {}, {} };
        for (std::uint32_t i = 0; i < 20000; ++i)
            state.routes.push_back({ { 0xC6120001 + i, 443 }, { 0 }, { 1 } });
        EXPECT_GT(this->archive.sizeOf(9, [&state] { return wire::encode(state); }), 65507U);
        this->offeredRevision = 9;
        this->run();
        EXPECT_EQ(this->routerRevision, 9U);
        EXPECT_LE(this->received[wire::MessageKind::StatePartsRequest], 20);
    }

} // namespace
} // namespace zinnia::runtime
