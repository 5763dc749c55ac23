#include "zinnia/runtime/json_archive.hpp"
#include "zinnia/runtime/operator_client.hpp"
#include "zinnia/runtime/version_wait.hpp"

#include <deque>
#include <gtest/gtest.h>

namespace zinnia::runtime {
namespace {

    const Endpoint first = *Endpoint::parse("127.0.0.1:1");
    const Endpoint second = *Endpoint::parse("127.0.0.2:1");

    using Answer = Result<HttpResponse, HttpClientError>;

    /** @brief Returns prepared answers and records what was sent. */
    struct FakeTransport {
        std::deque<Answer> answers;
        std::vector<std::pair<Endpoint, HttpRequest>> sent;
        unsigned pauses = 0;
        ManualClock clock;

        OperatorTransport transport()
        {
            return { [this](const Endpoint& server, const HttpRequest& request) -> Answer {
                        this->sent.emplace_back(server, request);
                        if (this->answers.empty())
                            return HttpClientError::Unreachable;
                        Answer answer = this->answers.front();
                        this->answers.pop_front();
                        return answer;
                    },
                [this](Milliseconds pause) {
                    ++this->pauses;
                    this->clock.advance(pause);
                },
                [this] { return this->clock.now(); } };
        }
    };

    HttpResponse json(int status, const std::string& body, const std::string& location = "")
    {
        return { status, "application/json", body, location };
    }

    const HttpResponse accepted = json(200, R"({"result":"accepted","version":7,"changed":true})");
    const HttpResponse unknown = json(503, R"({"error":"outcome_unknown"})");
    const HttpResponse noLeader = json(503, R"({"error":"no_leader"})");

    CommandResult submit(FakeTransport& fake)
    {
        OperatorClient client { { { first, second }, "secret", 2, Milliseconds { 1 } }, fake.transport() };
        return client.submit({ "ada", config::CommandId { 5 }, ConfigVersion { 6 }, config::WithdrawZone { "a" } });
    }

    // Guards against a resend with another command id, which would run the command twice.
    TEST(OperatorClient, ResendsTheSameCommandAfterALostAnswer)
    {
        for (const Answer& lost : { Answer { HttpClientError::AnswerLost }, Answer { unknown } }) {
            FakeTransport fake;
            fake.answers = { lost, accepted };
            const CommandResult result = submit(fake);
            ASSERT_TRUE(std::holds_alternative<CommandDone>(result));
            EXPECT_EQ(std::get<CommandDone>(result).version, ConfigVersion { 7 });
            ASSERT_EQ(fake.sent.size(), 2U);
            EXPECT_EQ(fake.sent[0].second.body, fake.sent[1].second.body);
            EXPECT_EQ(fake.sent[1].first, second);
            EXPECT_EQ(fake.sent[1].second.authorization, "Bearer secret");
        }
    }

    // Guards against reporting a command as not run that may have run.
    TEST(OperatorClient, DistinguishesUnknownFromUnreachable)
    {
        FakeTransport unreachable;
        EXPECT_TRUE(std::holds_alternative<CommandUnreachable>(submit(unreachable)));
        EXPECT_EQ(unreachable.sent.size(), 4U);
        EXPECT_EQ(unreachable.pauses, 1U);
        FakeTransport electing;
        electing.answers = { noLeader, noLeader, noLeader, noLeader };
        EXPECT_TRUE(std::holds_alternative<CommandUnreachable>(submit(electing)));
        FakeTransport lost;
        lost.answers = { unknown, noLeader };
        EXPECT_TRUE(std::holds_alternative<CommandUnknown>(submit(lost)));
        FakeTransport disconnected;
        disconnected.answers = { HttpClientError::AnswerLost, noLeader };
        EXPECT_TRUE(std::holds_alternative<CommandUnknown>(submit(disconnected)));
    }

