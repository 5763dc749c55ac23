#include "zinnia/config/sample.hpp"
#include "zinnia/runtime/fake_control_backend.hpp"
#include "zinnia/runtime/json_archive.hpp"
#include "zinnia/runtime/operator_interface.hpp"

#include <gtest/gtest.h>

namespace zinnia::runtime {
namespace {

    const std::string token(32, 't');

    class OperatorInterfaceTest : public testing::Test {
    protected:
        HttpResponse ask(HttpMethod method, const std::string& path, const std::string& body = "",
            const std::string& authorization = "Bearer " + token)
        {
            for (const HttpRoute& route : this->interface.routes()) {
                if (route.method == method && route.path == path)
                    return route.handler({ method, path, authorization, body });
            }
            return {};
        }

        HttpResponse post(const config::CommandRequest& request)
        {
            return this->ask(HttpMethod::Post, "/v1/commands", toJson(request).dump());
        }

        FakeBackend backend;
        MetricsRegistry metrics;
        OperatorInterface interface {
            { *OperatorToken::create(token), Milliseconds { 20 } }, this->backend, this->metrics
        };
    };

    config::CommandRequest request(std::uint64_t id, std::uint64_t base, config::Command command)
    {
        return { "ada", config::CommandId { id }, ConfigVersion { base }, std::move(command) };
    }

    // Guards against a command that changes on its way through JSON, and against a wrong answer for each result.
    TEST_F(OperatorInterfaceTest, AnswersEachResult)
    {
        EXPECT_EQ(nlohmann::json::parse(this->post(request(1, 0, config::sampleInventory())).body),
            nlohmann::json::parse(R"({"result":"accepted","version":1,"changed":true})"));
        EXPECT_EQ(this->backend.machine.configuration(), config::sampleConfiguration());

        const HttpResponse conflict = this->post(request(2, 0, config::WithdrawZone { "zone-a" }));
        EXPECT_EQ(conflict.status, http_status::conflict);
        EXPECT_EQ(nlohmann::json::parse(conflict.body), nlohmann::json::parse(R"({"error":"conflict",
            "winner":{"operator":"ada","command_id":1,"version":1},"current_version":1})"));

        const HttpResponse rejected = this->post(request(3, 1, config::WithdrawZone { "x" }));
        EXPECT_EQ(rejected.status, http_status::badRequest);
        EXPECT_EQ(nlohmann::json::parse(rejected.body), nlohmann::json::parse(R"({"error":"rejected","failures":
            [{"fault":"unknown_zone","field":"zone","value":"x","allowed":"the name of a zone"}]})"));

        EXPECT_EQ(this->post(request(3, 1, config::WithdrawZone { "y" })).status, http_status::conflict);

        this->backend.prepared = OutcomeUnknown {};
        const HttpResponse unknown = this->post(request(4, 1, config::WithdrawZone { "zone-a" }));
        EXPECT_EQ(unknown.status, http_status::serviceUnavailable);
        EXPECT_EQ(nlohmann::json::parse(unknown.body)["error"], "outcome_unknown");

        this->backend.prepared = NotLeader { config::sampleAddress(9, 80) };
        const HttpResponse redirect = this->post(request(5, 1, config::WithdrawZone { "zone-a" }));
        EXPECT_EQ(redirect.status, http_status::temporaryRedirect);
        EXPECT_EQ(redirect.location, "http://127.0.0.9:80/v1/commands");

        this->backend.prepared = NotLeader {};
        EXPECT_EQ(nlohmann::json::parse(this->post(request(6, 1, config::WithdrawZone { "zone-a" })).body)["error"],
            "no_leader");

        this->backend.silent = true;
        EXPECT_EQ(nlohmann::json::parse(this->post(request(7, 1, config::WithdrawZone { "zone-a" })).body)["error"],
            "outcome_unknown");
    }

    // Guards against a body with several errors of which the operator sees only the first.
    TEST_F(OperatorInterfaceTest, ListsEveryErrorOfABody)
    {
        const HttpResponse answer = this->ask(HttpMethod::Post, "/v1/commands",
            R"({"operator":1,"command_id":-1,"extra":0,"command":{"type":"drain_upstream","service":"a","nam":"b"}})");
        EXPECT_EQ(answer.status, http_status::badRequest);
        std::string fields;
        const auto json = nlohmann::json::parse(answer.body);
        for (const auto& failure : json["failures"])
            fields += failure["fault"].get<std::string>() + " " + failure["field"].get<std::string>() + "\n";
        EXPECT_EQ(fields,
            "unknown_key extra\nwrong_type operator\nnot_allowed command_id\nmissing base_version\n"
            "unknown_key command.nam\nmissing command.name\n");
        EXPECT_EQ(this->ask(HttpMethod::Post, "/v1/commands", "{").status, http_status::badRequest);
        EXPECT_EQ(this->ask(HttpMethod::Post, "/v1/commands", "[]").status, http_status::badRequest);
        EXPECT_EQ(this->ask(HttpMethod::Post, "/v1/commands", R"({"command":{"type":"x"}})").status, 400);
    }

    // Guards against access without the operator token.
    TEST_F(OperatorInterfaceTest, NeedsTheToken)
    {
        for (const std::string& wrong :
            { std::string {}, token, "Bearer " + token + "t", "Bearer " + token.substr(1), "Basic " + token }) {
            EXPECT_EQ(this->ask(HttpMethod::Get, "/v1/status", "", wrong).status, http_status::unauthorized);
            EXPECT_EQ(this->ask(HttpMethod::Post, "/v1/commands", "{}", wrong).status, http_status::unauthorized);
        }
        EXPECT_EQ(this->ask(HttpMethod::Get, "/health", "", "").status, http_status::ok);
        EXPECT_EQ(this->ask(HttpMethod::Get, "/metrics", "", "").status, http_status::ok);
        EXPECT_FALSE(OperatorToken::create(token.substr(1)));
    }

    // Guards against a follower that hands out an old configuration, and against a status that cannot be read back.
    TEST_F(OperatorInterfaceTest, ReturnsConfigurationAndStatus)
    {
        (void)this->post(request(1, 0, config::sampleInventory()));
        const auto read = parseJson<config::Configuration>(this->ask(HttpMethod::Get, "/v1/config").body, "answer");
        ASSERT_TRUE(read) << read.error().front().toString();
        EXPECT_EQ(read.value(), config::sampleConfiguration());
        this->backend.current
            = { InstanceId { 22 }, ReplicaRole::Follower, config::sampleAddress(21, 80), ConfigVersion { 4 },
                  { { InstanceId { 11 }, ZoneId { 1 }, ConfigVersion { 3 }, true, Milliseconds { 250 } },
                      { InstanceId { 12 }, ZoneId { 2 }, {}, false, {} } } };
        EXPECT_EQ(this->ask(HttpMethod::Get, "/v1/config").location, "http://127.0.0.21:80/v1/config");
        const auto status = parseJson<ClusterStatus>(this->ask(HttpMethod::Get, "/v1/status").body, "answer");
        ASSERT_TRUE(status);
        EXPECT_EQ(status.value(), this->backend.current);
    }

} // namespace
} // namespace zinnia::runtime
