#include "zinnia/runtime/fleet_process.hpp"
#include "zinnia/runtime/logger.hpp"
#include "zinnia/runtime/steady_clock.hpp"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <unistd.h>

namespace zinnia::runtime {
namespace {

    /** @brief A fleet of one control instance on its own loopback address. */
    class FleetProcessTest : public ::testing::Test {
    protected:
        FleetProcessTest()
            : folder { std::filesystem::temp_directory_path() / ("zinnia-fleet-" + std::to_string(getpid())) }
            , loop { std::move(EventLoop::create(this->clock)).value() }
        {
            std::filesystem::create_directories(this->folder);
            this->settings.member.name = "control-1";
            this->settings.member.address = 0x7F4D0001;
            this->settings.member.zone = "a";
            this->settings.member.ports = { 27720, 27721, 0 };
            this->settings.instance = this->settings.member.id();
            this->settings.member.seeds = { { this->settings.member.address, 27722 } };
            this->settings.http = { this->settings.member.address, 27722 };
            this->settings.cluster.id = ClusterId { 1 };
            this->settings.folder = this->folder;
            this->settings.bootstrap = true;
            this->settings.losses.instances = 0;
        }

        ~FleetProcessTest() override
        {
            // Its background thread writes to the folder.
            this->process.reset();
            std::filesystem::remove_all(this->folder);
        }

        void start()
        {
            const HttpApi api = [](FleetService&, std::uint16_t) -> HttpRequestHandler {
                return [](const HttpRequest&, const HttpResponder&) {};
            };
            auto created
                = FleetProcess::create(this->settings, { api, this->reader, nullptr }, Epoch { 1 }, *this->loop);
            ASSERT_TRUE(created);
            this->process = std::move(created.value());
        }

        void runFor(Milliseconds duration)
        {
            const auto end = this->loop->now() + duration;
            while (this->loop->now() < end)
                this->loop->runOnce(Milliseconds { 20 });
        }

        CallStatus withdrawZone() { return this->change(config::SetZoneWithdrawn { "a", true }); }

        CallStatus change(const config::FleetCommand& command)
        {
            std::optional<CallStatus> status;
            this->process->change(command, [&](const CallResult& result) { status = result.status; });
            const auto end = this->loop->now() + Seconds { 2 };
            while (!status && this->loop->now() < end)
                this->loop->runOnce(Milliseconds { 20 });
            return status.value_or(CallStatus::OutcomeUnknown);
        }

        CallStatus withdrawZoneWithin(Seconds limit)
        {
            const auto end = this->loop->now() + limit;
            CallStatus status = this->withdrawZone();
            while (status != CallStatus::Done && this->loop->now() < end) {
                this->loop->runOnce(Milliseconds { 20 });
                status = this->withdrawZone();
            }
            return status;
        }

        /** @brief Installs a route table with one route, as soon as the instance leads. */
        void installRoutes()
        {
            config::Route route;
            route.address = Endpoint { 0xC6120001, 443 };
            route.timeout = Milliseconds { 5000 };
            route.shares = { { "logger", 1 } };
            config::InstallRoutes routes;
            routes.table.version = ConfigVersion { 7 };
            routes.table.routes = { route };
            routes.table.services = { { "logger", 2000, Milliseconds { 0 }, 0 } };
            routes.document = documentWithObjective;
            const auto end = this->loop->now() + Seconds { 8 };
            while (this->change(routes) != CallStatus::Done && this->loop->now() < end)
                this->loop->runOnce(Milliseconds { 20 });
            route.latencyObjective = Milliseconds { 500 };
            routes.table.routes = { route };
            this->reader = [table = routes.table](const std::string& document) {
                return document == documentWithObjective ? std::optional { table } : std::nullopt;
            };
        }

        [[nodiscard]] static config::InstallRoutes routesOf(std::uint64_t version, std::uint32_t count)
        {
            config::InstallRoutes routes;
            routes.table.version = ConfigVersion { version };
            routes.table.services = { { "logger", 2000, Milliseconds { 0 }, 0 } };
            for (std::uint32_t i = 0; i < count; ++i)
                routes.table.routes.push_back(
                    { "r", { 0xC6120001 + i, 443 }, {}, Milliseconds { 1 }, 0, { { "logger", 1 } } });
            return routes;
        }

