#include "standin/emulated_upstream.hpp"
#include "standin/request_message.hpp"
#include "zinnia/wire/archive.hpp"
#include "zinnia/wire/coap_codec.hpp"

#include <gtest/gtest.h>

namespace zinnia::standin {
namespace {

    const Endpoint home = *Endpoint::parse("127.0.1.1:9000");

    UpstreamSpec specOf(config::ServiceMode mode)
    {
        UpstreamSpec spec;
        spec.name = "logger-1";
        spec.service = "logger";
        spec.mode = mode;
        spec.warmth.windows = 0;
        spec.kinds = { { "sluice", AnswerStyle::Separate, Microseconds { 40'000 }, 0.0, {} },
            { "level", AnswerStyle::Observe, Microseconds { 1'000 }, 0.0, Microseconds { 1'000'000 } },
            { "export", AnswerStyle::Piggybacked, Microseconds { 100'000 }, 0.0, {} } };
        return spec;
    }

    struct EmulatedUpstreamTest : testing::Test {
        ManualClock clock;
        EmulatedUpstream upstream { specOf(config::ServiceMode::Request), clock.now() };
        std::uint16_t messageId = 0;

        std::vector<CoapMessage> decodeAll(const std::vector<Outgoing>& sent)
        {
            std::vector<CoapMessage> messages;
            for (const auto& datagram : sent)
                messages.push_back(wire::decodeCoap(datagram.bytes).value());
            return messages;
        }
        CoapMessage request(const std::string& path, std::uint64_t id)
        {
            RequestFlowSpec flow;
            flow.service = "logger";
            flow.path = path;
            return makeRequest(flow, id, ++this->messageId);
        }
        std::vector<CoapMessage> send(const CoapMessage& message)
        {
            return this->decodeAll(this->upstream.handle(home, wire::encodeCoap(message).value(), this->clock.now()));
        }
        std::vector<CoapMessage> after(Milliseconds step)
        {
            this->clock.advance(step);
            return this->decodeAll(this->upstream.tick(this->clock.now()));
        }
    };

    // Guards against an upstream that runs a retransmitted request again, which would be counted against the entry.
    TEST_F(EmulatedUpstreamTest, RunsRetransmissionsOnce)
    {
        const CoapMessage message = this->request("export", 7);
        EXPECT_TRUE(this->send(message).empty());
        EXPECT_TRUE(this->send(message).empty());
        const auto answers = this->after(Milliseconds { 100 });
        ASSERT_EQ(answers.size(), 1U);
        EXPECT_EQ(answers[0].type, CoapType::Acknowledgement);
        EXPECT_EQ(answers[0].messageId, message.messageId);
        EXPECT_EQ(wire::decode<ProbeAnswer>(answers[0].payload).value().upstream, "logger-1");
        EXPECT_EQ(this->send(message), answers);
        EXPECT_EQ(this->upstream.counters().runs.at(7), 1U);
        EXPECT_EQ(this->upstream.counters().duplicates, 2U);
    }

    // Guards against a second run of a request, sent again under a new message id, that the run counts do not show.
    TEST_F(EmulatedUpstreamTest, CountsARequestThatRunsTwice)
    {
        (void)this->send(this->request("export", 7));
        (void)this->send(this->request("export", 7));
        EXPECT_EQ(this->upstream.counters().runs.at(7), 2U);
    }

    // Guards against separate answers that one lost datagram loses for good, or that are retransmitted after an
    // acknowledgement.
    TEST_F(EmulatedUpstreamTest, RetransmitsSeparateAnswersUntilAcknowledged)
    {
        const auto first = this->send(this->request("sluice", 1));
        ASSERT_EQ(first.size(), 1U);
        EXPECT_EQ(first[0].code, coap::empty);
        const auto answer = this->after(Milliseconds { 40 });
        ASSERT_EQ(answer.size(), 1U);
        EXPECT_EQ(answer[0].type, CoapType::Confirmable);
        EXPECT_EQ(this->after(Milliseconds { 3000 }), answer);
        (void)this->send({ CoapType::Acknowledgement, coap::empty, answer[0].messageId, {}, {}, {} });
        EXPECT_TRUE(this->after(Milliseconds { 60000 }).empty());
    }

    // Guards against more concurrent requests than slots, and against requests that run although they were refused.
    TEST_F(EmulatedUpstreamTest, RefusesAsNotRunWhenAllSlotsAreInUse)
    {
        (void)this->send(this->request("export", 1));
        (void)this->send(this->request("export", 2));
        const auto refusal = this->send(this->request("export", 3));
        ASSERT_EQ(refusal.size(), 1U);
        EXPECT_EQ(refusal[0].code, coap::serviceUnavailable);
        EXPECT_EQ(refusal[0].uintOption(coap::outcome), 1U);
        EXPECT_FALSE(this->upstream.counters().runs.contains(3));
        EXPECT_EQ(this->upstream.counters().maxInFlight, 3U);
        EXPECT_EQ(this->upstream.report(this->clock.now()).load, 100U);
    }

    // Guards against work that goes on after its deadline or its cancellation.
    TEST_F(EmulatedUpstreamTest, StopsAtTheDeadlineAndWhenCancelled)
    {
        RequestFlowSpec flow;
        flow.service = "logger";
        flow.path = "export";
        flow.deadline = Milliseconds { 50 };
        (void)this->send(makeRequest(flow, 1, 1000));
        const auto late = this->after(Milliseconds { 50 });
        ASSERT_EQ(late.size(), 1U);
        EXPECT_EQ(late[0].uintOption(coap::outcome), 2U);
        const CoapMessage message = this->request("export", 2);
        (void)this->send(message);
        (void)this->send({ CoapType::Reset, coap::empty, message.messageId, {}, {}, {} });
        EXPECT_EQ(this->upstream.inFlight(), 0U);
        EXPECT_EQ(this->upstream.counters().cancelled, 1U);
    }

    // Guards against streams that stop, or that go on after they were deregistered.
    TEST_F(EmulatedUpstreamTest, NotifiesUntilDeregistered)
    {
        CoapMessage message = this->request("level", 5);
        message.code = coap::get;
        message.addUint(coap::observe, 0);
        (void)this->send(message);
        EXPECT_EQ(this->after(Milliseconds { 1 }).size(), 1U);
        const auto second = this->after(Milliseconds { 1000 });
        ASSERT_EQ(second.size(), 1U);
        EXPECT_EQ(second[0].uintOption(coap::observe), 2U);
        EXPECT_EQ(second[0].token, message.token);
        CoapMessage leave = this->request("level", 5);
        leave.token = message.token;
        leave.addUint(coap::observe, 1);
        EXPECT_EQ(this->send(leave).size(), 1U);
        EXPECT_EQ(this->upstream.observers(), 0U);
    }

    // Guards against a cold upstream that accepts any load, and against a health report that reveals the fault.
    TEST_F(EmulatedUpstreamTest, ColdUpstreamFailsWhenOverloaded)
    {
        UpstreamSpec spec = specOf(config::ServiceMode::Request);
        spec.report = ReportStyle::False;
        spec.slots = 8;
        spec.warmth = { 5, 1, 16, 2, Microseconds { 3'000'000 } };
        this->upstream = EmulatedUpstream { spec, this->clock.now() };
        for (std::uint64_t id = 1; id <= 3; ++id)
            (void)this->send(this->request("export", id));
        EXPECT_EQ(this->upstream.warmthState().overloads(), 2U);
        EXPECT_EQ(this->upstream.warmthState().state(this->clock.now()), Warmth::State::Failed);
        EXPECT_TRUE(this->after(Milliseconds { 2900 }).empty());
        EXPECT_TRUE(this->upstream.report(this->clock.now()).healthy);
        EXPECT_EQ(this->upstream.report(this->clock.now()).load, 0U);
        this->clock.advance(Milliseconds { 100 });
        EXPECT_EQ(this->upstream.warmthState().state(this->clock.now()), Warmth::State::Cold);
        this->clock.advance(Milliseconds { 5000 });
        EXPECT_EQ(this->upstream.warmthState().state(this->clock.now()), Warmth::State::Warm);
    }

    // Guards against lagging reports that show current values.
    TEST_F(EmulatedUpstreamTest, LaggingReportShowsOldValues)
    {
        UpstreamSpec spec = specOf(config::ServiceMode::Request);
        spec.report = ReportStyle::Lagging;
        this->upstream = EmulatedUpstream { spec, this->clock.now() };
        const auto health = [this] {
            CoapMessage message = this->request("health", 0);
            message.code = coap::get;
            const Bytes payload = this->send(message).at(0).payload;
            return std::string(payload.begin(), payload.end());
        };
        EXPECT_EQ(health(), "well load=0");
        this->clock.advance(Seconds { 1 });
        (void)this->send(this->request("export", 1));
        EXPECT_EQ(health(), "well load=0");
        this->clock.advance(Seconds { 10 });
        EXPECT_EQ(health(), "well load=50");
    }

    // Guards against misdelivered packets that are not counted after an address has changed its service.
    TEST(EmulatedUpstream, CountsPacketsOfAnotherServiceAfterAMove)
    {
        ManualClock clock;
        EmulatedUpstream upstream { specOf(config::ServiceMode::Datagram), clock.now() };
        const Bytes datagram = wire::encode(Probe { 1, "logger" });
        EXPECT_EQ(upstream.handle(home, datagram, clock.now()).size(), 1U);
        upstream.moveTo("archive", config::ServiceMode::Datagram, clock.now());
        const auto answer = upstream.handle(home, datagram, clock.now());
        EXPECT_EQ(upstream.counters().misdelivered, 1U);
        EXPECT_EQ(upstream.counters().packetsByService.at("archive"), 1U);
        const auto content = wire::decode<ProbeAnswer>(answer.at(0).bytes).value();
        EXPECT_EQ(content.service, "archive");
        EXPECT_EQ(content.generation, 2U);
    }

    // Guards against an end of a drain that entries refuse as stale, or that looks like a loss of all flows.
    TEST(EmulatedUpstream, UndrainKeepsTheIncarnationAndFlows)
    {
        ManualClock clock;
        EmulatedUpstream upstream { specOf(config::ServiceMode::Datagram), clock.now() };
        upstream.setDraining(true, clock.now());
        EXPECT_EQ(upstream.spec().incarnation, Incarnation { 1 });
        upstream.setDraining(false, clock.now());
        EXPECT_EQ(upstream.spec().incarnation, Incarnation { 1 });
        EXPECT_EQ(upstream.generation(), 1U);
        upstream.restart(clock.now());
        EXPECT_EQ(upstream.generation(), 2U);
    }

    // Guards against new work on a draining upstream that is not counted, and against unbounded connections.
    TEST(EmulatedUpstream, CountsNewFlowsWhileDraining)
    {
        ManualClock clock;
        UpstreamSpec spec = specOf(config::ServiceMode::Datagram);
        spec.connections = 2;
        EmulatedUpstream upstream { spec, clock.now() };
        const Bytes datagram = wire::encode(Probe { 1, "logger" });
        (void)upstream.handle({ 1, 1 }, datagram, clock.now());
        upstream.setDraining(true, clock.now());
        (void)upstream.handle({ 1, 1 }, datagram, clock.now());
        EXPECT_EQ(upstream.counters().newWorkWhileDraining, 0U);
        (void)upstream.handle({ 1, 2 }, datagram, clock.now());
        EXPECT_EQ(upstream.counters().newWorkWhileDraining, 1U);
        EXPECT_TRUE(upstream.handle({ 1, 3 }, datagram, clock.now()).empty());
        EXPECT_EQ(upstream.counters().connectionsRefused, 1U);
    }

} // namespace
} // namespace zinnia::standin
