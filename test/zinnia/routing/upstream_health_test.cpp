#include "zinnia/routing/fixture.hpp"

#include <gtest/gtest.h>
#include <map>
#include <random>
#include <set>

namespace zinnia::routing::test {
namespace {

    using upstream::AnnouncedState;

    feed::RoutingState stateWithLimit(std::uint32_t maxFlows)
    {
        feed::RoutingState state = stateOf(2);
        state.services[0].maxFlowsPerUpstream = maxFlows;
        return state;
    }

    /** @brief Callers and upstreams of a router, which retransmit, answer and accept connections as real ones do. */
    class Network {
    public:
        /** @brief How an upstream treats what it receives. */
        enum class Behaviour : unsigned char {
            Serves,
            /** Takes no new flow and serves those that it has. */
            IsFull,
            /** Answers nothing; its machine does not either. */
            IsGone,
            /** Its machine refuses connections, and resets flows unseen by the router. */
            HasExited,
        };

        explicit Network(Fixture& fixture)
            : fixture { fixture }
        {
        }

        std::map<RoutingToken, Behaviour> behaviours;
        /** Tokens of upstreams whose flows were reset, with the time of the first reset. */
        std::map<RoutingToken, TimePoint> resetAt;
        std::size_t resets {};
        std::size_t refusedOpenings {};
        std::size_t unansweredOpenings {};
        /** Times from the first transmission of an opening to its answer. */
        std::vector<Microseconds> openingWaits;
        /** Share of the answers to openings that are lost. Unit: 1/1000. */
        unsigned lostAnswersPerMille {};
        /** Upstreams that have answered an opening, by caller. */
        std::map<Endpoint, std::set<RoutingToken>> answeredBy;

        /** @brief A caller of its own address opens a flow; if it is answered, its requests begin. */
        void open(std::uint16_t port)
        {
            FlowPacket opening = Fixture::openingOf(port);
            opening.caller.address += port;
            this->sendOpening(opening, 0, this->fixture.now);
        }

        void runFor(Milliseconds duration)
        {
            const TimePoint end = this->fixture.now + duration;
            while (this->fixture.now < end) {
                this->fixture.now += Milliseconds { 1 };
                while (!this->queue.empty() && this->queue.begin()->first <= this->fixture.now)
                    this->queue.extract(this->queue.begin()).mapped()();
                if (this->fixture.now.time_since_epoch() % Milliseconds { 50 } == Microseconds { 0 })
                    this->fixture.router.checkOverdueAnswers(this->fixture.now);
                for (const RepeatedOpening& repeated : this->fixture.router.takeRepeatedOpenings())
                    this->repeatOpening(repeated);
                this->runHealthChecks();
                for (const FlowReset& reset : this->fixture.router.takeResets()) {
                    this->resetAt.try_emplace(tokenOf(reset.upstream), this->fixture.now);
                    this->flows.erase(reset.caller);
                    ++this->resets;
                }
            }
        }

        [[nodiscard]] std::size_t openFlows() const { return this->flows.size(); }
        [[nodiscard]] std::size_t openFlowsOf(RoutingToken token) const
        {
            return static_cast<std::size_t>(std::count_if(
                this->flows.begin(), this->flows.end(), [&](const auto& item) { return item.second.token == token; }));
        }
        void stopRequests() { this->sendsRequests = false; }

    private:
        static constexpr Milliseconds wayTime { 3 };
        static constexpr Milliseconds workTime { 20 };
        static constexpr Milliseconds requestInterval { 400 };

        struct OpenFlow {
            RoutingToken token;
            std::uint32_t sequence {};
            std::uint32_t acknowledged = 500;
        };

        void after(Milliseconds delay, std::function<void()> work)
        {
            this->queue.emplace(this->fixture.now + delay, std::move(work));
        }

        bool answers(RoutingToken token) const
        {
            const auto found = this->behaviours.find(token);
            return found == this->behaviours.end() || found->second == Behaviour::Serves
                || found->second == Behaviour::IsFull;
        }