        /** @return A state that the instance has sent in parts within 2 s. */
        std::optional<Bytes> receiveParts(feed::StateSubject subject, std::uint64_t revision)
        {
            feed::StateTransfer transfer { subject };
            std::optional<Bytes> state;
            const auto send = [this](const std::optional<feed::OutgoingPartsRequest>& request) {
                if (request)
                    this->link->send(request->control, wire::MessageKind::StatePartsRequest, request->request);
            };
            this->onPart = [&](const feed::StatePart& part) {
                send(transfer.receive(this->settings.instance, part, this->loop->now()));
                if (auto complete = transfer.takeState())
                    state = std::move(complete);
            };
            send(transfer.offer(this->settings.instance, revision, this->loop->now()));
            const auto end = this->loop->now() + Seconds { 2 };
            while (!state && this->loop->now() < end)
                this->loop->runOnce(Milliseconds { 20 });
            this->onPart = {};
            return state;
        }

        /** @brief Sends the messages of a router in a zone, and records what it receives. */
        void startRouter(const std::string& zone, std::uint32_t address = 0x7F4D0002)
        {
            this->link.reset();
            this->router = this->settings.member;
            this->router.address = address;
            this->router.zone = zone;
            this->sealer = std::make_unique<wire::Sealer>(
                this->settings.cluster.key, this->settings.cluster.id, this->router.id(), Epoch { 1 });
            auto created = FleetLink::create(*this->loop, this->router, this->settings.cluster, *this->sealer,
                [this](const wire::OpenedMessage& message, const Endpoint&) {
                    if (message.kind == wire::MessageKind::FeedReply) {
                        ++this->feedReplies;
                        this->lastReply = wire::decode<feed::FeedReply>(message.body).value();
                    }
                    if (message.kind == wire::MessageKind::Gossip)
                        ++this->gossipMessages;
                    if (const auto summary = wire::decode<load::ZoneSummary>(message.body);
                        summary && message.kind == wire::MessageKind::ZoneSummary)
                        this->zoneOfInstance = summary.value().zone;
                    if (message.kind == wire::MessageKind::StatePart && this->onPart)
                        this->onPart(wire::decode<feed::StatePart>(message.body).value());
                    if (auto reply = wire::decode<load::LoadReply>(message.body);
                        reply && message.kind == wire::MessageKind::LoadReply)
                        this->loadReplies.push_back(reply.value());
                });
            ASSERT_TRUE(created);
            this->link = std::move(created.value());
        }

        /** @return True if a reply to a request for the complete state arrives within 2 s. */
        bool receiveReply()
        {
            const int before = this->feedReplies;
            feed::FeedRequest request;
            request.number = 1;
            this->link->send(this->settings.instance, wire::MessageKind::FeedRequest, request);
            const auto end = this->loop->now() + Seconds { 2 };
            while (this->feedReplies == before && this->loop->now() < end)
                this->loop->runOnce(Milliseconds { 20 });
            return this->feedReplies > before;
        }

        CallStatus announce(std::uint64_t number, const std::string& service)
        {
            upstream::Announcement announcement;
            announcement.number = upstream::UpstreamNumber { number };
            announcement.service = service;
            announcement.address = { 0x0A000000U + static_cast<std::uint32_t>(number), 8080 };
            announcement.zone = "a";
            announcement.slots = 2;
            announcement.version = { 5, 1 };
            std::optional<CallStatus> status;
            this->process->announce(announcement, [&](const CallResult& result) { status = result.status; });
            return status.value_or(CallStatus::OutcomeUnknown);
        }

        void sendReport(std::uint64_t number, std::vector<load::UpstreamCount> upstreams = {})
        {
            load::LoadReport report;
            report.number = number;
            report.zone = this->router.zone;
            report.upstreams = std::move(upstreams);
            this->link->send(this->settings.instance, wire::MessageKind::LoadReport, report);
        }

        /** @brief Sends reports until a reply has route facts, for 8 s at most. @return The facts. */
        load::RouteFacts receiveFacts()
        {
            const auto end = this->loop->now() + Seconds { 8 };
            for (std::uint64_t number = 1; this->loop->now() < end; ++number) {
                this->sendReport(number);
                const auto next = this->loop->now() + Milliseconds { 100 };
                while (this->loop->now() < next)
                    this->loop->runOnce(Milliseconds { 20 });
                if (!this->loadReplies.empty() && this->loadReplies.back().facts.digest != 0)
                    return this->loadReplies.back().facts;
            }
            return {};
        }