    // Guards against ignoring a redirect, and against giving the token to an address outside the settings.
    TEST(OperatorClient, FollowsRedirectsToKnownControlsOnly)
    {
        FakeTransport fake;
        fake.answers = { json(307, "{}", "http://127.0.0.2:1/v1/commands"), accepted };
        EXPECT_TRUE(std::holds_alternative<CommandDone>(submit(fake)));
        EXPECT_EQ(fake.sent.back().first, second);
        FakeTransport foreign;
        foreign.answers = { json(307, "{}", "http://127.9.9.9:1/v1/commands"), accepted };
        EXPECT_TRUE(std::holds_alternative<CommandDone>(submit(foreign)));
        EXPECT_EQ(foreign.sent.back().first, second);
    }

    // Guards against hiding the winner of a conflict or the reasons of a rejection.
    TEST(OperatorClient, ReportsConflictAndRejection)
    {
        FakeTransport fake;
        fake.answers = { json(409, R"({"error":"conflict","winner":{"operator":"bela","command_id":3,"version":7}})"),
            json(400, R"({"failures":[{"fault":"unknown_zone","field":"zone","value":"a","allowed":"x"}]})"),
            json(401, "{}"), json(200, "garbage") };
        EXPECT_EQ(std::get<CommandConflicted>(submit(fake)).text, "operator bela with command 3 has made version 7");
        EXPECT_EQ(std::get<CommandRefused>(submit(fake)).text, "zone: unknown_zone: 'a'; allowed: x\n");
        EXPECT_TRUE(std::holds_alternative<CommandRefused>(submit(fake)));
        EXPECT_TRUE(std::holds_alternative<CommandRefused>(submit(fake)));
    }

    // Guards against a view of one partitioned control instance hiding the status that the others report.
    TEST(OperatorClient, MergesTheViewsOfAllControls)
    {
        const ClusterStatus one { InstanceId { 1 }, ReplicaRole::Leader, {}, ConfigVersion { 3 },
            { { InstanceId { 11 }, ZoneId { 1 }, ConfigVersion { 3 }, true, Milliseconds { 100 } },
                { InstanceId { 12 }, ZoneId { 2 }, ConfigVersion { 2 }, false, Milliseconds { 9000 } } } };
        const ClusterStatus two { InstanceId { 2 }, ReplicaRole::Follower, {}, ConfigVersion { 3 },
            { { InstanceId { 11 }, ZoneId { 1 }, {}, false, {} },
                { InstanceId { 12 }, ZoneId { 2 }, ConfigVersion { 3 }, true, Milliseconds { 50 } } } };
        const auto merged = mergedInstances({ one, two });
        ASSERT_EQ(merged.size(), 2U);
        EXPECT_EQ(merged[0], one.instances[0]);
        EXPECT_EQ(merged[1], two.instances[1]);
    }

    // Guards against a wait that ends too early, counts unreachable instances, or never ends.
    TEST(VersionWait, WaitsForEveryReachableInstance)
    {
        const auto status = [](std::uint64_t slow, bool reachable) {
            return json(200,
                toJson(ClusterStatus { InstanceId { 1 }, ReplicaRole::Leader, {}, ConfigVersion { 3 },
                           { { InstanceId { 11 }, ZoneId { 1 }, ConfigVersion { 3 }, true, {} },
                               { InstanceId { 12 }, ZoneId { 2 }, ConfigVersion { slow }, reachable, {} } } })
                    .dump());
        };
        const auto wait = [](FakeTransport& fake) {
            OperatorClient client { { { first }, "secret", 1, Milliseconds { 1 } }, fake.transport() };
            return waitForVersion(client, ConfigVersion { 3 }, Milliseconds { 1000 });
        };
        FakeTransport fake;
        fake.answers = { status(2, true), status(2, true), status(3, true) };
        const WaitResult done = wait(fake);
        EXPECT_EQ(done.end, WaitEnd::Active);
        EXPECT_EQ(done.slowest, InstanceId { 12 });
        EXPECT_EQ(done.waited, 2 * pollInterval);
        fake.answers = { status(2, false) };
        EXPECT_EQ(wait(fake).end, WaitEnd::Active);
        fake.answers.assign(100, status(2, true));
        EXPECT_EQ(wait(fake).end, WaitEnd::TimeLimit);
        fake.answers.clear();
        EXPECT_EQ(wait(fake).end, WaitEnd::Unreachable);
    }

} // namespace
} // namespace zinnia::runtime