        void sendOpening(const FlowPacket& opening, int copy, TimePoint startedAt)
        {
            static constexpr std::array<Milliseconds, 2> copyIntervals { Milliseconds { 200 }, Milliseconds { 400 } };
            if (this->flows.contains(opening.caller))
                return;
            const RoutingDecision decision = this->fixture.send(opening);
            if (decision.action == PacketAction::Reset) {
                ++this->refusedOpenings;
                return;
            }
            const RoutingToken token = decision.upstream->token;
            const auto found = this->behaviours.find(token);
            if (found != this->behaviours.end() && found->second == Behaviour::HasExited)
                return;
            if (found != this->behaviours.end() && found->second != Behaviour::Serves) {
                ++this->unansweredOpenings;
                if (copy < 2)
                    this->after(copyIntervals[static_cast<std::size_t>(copy)],
                        [this, opening, copy, startedAt] { this->sendOpening(opening, copy + 1, startedAt); });
                return;
            }
            this->answeredBy[opening.caller].insert(token);
            this->sentOpenings[opening.caller] = { opening, startedAt };
            if (this->random() % 1000 < this->lostAnswersPerMille) {
                // The upstream repeats its answer when the caller sends a copy, which it gets or another one.
                if (copy < 2)
                    this->after(copyIntervals[static_cast<std::size_t>(copy)],
                        [this, opening, copy, startedAt] { this->sendOpening(opening, copy + 1, startedAt); });
                return;
            }
            this->answerOpening(opening, token, startedAt);
        }

        /** @brief An upstream that takes flows answers each transmission of an opening. */
        void repeatOpening(const RepeatedOpening& repeated)
        {
            const auto sent = this->sentOpenings.find(repeated.caller);
            const auto found = this->behaviours.find(repeated.upstream->token);
            const bool serves = found == this->behaviours.end() || found->second == Behaviour::Serves;
            if (sent != this->sentOpenings.end() && serves && this->random() % 1000 >= this->lostAnswersPerMille)
                this->answerOpening(sent->second.first, repeated.upstream->token, sent->second.second);
        }

        void answerOpening(const FlowPacket& opening, RoutingToken token, TimePoint startedAt)
        {
            this->after(2 * wayTime, [this, opening, token, startedAt] {
                if (this->flows.contains(opening.caller))
                    return;
                this->openingWaits.push_back(this->fixture.now - startedAt);
                this->flows[opening.caller] = OpenFlow { token, opening.sequence + 1 };
                this->send(opening.caller, 0);
                this->after(Milliseconds { 1 + opening.caller.port % 100 },
                    [this, caller = opening.caller] { this->request(caller); });
            });
        }

        RoutingDecision send(const Endpoint& caller, std::uint16_t dataBytes)
        {
            const OpenFlow& flow = this->flows.at(caller);
            FlowPacket packet = Fixture::packetOf(caller.port, flow.token, flow.sequence, flow.acknowledged, dataBytes);
            packet.caller = caller;
            return this->fixture.send(packet);
        }

        void request(const Endpoint& caller)
        {
            if (this->flows.contains(caller) && this->sendsRequests)
                this->transmit(caller, this->flows.at(caller).sequence, Milliseconds { 200 });
        }

        void transmit(const Endpoint& caller, std::uint32_t sequence, Milliseconds retransmissionDelay)
        {
            const auto found = this->flows.find(caller);
            if (found == this->flows.end() || found->second.sequence != sequence)
                return;
            const RoutingToken token = found->second.token;
            if (this->send(caller, 100).action == PacketAction::Reset) {
                this->resetAt.try_emplace(token, this->fixture.now);
                this->flows.erase(caller);
                ++this->resets;
                return;
            }
            const auto behaviour = this->behaviours.find(token);
            if (behaviour != this->behaviours.end() && behaviour->second == Behaviour::HasExited) {
                // The reset of the machine reaches the caller only.
                this->flows.erase(caller);
                return;
            }
            this->after(retransmissionDelay, [this, caller, sequence, retransmissionDelay] {
                this->transmit(caller, sequence, 2 * retransmissionDelay);
            });
            if (!this->answers(token))
                return;
            this->after(2 * wayTime + workTime, [this, caller, sequence] {
                const auto open = this->flows.find(caller);
                if (open == this->flows.end() || open->second.sequence != sequence)
                    return;
                open->second.sequence += 100;
                open->second.acknowledged += 2000;
                this->send(caller, 0);
                this->after(requestInterval, [this, caller] { this->request(caller); });
            });
        }