        static constexpr const char* documentWithObjective = "{\"latency_goal_ms\":500}";
        std::filesystem::path folder;
        SteadyClock clock;
        std::unique_ptr<EventLoop> loop;
        FleetSettings settings;
        RouteDocumentReader reader;
        std::unique_ptr<FleetProcess> process;
        FleetMember router;
        std::unique_ptr<wire::Sealer> sealer;
        std::unique_ptr<FleetLink> link;
        std::vector<load::LoadReply> loadReplies;
        int feedReplies {};
        feed::FeedReply lastReply;
        int gossipMessages {};
        std::string zoneOfInstance;
        std::function<void(const feed::StatePart&)> onPart;
    };

    // Guards against an instance that exits because its disk is full or fails during the start.
    TEST_F(FleetProcessTest, StartsWithAFailingDiskAndJoinsConsensusAfterItRecovers)
    {
        // A directory with the name of the file makes every read fail.
        std::filesystem::create_directory(this->folder / "replica");
        this->start();
        EXPECT_EQ(this->withdrawZone(), CallStatus::Unavailable);
        std::filesystem::remove(this->folder / "replica");
        EXPECT_EQ(this->withdrawZoneWithin(Seconds { 8 }), CallStatus::Done);
    }

    // Guards against voters that lose contact for good when the seeds in the settings have been replaced one by one and
    // all instances restart.
    TEST_F(FleetProcessTest, ContactsTheVotersOfTheLogThatNoSeedNames)
    {
        const std::uint32_t other = 0x7F4D0002;
        this->settings.losses.instances = 1;
        this->settings.member.seeds.push_back({ other, 27722 });
        this->settings.member.seeds.push_back({ 0x7F4D0003, 27722 });
        this->start();
        this->runFor(Milliseconds { 300 });
        this->process.reset();
        this->loop = std::move(EventLoop::create(this->clock)).value();
        this->settings.bootstrap = false;
        this->settings.member.seeds.resize(1);
        this->startRouter("a");
        this->start();
        this->runFor(Milliseconds { 1000 });
        EXPECT_GT(this->gossipMessages, 0);
    }

    // Guards against a control instance that does not answer load reports, or without the facts of the stored document.
    TEST_F(FleetProcessTest, AnswersALoadReportWithItsZoneAndTheRouteFacts)
    {
        this->settings.member.sharesLoad = true;
        this->start();
        this->installRoutes();
        this->process.reset();
        // A restarted process has a loop of its own; the timers of the previous process refer to that process.
        this->loop = std::move(EventLoop::create(this->clock)).value();
        // The facts come from the log after a restart, too, when the saved snapshot already has the revision.
        this->settings.bootstrap = false;
        this->start();
        this->startRouter("a");
        const load::RouteFacts facts = this->receiveFacts();
        ASSERT_FALSE(this->loadReplies.empty());
        EXPECT_EQ(this->loadReplies.back().zone, "a");
        ASSERT_EQ(facts.routes.size(), 1U);
        EXPECT_EQ(facts.routes.front().latencyObjective, Milliseconds { 500 });
        EXPECT_EQ(facts.routes.front().timeout, Milliseconds { 5000 });
    }

    // Guards against routers that do not learn the flows of each other while load sharing is off, and so exceed
    // `max_flows` together.
    TEST_F(FleetProcessTest, TellsRoutersTheFlowsOfOthersWithoutLoadSharing)
    {
        this->start();
        this->installRoutes();
        upstream::Announcement announcement;
        announcement.number = upstream::UpstreamNumber { 7 };
        announcement.service = "logger";
        announcement.address = { 0x0A000007, 8080 };
        announcement.zone = "a";
        announcement.slots = 2;
        announcement.version = { 5, 1 };
        this->process->announce(announcement, [](const CallResult&) {});
        const load::UpstreamCount flows { upstream::tokenOf(announcement.number), 0, 9, 0, {} };
        const auto end = this->loop->now() + Seconds { 8 };
        std::uint32_t reported = 0;
        for (std::uint64_t number = 1; reported == 0 && this->loop->now() < end; ++number) {
            this->startRouter("a", 0x7F4D0002);
            this->sendReport(number, { flows });
            this->runFor(Milliseconds { 100 });
            this->startRouter("a", 0x7F4D0003);
            this->sendReport(number);
            this->runFor(Milliseconds { 100 });
            for (const load::LoadReply& reply : this->loadReplies) {
                EXPECT_EQ(reply.facts.digest, 0U) << "the facts serve load sharing only";
                for (const load::UpstreamLoad& item : reply.upstreams)
                    reported = std::max(reported, item.flows);
            }
        }
        EXPECT_EQ(reported, 9U);
    }

