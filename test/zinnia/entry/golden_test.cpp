#include "zinnia/entry/messages.hpp"
#include "zinnia/entry/session.hpp"

#include <gtest/gtest.h>

namespace zinnia::entry::test {

namespace {

    constexpr Endpoint first { 0x0A000001U, 7000 };
    constexpr Endpoint second { 0x0A000002U, 7000 };

    void configure(Session& session, Milliseconds time, const config::Configuration& configuration)
    {
        session.at(time, ConfigurationOffered { std::make_shared<const config::Configuration>(configuration) });
    }

    /** @brief Registers two upstreams of a service at 1,600 ms, when the node is active. */
    void registerBoth(Session& session, ServiceId service)
    {
        const Bytes one = makeRegistration(service, "first", first);
        const Bytes two = makeRegistration(service, "second", second);
        session.at(Milliseconds { 1600 }, RegistrationPacket { first, one });
        session.at(Milliseconds { 1600 }, RegistrationPacket { second, two });
    }

    /** @return The upstream that a caller's request was sent to, and the message sent. */
    std::pair<Endpoint, CoapMessage> request(
        Session& session, Milliseconds time, std::uint16_t from, const CoapMessage& message)
    {
        const Bytes bytes = encoded(message);
        session.at(time, FabricPacket { caller(from), requestAddress, bytes });
        const auto sent = session.actionsOf<SendRequestPacket>();
        EXPECT_EQ(sent.size(), 1U);
        if (sent.empty())
            return {};
        return { sent[0].upstream, runtime::WireCoapCodec {}.decode(sent[0].payload).value() };
    }

    /** @return The messages sent to callers in response to a message from an upstream. */
    std::vector<SendToCaller> answer(
        Session& session, Milliseconds time, const Endpoint& source, const CoapMessage& message)
    {
        const Bytes bytes = encoded(message);
        session.at(time, RequestPortPacket { source, bytes });
        return session.actionsOf<SendToCaller>();
    }

    /** @return Upstream that a caller's datagram was sent to; port 0 if it was not sent. */
    Endpoint datagram(Session& session, Milliseconds time, std::uint16_t from)
    {
        const Bytes bytes = bytesOf("line " + std::to_string(from));
        session.at(time, FabricPacket { caller(from), datagramAddress, bytes });
        const auto sent = session.actionsOf<SendToUpstream>();
        return sent.empty() ? Endpoint {} : sent[0].upstream;
    }

    /** @brief Lets the peer of the second zone send its heartbeats up to a time. */
    void receiveHeartbeats(Session& session, std::uint64_t& sequence, Milliseconds until, std::uint64_t version)
    {
        for (; Milliseconds { static_cast<std::int64_t>(sequence) * 500 } <= until; ++sequence) {
            const membership::Heartbeat heartbeat { InstanceId { 21 }, ZoneId { 2 }, Epoch { 3 }, sequence, Epoch { 5 },
                sequence, ConfigVersion { version }, membership::MemberState::Active };
            session.at(Milliseconds { static_cast<std::int64_t>(sequence) * 500 },
                PeerPacket { InstanceId { 21 }, heartbeat });
        }
    }