        void runHealthChecks()
        {
            for (const HealthCheck& check : this->fixture.router.takeHealthChecks()) {
                const auto found = this->behaviours.find(check.token);
                const Behaviour behaviour = found == this->behaviours.end() ? Behaviour::Serves : found->second;
                const Milliseconds delay = behaviour == Behaviour::IsGone ? check.timeout : 2 * wayTime;
                this->after(delay, [this, token = check.token, connects = this->answers(check.token)] {
                    this->fixture.router.finishHealthCheck(token, connects, this->fixture.now);
                });
            }
        }

        Fixture& fixture;
        std::multimap<TimePoint, std::function<void()>> queue;
        std::map<Endpoint, OpenFlow> flows;
        /** Openings that an upstream has taken, and when their callers sent them first. */
        std::map<Endpoint, std::pair<FlowPacket, TimePoint>> sentOpenings;
        bool sendsRequests = true;
        std::mt19937 random { 7 };
    };

    const RoutingToken first = tokenOf(upstream::UpstreamNumber { 1 });
    const RoutingToken second = tokenOf(upstream::UpstreamNumber { 2 });

    std::vector<upstream::AgedAnnouncement> twoUpstreams()
    {
        return { makeAnnouncement(1, "logger", "a"), makeAnnouncement(2, "logger", "a") };
    }

    // Guards against open flows that are reset because their upstreams are full and leave further openings unanswered
    // (review/8). The limit of the configuration is higher, so the router can't foresee it.
    TEST(UpstreamHealth, FullUpstreamsKeepTheirOpenFlows)
    {
        for (const bool callersPause : { false, true }) {
            Fixture fixture { twoUpstreams() };
            Network network { fixture };
            for (std::uint16_t port = 1; port <= 40; ++port)
                network.open(port);
            network.runFor(Milliseconds { 1000 });
            ASSERT_EQ(network.openFlows(), 40U);
            network.behaviours = { { first, Network::Behaviour::IsFull }, { second, Network::Behaviour::IsFull } };
            if (callersPause)
                network.stopRequests();
            for (std::uint16_t port = 101; port <= 140; ++port) {
                network.open(port);
                network.runFor(Milliseconds { 150 });
            }
            EXPECT_EQ(network.resets, 0U);
            EXPECT_EQ(network.openFlows(), 40U);
        }
    }

    // Guards against callers that wait for an answer until their timeout although no upstream takes flows.
    TEST(UpstreamHealth, RefusesAtOnceWhileAllUpstreamsRejectFlowsAndTriesOneAtIntervals)
    {
        Fixture fixture { twoUpstreams() };
        Network network { fixture };
        for (std::uint16_t port = 1; port <= 40; ++port)
            network.open(port);
        network.runFor(Milliseconds { 1000 });
        network.stopRequests();
        network.behaviours = { { first, Network::Behaviour::IsFull }, { second, Network::Behaviour::IsFull } };
        std::uint16_t port = 101;
        for (; port <= 200; ++port) {
            network.open(port);
            network.runFor(Milliseconds { 20 });
        }
        const std::size_t refused = network.refusedOpenings;
        const std::size_t unanswered = network.unansweredOpenings;
        for (; port <= 300; ++port) {
            network.open(port);
            network.runFor(Milliseconds { 20 });
        }
        // In 4 s each upstream gets an opening each 250 ms at most.
        EXPECT_LE(network.unansweredOpenings - unanswered, 32U);
        EXPECT_GE(network.refusedOpenings - refused, 68U);
        EXPECT_EQ(network.resets, 0U);
    }

