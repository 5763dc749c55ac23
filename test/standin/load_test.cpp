#include "standin/caller.hpp"
#include "standin/request_message.hpp"
#include "zinnia/wire/archive.hpp"
#include "zinnia/wire/coap_codec.hpp"

#include <gtest/gtest.h>

namespace zinnia::standin {
namespace {

    struct LoadTest : testing::Test {
        ManualClock clock;
        LoadAccount account;
        InterruptionClassifier classifier;
        ProbeIds ids { 1 };
        UpstreamDirectory directory;

        CallerContext context() { return { this->account, this->classifier, this->ids }; }
        const FlowTotals& flows() { return this->account.flows().at("logger"); }
        const KindTotals& kind() { return this->account.kinds().at("sluice"); }

        void classifyAll()
        {
            for (const auto& classified : this->classifier.classifyAll(this->directory))
                this->account.classified(classified);
        }
        static Bytes echo(const Outgoing& sent, const std::string& upstream, std::uint64_t generation = 1,
            const std::string& service = "logger")
        {
            const auto probe = wire::decode<Probe>(sent.bytes).value();
            return wire::encode(ProbeAnswer { probe.id, service, upstream, generation });
        }
        /** Runs one flow: `first` answers its first datagram and `second` the next one. */
        void moveFlow(const std::string& first, const std::string& second, std::uint64_t generation = 1)
        {
            const auto caller = makeDatagramCaller(this->context(), { "logger", { 1, 1 } });
            (void)caller->handle(echo(caller->start(this->clock.now()).at(0), first), this->clock.now());
            this->clock.advance(Seconds { 1 });
            const auto next = caller->tick(this->clock.now());
            (void)caller->handle(echo(next.at(0), second, generation), this->clock.now());
        }
        static RequestFlowSpec sluice() { return { "logger", { 1, 1 }, "sluice", "sluice" }; }
        static CoapMessage answerTo(const Outgoing& sent, std::uint8_t code)
        {
            const CoapMessage request = wire::decodeCoap(sent.bytes).value();
            return { CoapType::Acknowledgement, code, request.messageId, request.token, {}, {} };
        }
    };

    // Guards against a changed upstream that is not counted as broken, or that is attributed to the wrong cause.
    TEST_F(LoadTest, ClassifiesWhyAFlowChangedItsUpstream)
    {
        this->directory.update("a-1", { "a", "logger", 1, true });
        this->directory.update("b-1", { "b", "logger", 1, true });
        this->directory.update("c-1", { "c", "logger", 1, true });
        this->moveFlow("a-1", "a-1");
        this->moveFlow("a-1", "b-1");
        this->moveFlow("b-1", "a-1");
        this->moveFlow("c-1", "c-1", 2);
        this->directory.withdrawZone("b");
        this->directory.update("c-1", { "c", "logger", 2, true });
        this->classifyAll();
        EXPECT_EQ(this->flows().opened, 4U);
        EXPECT_EQ(this->flows().broken, 1U);
        EXPECT_EQ(this->flows().givenUpByZone.at("b"), 1U);
        EXPECT_EQ(this->flows().upstreamLost, 1U);
    }

    // Guards against verdicts that are given before an update about the lost upstream can arrive.
    TEST_F(LoadTest, WaitsForUpdatesBeforeAVerdict)
    {
        this->moveFlow("a-1", "b-1");
        EXPECT_TRUE(this->classifier.classify(this->directory, this->clock.now()).empty());
        this->directory.markLost("a-1");
        this->clock.advance(InterruptionClassifier::classificationDelay);
        EXPECT_EQ(
            this->classifier.classify(this->directory, this->clock.now()).at(0).verdict, FlowVerdict::UpstreamLost);
    }

