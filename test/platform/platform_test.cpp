#include "platform/call_codec.hpp"
#include "platform/calls.hpp"
#include "platform/packet_codec.hpp"
#include "zinnia/core/input_limits.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace zinnia::platform {
namespace {

    using runtime::CallStatus;
    using runtime::HttpMethod;
    using runtime::HttpRequest;
    using runtime::HttpResponse;

    Bytes bytesOf(std::initializer_list<int> values)
    {
        Bytes bytes;
        for (const int value : values)
            bytes.push_back(static_cast<std::uint8_t>(value));
        return bytes;
    }

    /** @brief The opening packet that the platform's specification gives as an example. */
    Bytes sampleOpening()
    {
        return bytesOf({ 0x00, 0x00, 0xa1, 0xb2, 0xc3, 0xd5, 0x11, 0x22, 0x33, 0x44, 0x00, 0x00, 0x00, 0x00, 0xc6, 0x12,
            0x00, 0x01, 0x01, 0xbb, 0x64, 0x40, 0x00, 0x07, 0x9c, 0x41, 0x00, 0x00, 0x00, 0x00, 0x10, 0x00 });
    }

    // Guards against fields that are read from the wrong offset.
    TEST(PacketCodec, ParsesTheSpecifiedOpeningPacket)
    {
        const auto packet = PacketCodec {}.parse(sampleOpening());
        ASSERT_TRUE(packet);
        EXPECT_EQ(packet->caller, (Endpoint { 0x64400007, 40001 }));
        EXPECT_EQ(packet->service, (Endpoint { 0xC6120001, 443 }));
        EXPECT_EQ(packet->sequence, 0x11223344U);
        EXPECT_TRUE(packet->syn);
        EXPECT_FALSE(packet->ack || packet->fin || packet->rst);
    }

    // Guards against forwarding malformed datagrams.
    TEST(PacketCodec, RefusesWrongLengths)
    {
        Bytes bytes = sampleOpening();
        bytes.push_back(0);
        EXPECT_FALSE(PacketCodec {}.parse(bytes));
        bytes.resize(31);
        EXPECT_FALSE(PacketCodec {}.parse(bytes));
        EXPECT_FALSE(PacketCodec {}.parse({}));
    }

    // Guards against a reset that callers do not accept.
    TEST(PacketCodec, EncodesTheSpecifiedReset)
    {
        const PacketCodec codec;
        const auto head = codec.reset(*codec.parse(sampleOpening()));
        const Bytes reset { head.bytes.begin(), head.bytes.begin() + static_cast<std::ptrdiff_t>(head.size) };
        EXPECT_EQ(reset,
            bytesOf({ 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x64, 0x40,
                0x00, 0x07, 0x9c, 0x41, 0xc6, 0x12, 0x00, 0x01, 0x01, 0xbb, 0x00, 0x00, 0x00, 0x00, 0x08, 0x00 }));
    }

    // Guards against changes to any field but the token, which the endpoints of the flow would detect.
    TEST(PacketCodec, ForwardsWithNumberAndToken)
    {
        const Bytes packet = sampleOpening();
        const auto head = PacketCodec {}.forwardHead(
            packet, upstream::UpstreamNumber { 0x7F3A91C2 }, routing::RoutingToken { 0x01020304 });
        ASSERT_EQ(head.size, 40U);
        EXPECT_EQ(head.replaced, 32U);
        Bytes expected = bytesOf({ 0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2 });
        expected.insert(expected.end(), packet.begin(), packet.end());
        for (int i = 0; i < 4; ++i)
            expected[34 + static_cast<std::size_t>(i)] = static_cast<std::uint8_t>(i + 1);
        EXPECT_EQ((Bytes { head.bytes.begin(), head.bytes.begin() + 40 }), expected);
    }