    // Guards against a service that refuses callers for seconds after a flow has ended and made room.
    TEST(UpstreamHealth, TakesFlowsAgainAsSoonAsOneHasEnded)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a") } };
        const RoutingToken token = fixture.open(1);
        for (std::uint16_t port = 10; port < 60; ++port) {
            FlowPacket opening = Fixture::openingOf(port);
            opening.caller.address += port;
            (void)fixture.send(opening);
            fixture.now += Milliseconds { 50 };
        }
        EXPECT_EQ(fixture.send(Fixture::openingOf(100)).action, PacketAction::Reset);
        FlowPacket last = Fixture::packetOf(1, token, 1001, 500, 0);
        last.fin = true;
        (void)fixture.send(last);
        EXPECT_EQ(fixture.send(Fixture::openingOf(101)).action, PacketAction::Forward);
    }

    // Guards against openings that were lost long ago and still count against an upstream.
    TEST(UpstreamHealth, UnansweredOpeningsCountForALimitedTime)
    {
        Fixture fixture { twoUpstreams() };
        const auto loseOpening = [&](std::uint16_t port) {
            FlowPacket opening = Fixture::openingOf(port);
            opening.caller.address += port;
            const RoutingDecision decision = fixture.send(opening);
            return decision.action == PacketAction::Forward ? decision.upstream->token : RoutingToken {};
        };
        for (std::uint16_t port = 1; port <= 20; ++port) {
            (void)loseOpening(port);
            fixture.now += FlowRouterSettings {}.maxOpeningEvidenceAge;
            fixture.now += Milliseconds { 1 };
            fixture.router.expire(fixture.now);
            EXPECT_TRUE(fixture.router.takeHealthChanges().empty()) << port;
        }
    }

