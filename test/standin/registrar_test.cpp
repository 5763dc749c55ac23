#include "standin/registrar.hpp"
#include "zinnia/wire/coap_codec.hpp"

#include <gtest/gtest.h>

namespace zinnia::standin {
namespace {

    const Endpoint firstEntry { 1, 10 };
    const Endpoint secondEntry { 1, 20 };
    const Announcement announcement { "logger-1", "logger", "a", *Endpoint::parse("127.0.3.1:7000"), Incarnation { 4 },
        2, 2000, 50, true, false };

    std::string queryOf(const CoapMessage& message)
    {
        std::string text;
        for (const auto& option : message.options) {
            if (option.number == coap::uriQuery)
                text += std::string(option.value.begin(), option.value.end()) + "&";
        }
        return text;
    }

    CoapMessage answerTo(const CoapMessage& request, std::uint8_t code)
    {
        return { CoapType::Acknowledgement, code, request.messageId, request.token, {}, {} };
    }

    // Guards against registrations that entries cannot decode, and renewals after the lease has expired.
    TEST(Registrar, RegistersAndRenewsAtAThirdOfTheLifetime)
    {
        ManualClock clock;
        Registrar registrar { { { firstEntry }, Seconds { 12 }, 3 } };
        const auto sent = registrar.tick(announcement, clock.now());
        ASSERT_TRUE(sent);
        const CoapMessage message = wire::decodeCoap(sent->bytes).value();
        EXPECT_EQ(message.path(), "rd");
        EXPECT_EQ(queryOf(message),
            "ep=logger-1&lt=12&d=logger&zone=a&con=127.0.3.1:7000&inc=4&seq=1&slots=2&conns=2000&load=50&");
        EXPECT_EQ(Registrar::indexOf(message.token), 3U);
        EXPECT_TRUE(registrar.handle(answerTo(message, coap::created), clock.now()));
        clock.advance(Milliseconds { 3999 });
        EXPECT_FALSE(registrar.tick(announcement, clock.now()));
        clock.advance(Milliseconds { 1 });
        EXPECT_TRUE(registrar.tick(announcement, clock.now()));
        EXPECT_TRUE(registrar.isRegistered(clock.now()));
    }

    // Guards against an upstream that stays with a dead or refusing entry until its lease expires.
    TEST(Registrar, SwitchesToTheNextEntry)
    {
        ManualClock clock;
        Registrar registrar { { { firstEntry, secondEntry }, Seconds { 12 }, 0 } };
        EXPECT_EQ(registrar.tick(announcement, clock.now())->destination, firstEntry);
        clock.advance(Milliseconds { 500 });
        const auto second = registrar.tick(announcement, clock.now());
        ASSERT_TRUE(second);
        EXPECT_EQ(second->destination, secondEntry);
        const CoapMessage message = wire::decodeCoap(second->bytes).value();
        EXPECT_TRUE(registrar.handle(answerTo(message, coap::forbidden), clock.now()));
        EXPECT_FALSE(registrar.isRegistered(clock.now()));
        clock.advance(Seconds { 1 });
        EXPECT_EQ(registrar.tick(announcement, clock.now())->destination, firstEntry);
        EXPECT_EQ(registrar.refused(), 1U);
        EXPECT_EQ(registrar.unanswered(), 1U);
    }

    // Guards against a removal that identifies no registration: entries look it up by the location they assigned.
    TEST(Registrar, RemovesTheAssignedLocation)
    {
        ManualClock clock;
        Registrar registrar { { { firstEntry }, Seconds { 12 }, 0 } };
        const CoapMessage sent = wire::decodeCoap(registrar.tick(announcement, clock.now())->bytes).value();
        CoapMessage answer = answerTo(sent, coap::created);
        answer.addOption(8, { 'r', 'd' });
        answer.addOption(8, { 'f', '7' });
        EXPECT_TRUE(registrar.handle(answer, clock.now()));
        const CoapMessage removal = wire::decodeCoap(registrar.removal(announcement).bytes).value();
        EXPECT_EQ(removal.code, coap::deleteMethod);
        EXPECT_EQ(removal.path(), "rd/f7");
    }

    // Guards against a drain that is announced only with the next renewal, also when one is pending.
    TEST(Registrar, AnnouncesAChangeAtOnce)
    {
        ManualClock clock;
        Registrar registrar { { { firstEntry }, Seconds { 12 }, 0 } };
        const auto first = registrar.tick(announcement, clock.now());
        registrar.renewNow();
        Announcement drainingAnnouncement = announcement;
        drainingAnnouncement.draining = true;
        const auto second = registrar.tick(drainingAnnouncement, clock.now());
        ASSERT_TRUE(second);
        EXPECT_TRUE(queryOf(wire::decodeCoap(second->bytes).value()).ends_with("drain=1&"));
        EXPECT_FALSE(registrar.handle(answerTo(wire::decodeCoap(first->bytes).value(), coap::created), clock.now()));
    }

} // namespace
} // namespace zinnia::standin