    // Guards against log lines without the request id, which is needed to trace a request that a caller reports.
    TEST(PacketCodec, FindsTheRequestId)
    {
        const auto idIn = [](const std::string& text) {
            Bytes packet = sampleOpening();
            packet.insert(packet.end(), text.begin(), text.end());
            return std::string { PacketCodec {}.requestId(packet) };
        };
        EXPECT_EQ(
            idIn("GET / HTTP/1.1\r\nZinniamount-Request-Id: 64b121502e316951\r\nHost: h\r\n\r\n"), "64b121502e316951");
        EXPECT_EQ(idIn("GET / HTTP/1.1\r\nzinniamount-request-id:7\r\n"), "7");
        EXPECT_EQ(idIn("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), "");
        EXPECT_EQ(idIn(""), "");
    }

    const std::string sampleAnnouncement
        = R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"a","version":"v1","slots":2,"state":"ready",)"
          R"("cold_remaining_ms":150,"seq":4,"born":1782788870000})";

    TEST(CallCodec, ReadsAnAnnouncement)
    {
        const auto result = readAnnouncement("i-7f3a91c2", sampleAnnouncement);
        ASSERT_TRUE(result);
        EXPECT_EQ(result.value().number, upstream::UpstreamNumber { 0x7F3A91C2 });
        EXPECT_EQ(result.value().address, (Endpoint { 0x0A800009, 8080 }));
        EXPECT_EQ(result.value().coldRemaining, Milliseconds { 150 });
        EXPECT_EQ(result.value().version, (upstream::AnnouncementVersion { 1782788870000, 4 }));
    }

    // Guards against accepting an announcement that was not sent by an upstream.
    TEST(CallCodec, RefusesAnnouncementsWithMissingOrWrongFields)
    {
        const auto readWith = [](const std::string& text, const std::string& other) {
            std::string changed = sampleAnnouncement;
            changed.replace(changed.find(text), text.size(), other);
            return readAnnouncement("i-7f3a91c2", changed);
        };
        EXPECT_FALSE(readWith("\"ready\"", "\"resting\""));
        EXPECT_FALSE(readWith("\"seq\":4", "\"seq\":\"4\""));
        EXPECT_FALSE(readWith("\"seq\":4,", ""));
        EXPECT_FALSE(readWith("\"born\":1782788870000", "\"born\":1.5"));
        EXPECT_FALSE(readWith("10.128.0.9:8080", "10.128.0.9"));
        EXPECT_FALSE(readWith("\"slots\":2", "\"slots\":-2"));
        EXPECT_FALSE(readWith("\"version\":\"v1\",", ""));
        EXPECT_FALSE(readWith("\"version\":\"v1\"", "\"version\":7"));
        EXPECT_FALSE(readAnnouncement("i-7f3a91c2", "{\"service\":"));
        EXPECT_FALSE(readAnnouncement("-", sampleAnnouncement));
    }

    const std::string sampleRoutes
        = R"({"version":7,"routes":[{"name":"r-1","host":"198.18.0.1","path_prefix":"/8443/","type":"safe",)"
          R"("timeout_ms":1000,"latency_goal_ms":100,"priority":2,"traffic_split":[{"service":"huvo11a","weight":90},)"
          R"({"service":"wuno96b","weight":10}],"max_attempts":2},{"name":"r-2","host":"198.18.0.2",)"
          R"("path_prefix":"/8443/","type":"unsafe","timeout_ms":5000,"priority":2,"service":"wuno96b"}],)"
          R"("services":[{"name":"huvo11a","health_path":"/health","max_flows":2000,"protocol":"h1","tls":false,)"
          R"("cold_start_s":2.0,"cold_per_s":0.0},{"name":"wuno96b","health_path":"/health","max_flows":2000,)"
          R"("protocol":"h1","tls":false,"cold_start_s":2.0,"cold_per_s":0.0}],)"
          R"("limits":{"max_header_bytes":16384,"idle_timeout_ms":15000}})";

    TEST(CallCodec, ReadsAConfiguration)
    {
        const auto result = readRoutes(sampleRoutes);
        ASSERT_TRUE(result);
        const auto& table = result.value().table;
        EXPECT_EQ(result.value().document, sampleRoutes);
        EXPECT_EQ(table.version, ConfigVersion { 7 });
        ASSERT_EQ(table.routes.size(), 2U);
        EXPECT_EQ(table.routes[0].address, (Endpoint { 0xC6120001, 8443 }));
        EXPECT_EQ(table.routes[0].shares[1], (config::ServiceShare { "wuno96b", 10 }));
        EXPECT_EQ(table.routes[1].requestClass, config::RequestClass::NonIdempotent);
        EXPECT_EQ(table.flowIdleTimeout, Milliseconds { 15000 });
        EXPECT_TRUE(config::validate(table));
    }

    // Guards against an odd entry of another writer that ends the process or is stored with values that cannot be
    // calculated with.
    TEST(CallCodec, RefusesOddAnnouncements)
    {
        const auto with = [](const std::string& key, const std::string& value) {
            nlohmann::json body = nlohmann::json::parse(sampleAnnouncement);
            body[key] = "REPLACED";
            std::string text = body.dump();
            return readAnnouncement("i-7f3a91c2", text.replace(text.find("\"REPLACED\""), 10, value));
        };
        ASSERT_TRUE(with("slots", "3"));
        std::string nested(200000, '[');
        nested += std::string(200000, ']');
        for (const std::string key : { "service", "address", "slots", "state", "cold_remaining_ms", "seq", "born" }) {
            for (const std::string& value : { nested, std::string { "1e999" }, std::string { "-1" },
                     std::string { "99999999999999999999999" }, std::string { "null" }, std::string { "\"\xff\"" } })
                EXPECT_FALSE(with(key, value)) << key << " " << value.substr(0, 30);
        }
        for (const std::string address : { "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:", "10.0.0.1", "10.0.0.256:80" })
            EXPECT_FALSE(with("address", "\"" + address + "\"")) << address;
        EXPECT_FALSE(with("cold_remaining_ms", "1e300"));
        EXPECT_FALSE(with("slots", "4294967296"));
        EXPECT_FALSE(readAnnouncement("i-7f3a91c2", nested));
    }

    // Guards against a configuration that is refused because of its latency objective, which was not read before.
    TEST(CallCodec, ReadsTheLatencyObjectiveLeniently)
    {
        const auto objectiveWith = [](const std::string& value) -> std::optional<Milliseconds> {
            std::string changed = sampleRoutes;
            const std::string original = "\"latency_goal_ms\":100,";
            changed.replace(changed.find(original), original.size(), value);
            const auto result = readRoutes(changed);
            return result ? std::optional { result.value().table.routes[0].latencyObjective } : std::nullopt;
        };
        EXPECT_EQ(objectiveWith("\"latency_goal_ms\":100,"), Milliseconds { 100 });
        for (const std::string value : { "", "\"latency_goal_ms\":null,", "\"latency_goal_ms\":\"100\",",
                 "\"latency_goal_ms\":-5,", "\"latency_goal_ms\":0,", "\"latency_goal_ms\":1.5,",
                 "\"latency_goal_ms\":[100],", "\"latency_goal_ms\":18446744073709551615," })
            EXPECT_EQ(objectiveWith(value), Milliseconds { 0 }) << value;
    }

    // Guards against a control instance that fails because of a document in its log that it cannot read.
    TEST(CallCodec, DecodesStoredDocuments)
    {
        const auto table = routeTableOf(sampleRoutes);
        ASSERT_TRUE(table);
        EXPECT_EQ(table->version, ConfigVersion { 7 });
        EXPECT_EQ(table->routes[0].latencyObjective, Milliseconds { 100 });
        for (const std::string document : { "", "{", "[]", "null", "{\"version\":7}" })
            EXPECT_FALSE(routeTableOf(document)) << document;
    }

    // Guards against a configuration refused as a whole because one of its routes carries uploads.
    TEST(CallCodec, ReadsEveryTypeOfRoute)
    {
        const auto classOf = [](const std::string& type) -> std::optional<config::RequestClass> {
            std::string changed = sampleRoutes;
            const std::string original = "\"type\":\"unsafe\"";
            changed.replace(changed.find(original), original.size(), "\"type\":\"" + type + "\"");
            const auto result = readRoutes(changed);
            return result ? std::optional { result.value().table.routes[1].requestClass } : std::nullopt;
        };
        EXPECT_EQ(classOf("safe"), config::RequestClass::Idempotent);
        EXPECT_EQ(classOf("unsafe"), config::RequestClass::NonIdempotent);
        EXPECT_EQ(classOf("download"), config::RequestClass::Download);
        EXPECT_EQ(classOf("upload"), config::RequestClass::Upload);
        EXPECT_EQ(classOf("stream"), std::nullopt);
    }

    // Guards against accepting a truncated configuration or one with fields of the wrong type.
    TEST(CallCodec, RefusesTruncatedAndMistypedConfigurations)
    {
        for (std::size_t size = 0; size < sampleRoutes.size(); size += 7)
            EXPECT_FALSE(readRoutes(sampleRoutes.substr(0, size))) << size;
        const auto readWith = [](const std::string& text, const std::string& other) {
            std::string changed = sampleRoutes;
            changed.replace(changed.find(text), text.size(), other);
            return readRoutes(changed);
        };
        EXPECT_FALSE(readWith("\"version\":7", "\"version\":\"7\""));
        EXPECT_FALSE(readWith("\"weight\":90", "\"weight\":-1"));
        EXPECT_FALSE(readWith(",\"weight\":90", ""));
        EXPECT_FALSE(readWith("/8443/", "/x/"));
        EXPECT_FALSE(readWith("\"type\":\"safe\"", "\"type\":\"other\""));
    }

    /** @brief Records the calls and completes them with the configured result. */
    class FakeService final : public runtime::FleetService {
    public:
        void change(config::FleetCommand command, CallDone done) override
        {
            this->changes.push_back(std::move(command));
            done(this->result);
        }
        void readRoutes(ReadDone done) override { done({ this->result, this->document }); }
        void announce(const upstream::Announcement& announcement, CallDone done) override
        {
            this->announcements.push_back(announcement);
            done(this->result);
        }
        void depart(upstream::UpstreamNumber number, CallDone done) override
        {
            this->departed.push_back(number);
            done(this->result);
        }

        runtime::CallResult result { CallStatus::Done, std::nullopt };
        std::optional<std::string> document;
        std::vector<config::FleetCommand> changes;
        std::vector<upstream::Announcement> announcements;
        std::vector<upstream::UpstreamNumber> departed;
    };

    HttpResponse call(FakeService& service, HttpMethod method, const std::string& path, const std::string& body = "")
    {
        HttpResponse result;
        result.status = 0;
        controlCalls(service, 8166)(
            { method, path, "", body }, [&](HttpResponse response) { result = std::move(response); });
        return result;
    }

    // Guards against a configuration with an odd value that ends the process, or whose time-outs overflow and so end
    // every flow at once.
    TEST(CallCodec, ReadsOddConfigurationsSafely)
    {
        const auto with = [](const std::string& pointer, const std::string& value) {
            nlohmann::json body = nlohmann::json::parse(sampleRoutes);
            body[nlohmann::json::json_pointer { pointer }] = "REPLACED";
            std::string text = body.dump();
            return readRoutes(text.replace(text.find("\"REPLACED\""), 10, value));
        };
        const std::string nested = std::string(200000, '[') + std::string(200000, ']');
        for (const std::string pointer : { "/version", "/routes/0/host", "/routes/0/path_prefix", "/routes/0/type",
                 "/services/0/max_flows", "/services/0/cold_start_s", "/limits/idle_timeout_ms" }) {
            for (const std::string& value :
                { nested, std::string { "1e999" }, std::string { "-1" }, std::string { "null" } })
                EXPECT_FALSE(with(pointer, value)) << pointer << " " << value.substr(0, 30);
        }
        EXPECT_FALSE(with("/routes/0/path_prefix", "\"/65536/\""));
        const auto longIdle = with("/limits/idle_timeout_ms", "9223372036854775807");
        ASSERT_TRUE(longIdle);
        EXPECT_EQ(longIdle.value().table.flowIdleTimeout, Milliseconds { 24LL * 3600 * 1000 });
        const auto longStart = with("/services/0/cold_start_s", "1e300");
        ASSERT_TRUE(longStart);
        EXPECT_EQ(longStart.value().table.services[0].coldStart, Milliseconds { 24LL * 3600 * 1000 });
    }

    /** @return The problem of a heartbeat body, empty if it can be read. */
    std::string problemOf(const std::string& body)
    {
        const auto read = readAnnouncement("i-1", body);
        return read ? std::string {} : read.error().problem;
    }

    // Guards against a body, readable or not, that costs many times its size when it is parsed (review/12).
    TEST(CallCodec, RefusesCostlyBodiesBeforeTheyAreParsed)
    {
        EXPECT_NE(problemOf(std::string(4'000'000, '[')).find("bytes"), std::string::npos);
        EXPECT_NE(problemOf(std::string(1000, '[')).find("nested"), std::string::npos);
        std::string many = sampleAnnouncement;
        many.insert(1, "\"other\":[");
        for (int i = 0; i < 300; ++i)
            many.insert(10, "{},");
        many.insert(10 + 900, "{}],");
        EXPECT_NE(problemOf(many).find("values"), std::string::npos);
        const std::string nested = std::string(200'000, '[') + std::string(200'000, ']');
        EXPECT_NE(readRoutes(nested).error().problem.find("nested"), std::string::npos);
        std::string values = sampleRoutes;
        std::string list = "\"other\":[0";
        for (int i = 0; i < 500'000; ++i)
            list += ",0";
        values.insert(1, list + "],");
        EXPECT_NE(readRoutes(values).error().problem.find("values"), std::string::npos);
    }

    // Guards against valid content that is taken for deep or large: brackets and separators inside strings.
    TEST(CallCodec, CountsNothingInsideStrings)
    {
        std::string body = sampleAnnouncement;
        body.insert(1, "\"other\":\"" + std::string(2000, '[') + std::string(2000, ',') + "\\\"[\",");
        EXPECT_EQ(problemOf(body), "");
    }

    // Guards against a limit that does not fit the call: a heartbeat of the size of a configuration.
    TEST(ControlCalls, EachKindOfCallHasItsOwnBodyLimit)
    {
        const auto limitOf = [](HttpMethod method, const char* path) {
            return callBodyLimit({ method, path, "", "" });
        };
        EXPECT_EQ(limitOf(HttpMethod::Put, "/zinniamount/instances/i-1"), limitsOf(InputKind::Heartbeat).bytes);
        EXPECT_EQ(limitOf(HttpMethod::Put, "/zinniamount/config"), limitsOf(InputKind::Configuration).bytes);
        EXPECT_EQ(limitOf(HttpMethod::Post, "/zinniamount/evacuate/b"), limitsOf(InputKind::Order).bytes);
        EXPECT_EQ(limitOf(HttpMethod::Put, "/other"), limitsOf(InputKind::Order).bytes);
    }

    // Guards against requests that are dispatched to the wrong function.
    TEST(ControlCalls, TranslatesEachCall)
    {
        FakeService service;
        EXPECT_EQ(call(service, HttpMethod::Put, "/zinniamount/instances/i-7f3a91c2", sampleAnnouncement).status, 200);
        EXPECT_EQ(call(service, HttpMethod::Delete, "/zinniamount/instances/i-7f3a91c2").status, 200);
        EXPECT_EQ(call(service, HttpMethod::Put, "/zinniamount/config", sampleRoutes).status, 200);
        EXPECT_EQ(call(service, HttpMethod::Post, "/zinniamount/evacuate/b").status, 200);
        EXPECT_EQ(call(service, HttpMethod::Delete, "/zinniamount/evacuate/b").status, 200);
        EXPECT_EQ(service.announcements.size(), 1U);
        EXPECT_EQ(service.departed, (std::vector { upstream::UpstreamNumber { 0x7F3A91C2 } }));
        ASSERT_EQ(service.changes.size(), 3U);
        EXPECT_TRUE(std::get<config::SetZoneWithdrawn>(service.changes[1]).withdrawn);
        EXPECT_FALSE(std::get<config::SetZoneWithdrawn>(service.changes[2]).withdrawn);
        service.document = "{}";
        EXPECT_EQ(call(service, HttpMethod::Get, "/zinniamount/config").body, "{}");
        EXPECT_EQ(call(service, HttpMethod::Get, "/zinniamount/other").status, 404);
    }

    // Guards against invalid content that is appended to the replicated log.
    TEST(ControlCalls, RefusesInvalidBodiesWithTheReason)
    {
        FakeService service;
        std::string unknown = sampleRoutes;
        unknown.replace(unknown.rfind("\"service\":\"wuno96b\""), 19, "\"service\":\"nobody9\"");
        const auto refused = call(service, HttpMethod::Put, "/zinniamount/config", unknown);
        EXPECT_EQ(refused.status, 400);
        EXPECT_NE(refused.body.find("unknown_service"), std::string::npos);
        EXPECT_EQ(call(service, HttpMethod::Put, "/zinniamount/config", "{").status, 400);
        EXPECT_EQ(call(service, HttpMethod::Put, "/zinniamount/instances/i-1", "{}").status, 400);
        EXPECT_TRUE(service.changes.empty());
        EXPECT_TRUE(service.announcements.empty());
    }

    // Guards against refusing a valid command on a follower: the sender has to be redirected or retry elsewhere.
    TEST(ControlCalls, RedirectsToTheLeaderOrReportsUnavailable)
    {
        FakeService service;
        service.result = { CallStatus::NotLeader, InstanceId { 0x0A000004 } };
        const auto moved = call(service, HttpMethod::Put, "/zinniamount/config", sampleRoutes);
        EXPECT_EQ(moved.status, 307);
        EXPECT_EQ(moved.location, "http://10.0.0.4:8166/zinniamount/config");
        for (const CallStatus status : { CallStatus::NotLeader, CallStatus::OutcomeUnknown, CallStatus::Unavailable }) {
            service.result = { status, std::nullopt };
            EXPECT_EQ(call(service, HttpMethod::Put, "/zinniamount/config", sampleRoutes).status, 503);
            EXPECT_EQ(call(service, HttpMethod::Get, "/zinniamount/config").status, 503);
        }
    }

    TEST(ReadinessCall, FollowsTheState)
    {
        bool ready = false;
        const auto handler = readinessCall([&] { return ready; });
        int status = 0;
        const auto ask = [&] {
            handler(
                { HttpMethod::Get, "/zinniamount/ready", "", "" }, [&](const HttpResponse& r) { status = r.status; });
            return status;
        };
        EXPECT_EQ(ask(), 503);
        ready = true;
        EXPECT_EQ(ask(), 200);
    }

} // namespace
} // namespace zinnia::platform