    // Guards against callers above `max_flows` that are sent to a full upstream because load sharing is off, and wait
    // there in vain.
    TEST(UpstreamHealth, KeepsToTheFlowLimitWithoutLoadSharing)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a"), makeAnnouncement(2, "logger", "b"),
            makeAnnouncement(3, "logger", "b", AnnouncedState::Silent) } };
        (void)fixture.router.adopt(stateWithLimit(5), fixture.now);
        std::map<RoutingToken, int> flows;
        for (std::uint16_t port = 1; port <= 15; ++port)
            ++flows[fixture.open(port)];
        for (const auto& [token, count] : flows)
            EXPECT_EQ(count, 5) << "own zone, other zone, silent";
        const RoutingDecision refused = fixture.send(Fixture::openingOf(16));
        EXPECT_EQ(refused.action, PacketAction::Reset);
        EXPECT_EQ(refused.reason, RoutingReason::FlowsFull);
        FlowPacket last = Fixture::packetOf(1, first, 1001, 500, 0);
        last.fin = true;
        (void)fixture.send(last);
        EXPECT_EQ(fixture.send(Fixture::openingOf(17)).action, PacketAction::Forward);
    }

    // Guards against the last caller that has a place and is refused because its opening was lost once.
    TEST(UpstreamHealth, ARetransmittedOpeningKeepsItsPlaceAtTheFlowLimit)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a") } };
        (void)fixture.router.adopt(stateWithLimit(2), fixture.now);
        (void)fixture.open(1);
        ASSERT_EQ(fixture.send(Fixture::openingOf(2)).action, PacketAction::Forward);
        EXPECT_EQ(fixture.send(Fixture::openingOf(3)).reason, RoutingReason::FlowsFull);
        fixture.now += Milliseconds { 200 };
        EXPECT_EQ(fixture.send(Fixture::openingOf(2)).action, PacketAction::Forward);
        EXPECT_EQ(fixture.router.directory().all().begin()->second.flows, 2U);
    }

    // Guards against routers that together exceed the limit to which each of them keeps.
    TEST(UpstreamHealth, CountsTheFlowsOfOtherRoutersWithoutLoadSharing)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a") } };
        (void)fixture.router.adopt(stateWithLimit(20), fixture.now);
        EXPECT_FALSE(fixture.router.hasNotableFlows());
        (void)fixture.open(1);
        EXPECT_TRUE(fixture.router.hasNotableFlows());
        load::LoadReply reply;
        reply.zone = "a";
        reply.services.emplace_back().service = "logger";
        reply.upstreams = { { first, 0, 18, 100 } };
        fixture.router.merge(reply, fixture.now);
        EXPECT_EQ(fixture.router.load().service("logger", fixture.now), nullptr) << "placement stays as it is";
        EXPECT_EQ(fixture.send(Fixture::openingOf(2)).action, PacketAction::Forward);
        EXPECT_EQ(fixture.send(Fixture::openingOf(3)).reason, RoutingReason::FlowsFull);
        // What others had more than a second ago is not known any more.
        fixture.now += LoadView::maxAge + Milliseconds { 1 };
        EXPECT_EQ(fixture.send(Fixture::openingOf(4)).action, PacketAction::Forward);
    }

    // Guards against openings above the size of the flow table, which are counted as flows for ever and whose answers
    // are not seen.
    TEST(UpstreamHealth, AFullFlowTableIsNoEvidenceAgainstUpstreams)
    {
        FlowRouterSettings settings = Fixture::settingsOf(1);
        settings.maxFlows = 2;
        Fixture fixture { twoUpstreams() };
        fixture.router = FlowRouter { settings };
        (void)fixture.router.adopt(stateOf(1), fixture.now);
        (void)fixture.router.merge(twoUpstreams(), fixture.now);
        fixture.router.setSynchronized();
        for (std::uint16_t port = 1; port <= 200; ++port) {
            FlowPacket opening = Fixture::openingOf(port);
            opening.caller.address += port;
            const RoutingDecision decision = fixture.send(opening);
            ASSERT_EQ(decision.action, PacketAction::Forward) << port;
            if (port <= 2) {
                fixture.now += Milliseconds { 5 };
                FlowPacket handshakeEnd = Fixture::packetOf(port, decision.upstream->token, 1000U * port + 1, 500, 0);
                handshakeEnd.caller = opening.caller;
                (void)fixture.send(handshakeEnd);
            }
            fixture.now += Milliseconds { 30 };
            fixture.router.checkOverdueAnswers(fixture.now);
        }
        EXPECT_TRUE(fixture.router.takeHealthChecks().empty());
        EXPECT_TRUE(fixture.router.takeResets().empty());
        for (const auto& [token, upstream] : fixture.router.directory().all())
            EXPECT_LE(upstream.flows, 2U);
    }

    // Guards against a live upstream that loses all flows because two callers wait for long requests and retransmit.
    TEST(UpstreamHealth, LongRequestsEndNoFlow)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a") } };
        RoutingToken token;
        for (std::uint16_t port = 1; port <= 5; ++port)
            token = fixture.open(port);
        for (const int pause : { 5, 200, 400, 800, 1600 }) {
            fixture.now += Milliseconds { pause };
            for (const std::uint16_t port : { 1, 2 })
                EXPECT_EQ(fixture.send(Fixture::packetOf(port, token, 1000U * port + 1, 500, 100)).action,
                    PacketAction::Forward);
            for (const HealthCheck& check : fixture.router.takeHealthChecks())
                fixture.router.finishHealthCheck(check.token, true, fixture.now);
        }
        EXPECT_TRUE(fixture.router.takeResets().empty());
        EXPECT_EQ(fixture.router.flowCount(), 5U);
    }

    // Guards against a dead upstream that is found half a second later because a check succeeded just before it died.
    TEST(UpstreamHealth, ASecondStalledFlowRequestsAnotherCheckAtOnce)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a") } };
        const RoutingToken token = fixture.open(1);
        (void)fixture.open(2);
        const auto request = [&](std::uint16_t port) {
            (void)fixture.send(Fixture::packetOf(port, token, 1000U * port + 1, 500, 100));
        };
        fixture.now += Milliseconds { 5 };
        request(1);
        fixture.now += Milliseconds { 100 };
        request(2);
        fixture.now += Milliseconds { 100 };
        request(1);
        ASSERT_EQ(fixture.router.takeHealthChecks().size(), 1U);
        fixture.router.finishHealthCheck(token, true, fixture.now);
        EXPECT_TRUE(fixture.router.takeResets().empty());
        fixture.now += Milliseconds { 100 };
        request(2);
        ASSERT_EQ(fixture.router.takeHealthChecks().size(), 1U);
        fixture.router.finishHealthCheck(token, false, fixture.now);
        EXPECT_EQ(fixture.router.takeResets().size(), 2U);
    }

    // Guards against callers of a dead upstream whose address accepts connections, as another service has it now.
    TEST(UpstreamHealth, AConnectionToATakenAddressProvesNothing)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a") } };
        const RoutingToken token = fixture.open(1);
        (void)fixture.open(2);
        upstream::AgedAnnouncement successor = makeAnnouncement(9, "archive", "a");
        successor.announcement.address = { 0x0A000001, 8080 };
        successor.announcement.version.startedAt = 2;
        (void)fixture.router.merge(
            { successor, makeAnnouncement(1, "logger", "a", upstream::AnnouncedState::Silent) }, fixture.now);
        for (const int pause : { 5, 200 }) {
            fixture.now += Milliseconds { pause };
            for (const std::uint16_t port : { 1, 2 })
                (void)fixture.send(Fixture::packetOf(port, token, 1000U * port + 1, 500, 100));
        }
        EXPECT_EQ(fixture.router.flowCount(), 0U);
        fixture.router.finishHealthCheck(token, true, fixture.now);
        EXPECT_EQ(fixture.send(Fixture::packetOf(7, token, 7001, 500, 100)).reason, RoutingReason::UpstreamDead);
    }

    // Guards against another writer that announces an upstream, of a named service or another one, at the address of a
    // living upstream: its flows are reset while it works on long requests (review/13).
    TEST(UpstreamHealth, AnAnnouncementAtTheAddressOfALivingUpstreamEndsNoFlow)
    {
        for (const std::string service : { "archive", "node-agent" }) {
            Fixture fixture { { makeAnnouncement(1, "logger", "a") } };
            const RoutingToken token = fixture.open(1);
            (void)fixture.open(2);
            upstream::AgedAnnouncement other = makeAnnouncement(9, service, "a");
            other.announcement.address = { 0x0A000001, 8080 };
            other.announcement.version.startedAt = 2;
            (void)fixture.router.merge({ other }, fixture.now);
            for (const int pause : { 5, 200, 400, 800 }) {
                fixture.now += Milliseconds { pause };
                for (const std::uint16_t port : { 1, 2 })
                    EXPECT_EQ(fixture.send(Fixture::packetOf(port, token, 1000U * port + 1, 500, 100)).action,
                        PacketAction::Forward);
                EXPECT_EQ(fixture.router.takeHealthChecks().empty(), pause == 5) << pause;
                fixture.router.finishHealthCheck(token, true, fixture.now);
            }
            EXPECT_TRUE(fixture.router.takeResets().empty()) << service;
            EXPECT_EQ(fixture.router.flowCount(), 2U) << service;
        }
    }

    // Guards against a claim to an address that keeps an upstream dead for good, although it announces itself.
    TEST(UpstreamHealth, AnUpstreamThatOutlivesAClaimToItsAddressIsUsedAgain)
    {
        Fixture fixture { { makeAnnouncement(1, "logger", "a") } };
        const RoutingToken token = fixture.open(1);
        for (const int pause : { 5, 200 }) {
            fixture.now += Milliseconds { pause };
            (void)fixture.send(Fixture::packetOf(1, token, 1001, 500, 100));
        }
        fixture.router.finishHealthCheck(token, false, fixture.now);
        ASSERT_TRUE(fixture.router.directory().all().at(token).failure.isDead());
        upstream::AgedAnnouncement other = makeAnnouncement(9, "archive", "a");
        other.announcement.address = { 0x0A000001, 8080 };
        other.announcement.version.startedAt = 2;
        (void)fixture.router.merge({ other }, fixture.now);
        fixture.router.finishHealthCheck(token, true, fixture.now);
        EXPECT_TRUE(fixture.router.directory().all().at(token).failure.isDead());
        fixture.now += Seconds { 7 };
        fixture.router.finishHealthCheck(token, true, fixture.now);
        EXPECT_FALSE(fixture.router.directory().all().at(token).failure.isDead());
    }

    // Guards against evidence that ends flows without a proof, and against a check that does not count.
    TEST(UpstreamHealth, OnlyTheStatedEvidenceShowsADeadUpstream)
    {
        for (unsigned bits = 0; bits < 16; ++bits) {
            LivenessEvidence evidence;
            evidence.isSilent = (bits & 1U) != 0;
            evidence.hasLeft = (bits & 2U) != 0;
            evidence.isAddressClaimed = (bits & 4U) != 0;
            evidence.isStalled = (bits & 8U) != 0;
            const bool reachesAnother
                = evidence.isAddressClaimed && (evidence.hasLeft || (evidence.isSilent && evidence.isStalled));
            EXPECT_EQ(assess(evidence), reachesAnother ? Liveness::Dead : Liveness::Unknown) << bits;
            evidence.connected = true;
            EXPECT_EQ(assess(evidence) == Liveness::Dead, reachesAnother) << bits;
            EXPECT_EQ(assess(evidence) == Liveness::Alive, !evidence.isAddressClaimed) << bits;
            evidence.connected = false;
            EXPECT_EQ(assess(evidence), Liveness::Dead) << bits;
        }
    }

    // Guards against an opening that waits although all upstreams are at their flow limit, when load sharing is on.
    TEST(UpstreamHealth, WithLoadSharingAFullServiceRefusesAtOnceToo)
    {
        FlowRouterSettings settings = Fixture::settingsOf(1);
        settings.load.enabled = true;
        Fixture fixture { twoUpstreams() };
        fixture.router = FlowRouter { settings };
        (void)fixture.router.adopt(stateWithLimit(3), fixture.now);
        (void)fixture.router.merge(twoUpstreams(), fixture.now);
        fixture.router.setSynchronized();
        for (std::uint16_t port = 1; port <= 6; ++port) {
            ASSERT_NE(fixture.open(port), RoutingToken {}) << port;
            fixture.now += Seconds { 1 };
            fixture.router.checkOverdueAnswers(fixture.now);
        }
        EXPECT_EQ(fixture.send(Fixture::openingOf(7)).reason, RoutingReason::FlowsFull);
    }

    // Guards against a flow of which two upstreams have answered the opening because one packet was lost: after its
    // router has left, the next one follows the token of the wrong upstream (review/14).
    TEST(UpstreamHealth, OneUpstreamAnswersAnOpeningOfWhichAPacketWasLost)
    {
        std::size_t twice = 0;
        std::size_t opened = 0;
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            Fixture fixture { twoUpstreams(), seed };
            Network network { fixture };
            network.lostAnswersPerMille = 30;
            for (std::uint16_t port = 1; port <= 400; ++port) {
                network.open(port);
                network.runFor(Milliseconds { 25 });
            }
            network.runFor(Milliseconds { 2000 });
            opened += network.answeredBy.size();
            for (const auto& [caller, tokens] : network.answeredBy)
                twice += tokens.size() > 1 ? 1 : 0;
        }
        std::cout << twice << " of " << opened << " openings were answered by two upstreams\n";
        EXPECT_LE(twice * 1000, opened);
        EXPECT_GE(opened, 3900U);
    }

    /** @return The waits of openings, sorted, while one of two upstreams behaves in a way. */
    std::vector<Microseconds> openingWaitsBeside(Network::Behaviour behaviour, std::uint64_t seed)
    {
        Fixture fixture { twoUpstreams(), seed };
        Network network { fixture };
        for (std::uint16_t port = 1; port <= 20; ++port)
            network.open(port);
        network.runFor(Milliseconds { 1000 } + Milliseconds { static_cast<std::int64_t>(seed * 37 % 400) });
        network.behaviours[first] = behaviour;
        network.openingWaits.clear();
        for (std::uint16_t port = 21; port <= 320; ++port) {
            network.open(port);
            network.runFor(Milliseconds { 30 });
        }
        network.runFor(Milliseconds { 2000 });
        std::vector<Microseconds> waits = network.openingWaits;
        std::sort(waits.begin(), waits.end());
        return waits;
    }

    // Guards against copies that stay at an upstream that answers no opening, so that new flows wait longer for it than
    // for one copy.
    TEST(UpstreamHealth, NewFlowsDoNotWaitForAnUpstreamThatAnswersNone)
    {
        for (const auto& [behaviour, name] : { std::pair { Network::Behaviour::IsFull, "full" },
                 std::pair { Network::Behaviour::IsGone, "machine gone" } }) {
            Microseconds total { 0 };
            Microseconds longest { 0 };
            std::size_t count = 0;
            std::size_t overOneCopy = 0;
            for (std::uint64_t seed = 1; seed <= 40; ++seed) {
                for (const Microseconds wait : openingWaitsBeside(behaviour, seed)) {
                    total += wait;
                    longest = std::max(longest, wait);
                    overOneCopy += wait > Milliseconds { 300 } ? 1 : 0;
                    ++count;
                }
            }
            std::cout << "beside an upstream that is " << name << ": mean wait "
                      << total.count() / static_cast<std::int64_t>(count) << " us, longest " << longest.count() / 1000
                      << " ms, " << overOneCopy << " of " << count << " over one copy\n";
            EXPECT_EQ(overOneCopy, 0U) << name;
        }
    }

    /** @return Time from the loss of an upstream to the reset of its flows. */
    Microseconds detectionTime(Network::Behaviour loss, std::uint16_t flows, std::uint64_t seed)
    {
        Fixture fixture { twoUpstreams(), seed };
        Network network { fixture };
        for (std::uint16_t port = 1; port <= flows; ++port)
            network.open(static_cast<std::uint16_t>(port + seed));
        network.runFor(Milliseconds { 1000 } + Milliseconds { static_cast<std::int64_t>(seed * 37 % 400) });
        const TimePoint lostAt = fixture.now;
        network.behaviours = { { first, loss } };
        for (std::uint16_t port = 1000; port < 1200 && !network.resetAt.contains(first); ++port) {
            network.open(port);
            network.runFor(Milliseconds { 25 });
        }
        EXPECT_TRUE(network.resetAt.contains(first)) << seed;
        EXPECT_FALSE(network.resetAt.contains(second)) << seed;
        return network.resetAt[first] - lostAt;
    }

    // Guards against a dead upstream that is found late. A caller retransmits after 200 ms, and the health check that
    // this requests takes 400 ms at most; a check that was made just before the loss must not delay it.
    TEST(UpstreamHealth, DeadUpstreamsAreFoundSoon)
    {
        for (const Network::Behaviour loss : { Network::Behaviour::IsGone, Network::Behaviour::HasExited }) {
            for (const std::uint16_t flows : { 4, 20, 100 }) {
                Microseconds total {};
                Microseconds longest {};
                for (std::uint64_t seed = 1; seed <= 40; ++seed) {
                    const Microseconds time = detectionTime(loss, flows, seed);
                    total += time;
                    longest = std::max(longest, time);
                }
                std::cout << (loss == Network::Behaviour::IsGone ? "machine gone, " : "process exited, ") << flows
                          << " flows: mean " << total.count() / 40000 << " ms, longest " << longest.count() / 1000
                          << " ms\n";
                EXPECT_LE(longest, Milliseconds { 200 + 400 });
            }
        }
    }

} // namespace
} // namespace zinnia::routing::test