    // Guards against a flow without answers that is never counted, or counted at each tick.
    TEST_F(LoadTest, CountsAFlowWithoutAnswersOnce)
    {
        const auto caller = makeDatagramCaller(this->context(), { "logger", { 1, 1 }, Seconds { 1 }, Seconds { 60 } });
        (void)caller->handle(echo(caller->start(this->clock.now()).at(0), "a-1"), this->clock.now());
        for (int i = 0; i < 90; ++i) {
            this->clock.advance(Milliseconds { 100 });
            (void)caller->tick(this->clock.now());
        }
        this->classifyAll();
        EXPECT_EQ(this->flows().broken, 1U);
        EXPECT_EQ(this->flows().byUpstream.at("a-1"), 0);
        // Guards against a flow that counts as established again after each interruption.
        (void)caller->handle(echo(caller->tick(this->clock.now() + Seconds { 1 }).at(0), "a-1"), this->clock.now());
        EXPECT_EQ(this->flows().byUpstream.at("a-1"), 1);
        EXPECT_EQ(this->flows().established, 1U);
    }

    // Guards against duplicates and answers of another flow or service that are counted as delivered.
    TEST_F(LoadTest, DetectsWrongAndDuplicateAnswers)
    {
        const auto caller = makeDatagramCaller(this->context(), { "logger", { 1, 1 } });
        const auto sent = caller->start(this->clock.now()).at(0);
        (void)caller->handle(echo(sent, "a-1", 1, "archive"), this->clock.now());
        (void)caller->handle(wire::encode(ProbeAnswer { 99, "logger", "a-1", 1 }), this->clock.now());
        (void)caller->handle(echo(sent, "a-1"), this->clock.now());
        (void)caller->handle(echo(sent, "a-1"), this->clock.now());
        EXPECT_EQ(this->flows().wrong, 2U);
        EXPECT_EQ(this->flows().duplicates, 1U);
        EXPECT_EQ(this->flows().answers, 1U);
    }

    // Guards against retransmissions with a new message id or token, or without their age.
    TEST_F(LoadTest, RetransmitsWithAge)
    {
        const auto caller = makeRequestCaller(this->context(), sluice(), 5);
        const auto first = wire::decodeCoap(caller->start(this->clock.now()).at(0).bytes).value();
        EXPECT_EQ(first.uintOption(coap::age), 0U);
        (void)caller->stop(this->clock.now());
        this->clock.advance(Seconds { 3 });
        const auto again = caller->tick(this->clock.now());
        ASSERT_EQ(again.size(), 1U);
        const auto second = wire::decodeCoap(again[0].bytes).value();
        EXPECT_EQ(second.messageId, first.messageId);
        EXPECT_EQ(second.token, first.token);
        EXPECT_EQ(second.uintOption(coap::age), 3000U);
        EXPECT_FALSE(caller->isFinished());
        this->clock.advance(Seconds { 12 });
        (void)caller->tick(this->clock.now());
        EXPECT_EQ(this->kind().unanswered, 1U);
        EXPECT_TRUE(caller->isFinished());
    }

