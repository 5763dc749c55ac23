#include "zinnia/request/home.hpp"
#include "zinnia/wire/archive.hpp"

#include <gtest/gtest.h>

namespace zinnia::request {
namespace {

    constexpr UpstreamId upstreamId { 9 };
    constexpr Endpoint address { 2, 5683 };
    constexpr InstanceId owner { 4 };

    template <class T> std::vector<T> collect(const HomeActions& actions)
    {
        std::vector<T> found;
        for (const auto& action : actions) {
            if (const auto* match = std::get_if<T>(&action))
                found.push_back(*match);
        }
        return found;
    }

    class HomeTest : public testing::Test {
    protected:
        HomeTest() { this->startHome(false); }

        void startHome(bool inherited)
        {
            this->home = RequestHome { this->settings, { InstanceId { 1 }, Epoch { 3 } }, 5 };
            upstream::UpstreamInfo info;
            info.id = upstreamId;
            info.address = address;
            info.state = upstream::UpstreamState::Ready;
            (void)this->handle(LeaseExtended { this->now + Seconds { 100 } });
            (void)this->handle(UpstreamsUpdated { { info }, {} });
            (void)this->handle(HomeAssignmentsReplaced { { { upstreamId, inherited } } });
        }

        HomeActions handle(const HomeEvent& event) { return this->home.handle(event, this->now); }

        HomeActions dispatch(std::uint64_t number, std::uint8_t priority = 1, Epoch epoch = Epoch { 3 })
        {
            DispatchRequest request;
            request.id = { owner, Epoch { 1 }, number };
            request.attempt = 1;
            request.upstream = upstreamId;
            request.homeEpoch = epoch;
            request.priority = priority;
            request.deadlineRemaining = Seconds { 5 };
            request.message.code = coap::post;
            return this->handle(DispatchReceived { owner, request });
        }

        HomeActions answer(const CoapMessage& request, std::uint8_t code, const Endpoint& from = address)
        {
            CoapMessage message;
            message.type = CoapType::Acknowledgement;
            message.code = code;
            message.messageId = request.messageId;
            message.token = request.token;
            return this->handle(UpstreamMessage { from, message });
        }

        HomeSettings settings;
        RequestHome home { HomeSettings {}, { InstanceId { 1 }, Epoch { 3 } }, 5 };
        TimePoint now { Seconds { 1000 } };
    };

    // Guards against a full queue that refuses a request and keeps one of lower priority.
    TEST_F(HomeTest, FullQueueRefusesTheLowestPriority)
    {
        EXPECT_EQ(collect<SendToUpstream>(this->dispatch(0)).size(), 1U) << "one slot after a cold start";
        for (std::uint64_t number = 1; number <= 64; ++number)
            EXPECT_EQ(collect<SendToUpstream>(this->dispatch(number)).size(), 0U);
        const auto refused = collect<SendResult>(this->dispatch(65, 0));
        ASSERT_EQ(refused.size(), 2U);
        EXPECT_EQ(refused[0].result.id.number, 64U);
        EXPECT_EQ(refused[0].result.reason, RefusalReason::QueueFull);
        EXPECT_EQ(refused[1].result.kind, ResultKind::Accepted);
    }

    // Guards against a response that is matched to another request, and against a slot that is never released.
    TEST_F(HomeTest, AnswersAreMatchedByTokenAndAddress)
    {
        const auto sent = collect<SendToUpstream>(this->dispatch(1)).front().message;
        EXPECT_TRUE(collect<SendResult>(this->answer(sent, coap::content, { 3, 5683 })).empty());
        CoapMessage crossed = sent;
        crossed.token.back() ^= 1U;
        EXPECT_TRUE(collect<SendResult>(this->answer(crossed, coap::content)).empty());
        EXPECT_EQ(collect<SendResult>(this->answer(sent, coap::content)).front().result.kind, ResultKind::Answered);
        EXPECT_TRUE(collect<SendResult>(this->answer(sent, coap::content)).empty()) << "duplicate";
        EXPECT_EQ(this->home.inFlight(upstreamId), 0U);
    }

    // Guards against a restarted process that runs a request again that the earlier process may have run.
    TEST_F(HomeTest, RestartedHomeDoesNotRunARepeat)
    {
        const auto actions = this->dispatch(1, 1, Epoch { 2 });
        EXPECT_TRUE(collect<SendToUpstream>(actions).empty());
        EXPECT_EQ(collect<SendResult>(actions).front().result.kind, ResultKind::Unknown);
    }

    // Guards against a cancelled request that runs because it arrived after its cancellation.
    TEST_F(HomeTest, CancellationMayOvertakeItsRequest)
    {
        (void)this->handle(CancelReceived { owner, { { owner, Epoch { 1 }, 7 }, 1, upstreamId } });
        const auto actions = this->dispatch(7);
        EXPECT_TRUE(collect<SendToUpstream>(actions).empty());
        EXPECT_EQ(collect<SendResult>(actions).front().result.reason, RefusalReason::Cancelled);
    }

    // Guards against requests to an upstream during its Max-Age back-off, and against a missing report of a cold
    // upstream.
    TEST_F(HomeTest, WaitsForMaxAgeAfterARefusalAndReportsATurnToCold)
    {
        for (std::uint64_t number = 1; number <= 3; ++number) {
            const auto sent = collect<SendToUpstream>(this->dispatch(number));
            ASSERT_EQ(sent.size(), 1U);
            const auto refused = this->answer(sent.front().message, coap::tooManyRequests);
            EXPECT_EQ(collect<SendResult>(refused).front().result.kind, ResultKind::NotRun);
            EXPECT_EQ(collect<ReportHealthSignal>(refused).size(), number == 3 ? 2U : 1U);
            (void)this->handle(HomeTick {});
            this->now += Milliseconds { 1000 };
        }
        (void)this->answer(collect<SendToUpstream>(this->dispatch(4)).front().message, coap::tooManyRequests);
        EXPECT_TRUE(collect<SendToUpstream>(this->dispatch(5)).empty());
        this->now += Milliseconds { 1000 };
        EXPECT_EQ(collect<SendToUpstream>(this->handle(HomeTick {})).size(), 1U);
    }

    // Guards against a new home that overloads an upstream that still runs requests of the previous home.
    TEST_F(HomeTest, NewHomeWaitsForTheMaximumDeadline)
    {
        this->startHome(true);
        EXPECT_TRUE(collect<SendToUpstream>(this->dispatch(1)).empty());
        this->now += Seconds { 11 };
        const auto late = collect<SendResult>(this->handle(HomeTick {}));
        EXPECT_EQ(late.front().result.reason, RefusalReason::DeadlineExceeded);
        EXPECT_EQ(collect<SendToUpstream>(this->dispatch(2)).size(), 1U);
    }

    // Guards against a member that is missing in the `describe` function of a message.
    TEST(RequestMessages, SurviveEncoding)
    {
        DispatchRequest request;
        request.id = { owner, Epoch { 1 }, 7 };
        request.observe = true;
        request.message.addUint(coap::deadline, 300);
        const Bytes bytes = wire::encode(request);
        const auto decoded = wire::decode<DispatchRequest>(bytes);
        ASSERT_TRUE(decoded.has_value());
        EXPECT_EQ(wire::encode(decoded.value()), bytes);
        EXPECT_EQ(decoded.value().message, request.message);
    }

} // namespace
} // namespace zinnia::request