    /** @brief Lets the peer hand over every bucket of both services. It has no flows. */
    void receiveHandover(Session& session, Milliseconds time, std::uint64_t sequence)
    {
        std::vector<BucketIndex> buckets;
        for (std::uint16_t i = 0; i < 64; ++i)
            buckets.push_back(BucketIndex { i });
        for (const ServiceId service : { requestService, datagramService }) {
            const flow::HandoverDone done { sequence++, service, { { {}, true, {}, buckets } } };
            session.at(time, PeerPacket { InstanceId { 21 }, done });
        }
    }

} // namespace

// Guards against changed behaviour from the start of a node to its first answer.
TEST(GoldenSessionTest, startRegistrationsAndAnsweredRequest)
{
    checkGolden("entry_start", [](Session& session) {
        configure(session, Milliseconds { 0 }, makeConfiguration(1, 1));
        registerBoth(session, requestService);
        const Bytes unknown = makeRegistration(requestService, "third", first, 0);
        session.at(Milliseconds { 1700 }, RegistrationPacket { first, unknown });
        const auto [upstream, sent] = request(session, Milliseconds { 2000 }, 1, makeRequest("export", 1));
        const auto answers = answer(session, Milliseconds { 2050 }, upstream, answerTo(sent));
        ASSERT_EQ(answers.size(), 1U);
        EXPECT_EQ(answers[0].caller, caller(1));
        session.advance(Milliseconds { 2500 });
    });
}

// Guards against new flows on a draining upstream, and against established flows that are moved off it.
TEST(GoldenSessionTest, drainWithFlows)
{
    checkGolden("entry_drain", [](Session& session) {
        configure(session, Milliseconds { 0 }, makeConfiguration(1, 1));
        registerBoth(session, datagramService);
        std::vector<Endpoint> placed;
        for (std::uint16_t i = 0; i < 6; ++i)
            placed.push_back(datagram(session, Milliseconds { 7000 + i }, i));
        EXPECT_NE(std::count(placed.begin(), placed.end(), first), 0);
        const Bytes leaving = makeRegistration(datagramService, "first", first, 1, "drain=1");
        session.at(Milliseconds { 7500 }, RegistrationPacket { first, leaving });
        for (std::uint16_t i = 0; i < 6; ++i)
            EXPECT_EQ(datagram(session, Milliseconds { 8000 + i }, i), placed[i]);
        for (std::uint16_t i = 10; i < 16; ++i)
            EXPECT_EQ(datagram(session, Milliseconds { 11600 + i }, i), second);
        session.advance(Milliseconds { 12000 });
    });
}

// Guards against packets to the upstreams of a withdrawn zone, and against flows lost when the zone is restored.
TEST(GoldenSessionTest, zoneWithdrawnAndRestored)
{
    checkGolden("entry_zone", [](Session& session) {
        std::uint64_t sequence = 1;
        config::Configuration configuration = makeConfiguration(2, 1);
        configure(session, Milliseconds { 0 }, configuration);
        receiveHeartbeats(session, sequence, Milliseconds { 1500 }, 1);
        registerBoth(session, datagramService);
        receiveHandover(session, Milliseconds { 1700 }, 1);
        receiveHeartbeats(session, sequence, Milliseconds { 7000 }, 1);
        std::vector<std::uint16_t> local;
        for (std::uint16_t i = 0; i < 8; ++i) {
            if (datagram(session, Milliseconds { 7000 + i }, i).port != 0)
                local.push_back(i);
        }
        ASSERT_FALSE(local.empty());
        configuration.version = ConfigVersion { 2 };
        configuration.zones[0].state = config::ZoneState::Withdrawn;
        configure(session, Milliseconds { 7200 }, configuration);
        for (const std::uint16_t i : local)
            EXPECT_EQ(datagram(session, Milliseconds { 7300 }, i).port, 0);
        receiveHeartbeats(session, sequence, Milliseconds { 8000 }, 2);
        configuration.version = ConfigVersion { 3 };
        configuration.zones[0].state = config::ZoneState::InService;
        configure(session, Milliseconds { 8200 }, configuration);
        receiveHeartbeats(session, sequence, Milliseconds { 8500 }, 3);
        datagram(session, Milliseconds { 8600 }, local[0]);
        receiveHandover(session, Milliseconds { 8700 }, 3);
        EXPECT_NE(datagram(session, Milliseconds { 8800 }, local[0]).port, 0);
        receiveHeartbeats(session, sequence, Milliseconds { 9500 }, 3);
    });
}

// Guards against an answer that reaches a caller twice, reaches the wrong caller or follows another outcome.
TEST(GoldenSessionTest, duplicatedLateAndCrossedAnswers)
{
    checkGolden("entry_answers", [](Session& session) {
        configure(session, Milliseconds { 0 }, makeConfiguration(1, 1));
        registerBoth(session, requestService);
        const auto [one, sentOne] = request(session, Milliseconds { 7000 }, 1, makeRequest("export", 1));
        EXPECT_EQ(answer(session, Milliseconds { 7010 }, one, answerTo(sentOne)).size(), 1U);
        EXPECT_TRUE(answer(session, Milliseconds { 7020 }, one, answerTo(sentOne)).empty()) << "duplicated";

        const auto [two, sentTwo] = request(session, Milliseconds { 7100 }, 2, makeRequest("export", 2));
        const auto [three, sentThree] = request(session, Milliseconds { 7100 }, 3, makeRequest("export", 3));
        CoapMessage crossed = answerTo(sentThree);
        crossed.messageId = sentTwo.messageId;
        for (const SendToCaller& given : answer(session, Milliseconds { 7110 }, two, crossed))
            EXPECT_EQ(given.caller, caller(3)) << "crossed";
        answer(session, Milliseconds { 7120 }, two, answerTo(sentTwo));
        answer(session, Milliseconds { 7120 }, three, answerTo(sentThree));

        const auto [four, sentFour] = request(session, Milliseconds { 7200 }, 4, makeRequest("instruction", 4));
        session.advance(Milliseconds { 12000 });
        EXPECT_EQ(session.actionsOf<SendToCaller>().size(), 1U) << "the outcome is reported as unknown";
        EXPECT_TRUE(answer(session, Milliseconds { 12010 }, four, answerTo(sentFour)).empty()) << "late";
    });
}

} // namespace zinnia::entry::test