    // Guards against outcomes that are counted as another one: each is the measure of a different guarantee.
    TEST_F(LoadTest, ClassifiesAnswers)
    {
        this->account.addKind("sluice", 4, false);
        const auto outcomeOf = [this](std::uint8_t code, coap::Outcome outcomeValue, RefusalReason reason) {
            const auto caller = makeRequestCaller(this->context(), sluice(), 5);
            CoapMessage answer = answerTo(caller->start(this->clock.now()).at(0), code);
            answer.addUint(coap::outcome, static_cast<std::uint64_t>(outcomeValue));
            answer.addUint(coap::reason, static_cast<std::uint64_t>(reason));
            (void)caller->handle(wire::encodeCoap(answer).value(), this->clock.now());
        };
        outcomeOf(coap::serviceUnavailable, coap::Outcome::NotRun, RefusalReason::QueueFull);
        outcomeOf(coap::serviceUnavailable, coap::Outcome::Unknown, RefusalReason::OutcomeUnknown);

        const auto caller = makeRequestCaller(this->context(), sluice(), 5);
        const auto sent = caller->start(this->clock.now()).at(0);
        CoapMessage answer = answerTo(sent, coap::changed);
        const std::uint64_t id = idOfToken(answer.token);
        answer.payload = wire::encode(ProbeAnswer { id, "logger", "a-1", 1 });
        const Bytes bytes = wire::encodeCoap(answer).value();
        this->clock.advance(Milliseconds { 20 });
        (void)caller->handle(bytes, this->clock.now());
        (void)caller->handle(bytes, this->clock.now());
        answer.token.back() ^= 0x40U;
        (void)caller->handle(wire::encodeCoap(answer).value(), this->clock.now());

        EXPECT_EQ(this->kind().refused.at("queue_full"), 1U);
        EXPECT_EQ(this->account.notRun().size(), 1U);
        EXPECT_EQ(this->kind().unknown, 1U);
        EXPECT_EQ(this->kind().delivered, 1U);
        EXPECT_EQ(this->kind().duplicates, 1U);
        EXPECT_EQ(this->kind().wrong, 1U);
        EXPECT_NEAR(this->kind().quantile(0.5), 20, 3);
        EXPECT_DOUBLE_EQ(this->account.takeSample().deliveredWeight, 4);
        EXPECT_EQ(this->account.takeSample().delivered, 0U);
    }

    // Guards against a stream that gets no notifications any more after its upstream is gone.
    TEST_F(LoadTest, RegistersAStreamAgainWhenNotificationsStop)
    {
        RequestFlowSpec spec { "logger", { 1, 1 }, "level", "level" };
        spec.lifetime = Seconds { 60 };
        const auto caller = makeStreamCaller(this->context(), spec, 5);
        const auto sent = caller->start(this->clock.now()).at(0);
        CoapMessage answer = answerTo(sent, coap::content);
        answer.addUint(coap::observe, 1);
        answer.payload = wire::encode(ProbeAnswer { idOfToken(answer.token), "logger", "a-1", 1 });
        (void)caller->handle(wire::encodeCoap(answer).value(), this->clock.now());
        this->clock.advance(FlowContinuity::answerTimeout);
        const auto again = caller->tick(this->clock.now());
        ASSERT_EQ(again.size(), 1U);
        const CoapMessage request = wire::decodeCoap(again[0].bytes).value();
        EXPECT_EQ(request.uintOption(coap::observe), 0U);
        EXPECT_NE(request.token, answer.token);
        // Guards against a deregistration that is counted as a second run of the registration.
        const auto deregistration = wire::decodeCoap(caller->stop(this->clock.now()).at(0).bytes).value();
        EXPECT_EQ(deregistration.token, request.token);
        EXPECT_NE(
            wire::decode<Probe>(deregistration.payload).value().id, wire::decode<Probe>(request.payload).value().id);
        this->classifyAll();
        EXPECT_EQ(this->flows().broken, 1U);
    }

    // Guards against a request that ran twice, or ran although it was refused as not run, and is not counted.
    TEST_F(LoadTest, ComparesWithTheRunsOfTheUpstreams)
    {
        for (std::uint64_t id = 1; id <= 3; ++id)
            this->account.sent("sluice", id);
        this->account.refused("sluice", "queue_full", 2, true);
        this->account.checkRuns({ { 1, 2 }, { 2, 1 }, { 3, 1 }, { 77, 5 } });
        EXPECT_EQ(this->kind().ranTwice, 1U);
        EXPECT_EQ(this->kind().ranAlthoughRefused, 1U);
    }

    // Guards against an imbalance that leaves out upstreams without flows.
    TEST_F(LoadTest, ImbalanceCountsIdleUpstreams)
    {
        this->account.flowMoved("logger", "", "a-1");
        this->account.flowMoved("logger", "", "a-1");
        this->account.flowMoved("logger", "", "b-1");
        EXPECT_DOUBLE_EQ(this->account.imbalance("logger", 2), 2.0 / 1.5);
        EXPECT_DOUBLE_EQ(this->account.imbalance("logger", 3), 2.0);
    }

} // namespace
} // namespace zinnia::standin