    // Guards against routers that cannot learn that a control instance is in another zone, and ask it again and again.
    TEST_F(FleetProcessTest, TellsARouterOfAnotherZoneItsZone)
    {
        this->settings.member.sharesLoad = true;
        this->start();
        this->startRouter("b");
        this->sendReport(5);
        const auto end = this->loop->now() + Seconds { 2 };
        while (this->loadReplies.empty() && this->loop->now() < end)
            this->loop->runOnce(Milliseconds { 20 });
        ASSERT_EQ(this->loadReplies.size(), 1U);
        EXPECT_EQ(this->loadReplies.front().number, 5U);
        EXPECT_EQ(this->loadReplies.front().zone, "a");
        EXPECT_TRUE(this->loadReplies.front().services.empty());
    }

    // Guards against a leader that does not know the zones of the others, and so cannot spread the voters over them.
    TEST_F(FleetProcessTest, TellsOtherControlInstancesItsZoneWithoutLoadSharing)
    {
        this->start();
        this->startRouter("b");
        this->link->send(this->settings.instance, wire::MessageKind::Gossip, feed::Gossip {});
        this->runFor(Milliseconds { 1300 });
        EXPECT_EQ(this->zoneOfInstance, "a");
    }

    // Guards against an instance without load sharing that answers with more than the flows of other routers, or fills
    // its log with load messages.
    TEST_F(FleetProcessTest, AnswersLoadMessagesWithFlowsOnlyWithoutLoadSharing)
    {
        const auto file = this->folder / "log.txt";
        LogSettings log;
        log.file = file;
        ASSERT_TRUE(startLog(log));
        this->start();
        this->startRouter("a");
        this->sendReport(1);
        this->link->send(this->settings.instance, wire::MessageKind::ZoneSummary, load::ZoneSummary {});
        feed::FeedRequest request;
        request.number = 1;
        this->link->send(this->settings.instance, wire::MessageKind::FeedRequest, request);
        const auto end = this->loop->now() + Seconds { 2 };
        while (this->feedReplies == 0 && this->loop->now() < end)
            this->loop->runOnce(Milliseconds { 20 });
        EXPECT_EQ(this->feedReplies, 1);
        ASSERT_EQ(this->loadReplies.size(), 1U);
        EXPECT_EQ(this->loadReplies.front().number, 1U);
        EXPECT_TRUE(this->loadReplies.front().services.empty());
        EXPECT_EQ(this->loadReplies.front().facts.digest, 0U);
        ASSERT_TRUE(startLog({ LogLevel::Error, "" }));
        std::ifstream stream { file };
        const std::string text { std::istreambuf_iterator<char> { stream }, {} };
        EXPECT_EQ(text.find("MessageRefused"), std::string::npos) << text;
    }

    // Guards against one odd announcement that keeps routers from learning anything else (review/4).
    TEST_F(FleetProcessTest, AnOddAnnouncementDoesNotKeepRoutersFromTheOthers)
    {
        this->start();
        EXPECT_EQ(this->withdrawZoneWithin(Seconds { 8 }), CallStatus::Done);
        EXPECT_EQ(this->announce(1, "logger"), CallStatus::Done);
        EXPECT_EQ(this->announce(2, std::string(70000, 'x')), CallStatus::Invalid);
        this->startRouter("a");
        ASSERT_TRUE(this->receiveReply());
        EXPECT_EQ(this->lastReply.announcements.size(), 1U);
        ASSERT_TRUE(this->lastReply.state.has_value());
        EXPECT_EQ(this->lastReply.state->withdrawnZones, (std::vector<std::string> { "a" }));
    }

