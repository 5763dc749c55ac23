#include "zinnia/runtime/fake_control_backend.hpp"
#include "zinnia/runtime/http_client.hpp"
#include "zinnia/runtime/http_server.hpp"
#include "zinnia/runtime/operator_client.hpp"
#include "zinnia/runtime/operator_interface.hpp"

#include <Poco/Net/ServerSocket.h>
#include <gtest/gtest.h>
#include <stdexcept>

namespace zinnia::runtime {
namespace {

    // Guards against a client that waits forever for a paused control instance, whose kernel still accepts connections.
    TEST(HttpClient, GivesUpOnAServerThatDoesNotAnswer)
    {
        const Poco::Net::ServerSocket unresponsive { Poco::Net::SocketAddress { "127.0.0.1:0" } };
        const Endpoint address = *Endpoint::parse(unresponsive.address().toString());
        HttpClientSettings settings;
        settings.answerTimeout = settings.readTimeout = Milliseconds { 100 };
        for (const HttpMethod method : { HttpMethod::Get, HttpMethod::Post }) {
            const auto answer = sendHttp(address, { method, "/", "", "" }, settings);
            ASSERT_FALSE(answer);
            EXPECT_EQ(answer.error(), HttpClientError::AnswerLost);
        }
    }

    // Guards against unrouted requests, unbounded bodies and a failing handler that takes the server down.
    TEST(HttpServer, RoutesAndRefuses)
    {
        HttpServerSettings settings;
        settings.address = *Endpoint::parse("127.0.0.1:0");
        settings.bodyBytes = 10000;
        auto server = HttpServer::create(settings,
            { { HttpMethod::Post, "/echo", [](const HttpRequest& r) { return HttpResponse::text(200, r.body); } },
                { HttpMethod::Get, "/fail",
                    [](const HttpRequest&) -> HttpResponse { throw std::runtime_error { "x" }; } } });
        ASSERT_TRUE(server);
        const Endpoint address = server.value()->address();
        const auto ask = [&](HttpMethod method, const std::string& path, const std::string& body) {
            return sendHttp(address, { method, path, "", body }, {}).value();
        };
        const std::string large(10000, 'x');
        EXPECT_EQ(ask(HttpMethod::Post, "/echo?a=b", large).body, large);
        EXPECT_EQ(ask(HttpMethod::Post, "/echo", large + "x").status, http_status::contentTooLarge);
        EXPECT_EQ(ask(HttpMethod::Get, "/echo", "").status, http_status::methodNotAllowed);
        EXPECT_EQ(ask(HttpMethod::Get, "/other", "").status, http_status::notFound);
        EXPECT_EQ(ask(HttpMethod::Get, "/fail", "").status, http_status::internalError);
        EXPECT_EQ(ask(HttpMethod::Post, "/echo", "still here").body, "still here");

        settings.address = address;
        const auto second = HttpServer::create(settings, {});
        ASSERT_FALSE(second);
        EXPECT_EQ(second.error(), HttpServerError::AddressNotAvailable);
    }

    // Guards against a command that runs twice, or not at all, when the leader's answer is lost.
    TEST(HttpServer, ResentCommandRunsOnceThroughTheWholeInterface)
    {
        FakeBackend leader;
        FakeBackend follower;
        MetricsRegistry metrics;
        const std::string token(32, 't');
        OperatorInterface leaderInterface { { *OperatorToken::create(token) }, leader, metrics };
        OperatorInterface followerInterface { { *OperatorToken::create(token) }, follower, metrics };
        HttpServerSettings settings;
        settings.address = *Endpoint::parse("127.0.0.1:0");
        auto leaderServer = HttpServer::create(settings, leaderInterface.routes());
        auto followerServer = HttpServer::create(settings, followerInterface.routes());
        ASSERT_TRUE(leaderServer && followerServer);
        const Endpoint leaderAddress = leaderServer.value()->address();
        follower.prepared = NotLeader { leaderAddress };
        follower.current.role = ReplicaRole::Follower;
        follower.current.leader = leaderAddress;

        OperatorTransport transport = httpTransport();
        unsigned fromLeader = 0;
        transport.send
            = [&](const Endpoint& server, const HttpRequest& request) -> Result<HttpResponse, HttpClientError> {
            auto answer = sendHttp(server, request, {});
            if (server == leaderAddress && ++fromLeader == 1)
                return HttpClientError::AnswerLost;
            return answer;
        };
        OperatorClient client { { { followerServer.value()->address(), leaderAddress }, token, 2, Milliseconds { 1 } },
            transport };
        const auto result = client.submit({ "ada", config::CommandId { 1 }, {}, config::sampleInventory() });
        ASSERT_TRUE(std::holds_alternative<CommandDone>(result));
        EXPECT_EQ(std::get<CommandDone>(result).version, ConfigVersion { 1 });
        EXPECT_EQ(fromLeader, 2U);
        EXPECT_EQ(leader.machine.snapshot().records.size(), 1U);
        EXPECT_EQ(std::get<config::Configuration>(client.configuration()), config::sampleConfiguration());
        EXPECT_EQ(sendHttp({ 0x7F000001U, 1 }, {}, {}).error(), HttpClientError::Unreachable);
    }

} // namespace
} // namespace zinnia::runtime