    // Guards against the same through a peer of an earlier release, which stores such an announcement and passes it on.
    TEST_F(FleetProcessTest, AnOddAnnouncementOfAPeerDoesNotKeepRoutersFromTheOthers)
    {
        this->start();
        EXPECT_EQ(this->withdrawZoneWithin(Seconds { 8 }), CallStatus::Done);
        this->startRouter("a");
        feed::Gossip gossip;
        gossip.announcements.resize(1);
        gossip.announcements[0].announcement.number = upstream::UpstreamNumber { 2 };
        gossip.announcements[0].announcement.service = std::string(60000, 'x');
        this->link->send(this->settings.instance, wire::MessageKind::Gossip, gossip);
        this->runFor(Milliseconds { 200 });
        EXPECT_EQ(this->announce(1, std::string(200, 'y')), CallStatus::Done);
        ASSERT_TRUE(this->receiveReply());
        EXPECT_EQ(this->lastReply.announcements.size(), 1U);
    }

    // Guards against a change that is acknowledged and never reaches routers, together with all that follows it.
    TEST_F(FleetProcessTest, RefusesAChangeThatCannotBeSentToRouters)
    {
        this->start();
        this->installRoutes();
        const config::InstallRoutes routes = this->routesOf(8, 60000);
        EXPECT_EQ(this->change(routes), CallStatus::TooLarge);
        config::InstallRoutes services = this->routesOf(8, 1);
        for (int i = 0; i < 70000; ++i)
            services.table.services.push_back({ std::to_string(i), 1, Milliseconds { 0 }, 0 });
        EXPECT_EQ(this->change(services), CallStatus::TooLarge);
        EXPECT_EQ(this->change(config::SetZoneWithdrawn { std::string(300, 'z'), true }), CallStatus::Invalid);
        EXPECT_EQ(this->withdrawZone(), CallStatus::Done);
        this->startRouter("a");
        ASSERT_TRUE(this->receiveReply());
        ASSERT_TRUE(this->lastReply.state.has_value());
        EXPECT_EQ(this->lastReply.state->version, ConfigVersion { 7 });
        EXPECT_EQ(this->lastReply.state->withdrawnZones, (std::vector<std::string> { "a" }));
    }

    // Guards against routers that get no routes at all once these exceed a datagram (review/1).
    TEST_F(FleetProcessTest, SendsARoutingStateThatExceedsADatagramInParts)
    {
        this->start();
        this->installRoutes();
        EXPECT_EQ(this->change(this->routesOf(8, 12000)), CallStatus::Done);
        this->startRouter("a");
        ASSERT_TRUE(this->receiveReply());
        EXPECT_FALSE(this->lastReply.state.has_value());
        const auto bytes = this->receiveParts(feed::StateSubject::Routing, this->lastReply.revision);
        ASSERT_TRUE(bytes);
        const auto state = wire::decode<feed::RoutingState>(*bytes);
        ASSERT_TRUE(state);
        EXPECT_EQ(state.value().version, ConfigVersion { 8 });
        EXPECT_EQ(state.value().routes.size(), 12000U);
        // A newer router may ask an instance of this release for a subject that it does not know.
        this->link->send(this->settings.instance, wire::MessageKind::StatePartsRequest,
            feed::StatePartsRequest { static_cast<feed::StateSubject>(200), 1, { 0 } });
        EXPECT_TRUE(this->receiveReply());
    }

    // Guards against routers that learn no load any more because the facts of all routes exceed a datagram.
    TEST_F(FleetProcessTest, SendsRouteFactsThatExceedADatagramInParts)
    {
        this->settings.member.sharesLoad = true;
        this->start();
        this->installRoutes();
        config::InstallRoutes routes = this->routesOf(8, 8000);
        this->reader = [table = routes.table](const std::string&) { return std::optional { table }; };
        this->process.reset();
        this->loop = std::move(EventLoop::create(this->clock)).value();
        this->settings.bootstrap = false;
        this->start();
        const auto deadline = this->loop->now() + Seconds { 8 };
        while (this->change(routes) != CallStatus::Done && this->loop->now() < deadline)
            this->runFor(Milliseconds { 100 });
        this->startRouter("a");
        const load::RouteFacts signal = this->receiveFacts();
        EXPECT_NE(signal.digest, 0U);
        EXPECT_TRUE(signal.routes.empty());
        const auto bytes = this->receiveParts(feed::StateSubject::RouteFacts, 8);
        ASSERT_TRUE(bytes);
        const auto facts = wire::decode<load::RouteFacts>(*bytes);
        ASSERT_TRUE(facts);
        EXPECT_EQ(facts.value().routes.size(), 8000U);
        EXPECT_EQ(facts.value().digest, signal.digest);
    }

} // namespace
} // namespace zinnia::runtime
