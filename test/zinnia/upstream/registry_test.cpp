#include "registration_messages.hpp"
#include "zinnia/core/hash.hpp"
#include "zinnia/wire/archive.hpp"

namespace zinnia::upstream {
namespace {

    class RegistryTest : public testing::Test {
    protected:
        RegistryTest() { (void)this->registry.handle(ConfigurationAdopted { twoServices() }, start); }

        CoapMessage send(const CoapMessage& message, TimePoint now = start)
        {
            this->lastActions = this->registry.handle(RegistrationReceived { source, message }, now);
            const auto answers = actionsOf<AnswerRegistration>(this->lastActions);
            return answers.size() == 1 ? answers.front().message : CoapMessage {};
        }

        RefusalReason refusal(const CoapMessage& message)
        {
            return static_cast<RefusalReason>(this->send(message).uintOption(coap::reason).value_or(0));
        }

        UpstreamState stateOf(UpstreamId id)
        {
            for (const auto& info : this->registry.upstreams()) {
                if (info.id == id)
                    return info.state;
            }
            return UpstreamState::Lost;
        }

        static UpstreamId idOf(ServiceId service, int host, std::uint64_t incarnation)
        {
            const Endpoint address { 0x0A000000U + static_cast<std::uint32_t>(host), 5683 };
            return upstreamIdOf(service, address, Incarnation { incarnation });
        }

        static constexpr Endpoint source { 0x0A000001, 5683 };
        RegistrySettings settings;
        UpstreamRegistry registry { settings, InstanceId { 1 }, zone };
        RegistryActions lastActions;
    };

    // Guards against accepting registrations with missing or invalid fields, of another zone or of an unknown service.
    TEST_F(RegistryTest, RefusesInvalidRegistrationsWithTheReason)
    {
        EXPECT_EQ(this->refusal(registrationMessage({ "ep=a" })), RefusalReason::Malformed);
        EXPECT_EQ(this->refusal(registrationOf(logger, 1, 1, "slots=0")), RefusalReason::Malformed);
        EXPECT_EQ(this->refusal(registrationOf(logger, 1, 1, "lt=x")), RefusalReason::None)
            << "the first lt parameter counts";
        EXPECT_EQ(this->refusal(registrationOf(logger, 2, 1, "load=1x")), RefusalReason::Malformed);
        EXPECT_EQ(this->refusal(registrationOf(logger, 2, 1, "zone=south")), RefusalReason::WrongZone);
        EXPECT_EQ(this->refusal(registrationMessage({ "ep=a", "d=other", "inc=1" })), RefusalReason::UnknownService);
        EXPECT_EQ(this->refusal(locationRequest(coap::post, UpstreamId { 5 })), RefusalReason::UnknownRegistration);
        EXPECT_EQ(this->registry.refusals(RefusalReason::Malformed), 3U);
        EXPECT_EQ(this->registry.size(), 1U);
    }

    // Guards against a renewal that is not sent to the peers because one of them has just sent an update with an older
    // lease end. The lease of a live upstream then expires at the other entries.
    TEST_F(RegistryTest, SendsARenewalAfterAnUpdateOfAPeer)
    {
        (void)this->send(registrationOf(logger, 1, 1, "seq=1"));
        const auto sent = actionsOf<SendUpdate>(this->lastActions);
        ASSERT_EQ(sent.size(), 1U);
        UpstreamUpdate peerUpdate = sent.front().update;
        const Milliseconds age = peerUpdate.records.front().lease / 3 - Milliseconds { 100 };
        peerUpdate.records.front().leaseRemaining -= age;
        peerUpdate.records.front().healthVersion += 1U << 20U;
        (void)this->registry.handle(UpdateReceived { InstanceId { 2 }, peerUpdate }, start + age);
        (void)this->send(registrationOf(logger, 1, 1, "seq=2"), start + age + Milliseconds { 100 });
        EXPECT_EQ(actionsOf<SendUpdate>(this->lastActions).size(), 1U);
    }

    // Guards against an upstream that can end its drain only as a new incarnation, which breaks its flows, and against
    // an older drain message that arrives after the end of the drain.
    TEST_F(RegistryTest, LaterSequenceNumberEndsADrain)
    {
        (void)this->send(registrationOf(logger, 1, 1, "seq=1"));
        (void)this->send(registrationOf(logger, 1, 1, "seq=2", "drain=1"));
        EXPECT_EQ(this->stateOf(idOf(logger, 1, 1)), UpstreamState::Draining);
        (void)this->send(registrationOf(logger, 1, 1, "seq=3"));
        EXPECT_NE(this->stateOf(idOf(logger, 1, 1)), UpstreamState::Draining);
        (void)this->send(registrationOf(logger, 1, 1, "seq=2", "drain=1"));
        EXPECT_NE(this->stateOf(idOf(logger, 1, 1)), UpstreamState::Draining);
    }

    // Guards against a registration table without a limit.
    TEST_F(RegistryTest, RefusesWhenFull)
    {
        this->settings.maxRegistrations = 3;
        this->registry = UpstreamRegistry { this->settings, InstanceId { 1 }, zone };
        (void)this->registry.handle(ConfigurationAdopted { twoServices() }, start);
        for (int host = 1; host <= 3; ++host)
            EXPECT_EQ(this->send(registrationOf(logger, host, 1)).code, coap::created);
        const CoapMessage answer = this->send(registrationOf(logger, 4, 1));
        EXPECT_EQ(answer.code, coap::serviceUnavailable);
        EXPECT_TRUE(answer.find(coap::maxAge));
        EXPECT_EQ(this->send(registrationOf(logger, 2, 1)).code, coap::created) << "a renewal needs no room";
    }

    // Guards against a late registration message that undoes a drain, a removal or the registration of a newer
    // incarnation.
    TEST_F(RegistryTest, LateRegistrationsChangeNothing)
    {
        (void)this->send(registrationOf(logger, 1, 5));
        (void)this->send(registrationOf(logger, 1, 5, "drain=1"));
        (void)this->send(registrationOf(logger, 1, 5));
        EXPECT_EQ(this->stateOf(idOf(logger, 1, 5)), UpstreamState::Draining);
        EXPECT_EQ(this->send(locationRequest(coap::deleteMethod, idOf(logger, 1, 5))).code, coap::deleted);
        EXPECT_EQ(this->send(locationRequest(coap::deleteMethod, idOf(logger, 1, 5))).code, coap::deleted);
        EXPECT_EQ(this->refusal(registrationOf(logger, 1, 5)), RefusalReason::StaleIncarnation);
        EXPECT_EQ(this->send(registrationOf(logger, 1, 6)).code, coap::created);
        EXPECT_EQ(this->refusal(registrationOf(logger, 1, 5)), RefusalReason::StaleIncarnation);
        EXPECT_EQ(this->stateOf(idOf(logger, 1, 6)), UpstreamState::Cold);
        EXPECT_EQ(this->stateOf(idOf(logger, 1, 5)), UpstreamState::Lost);
    }

    // Guards against packets of one service that reach an upstream of another one after an address was reused.
    TEST_F(RegistryTest, ReusedAddressIsQuarantinedAndItsEarlierRegistrationLost)
    {
        (void)this->send(registrationOf(logger, 1, 5));
        (void)this->send(registrationOf(archive, 1, 6), start + Seconds { 1 });
        EXPECT_EQ(this->stateOf(idOf(logger, 1, 5)), UpstreamState::Lost);
        EXPECT_EQ(this->stateOf(idOf(archive, 1, 6)), UpstreamState::Quarantined);
        // The quarantine of 35 s began at second 1.
        for (int second = 2; second < 36; ++second) {
            (void)this->registry.handle(RegistryTick {}, start + Seconds { second });
            if (second % 10 == 0)
                (void)this->send(registrationOf(archive, 1, 6), start + Seconds { second });
            ASSERT_EQ(this->stateOf(idOf(archive, 1, 6)), UpstreamState::Quarantined) << second;
        }
        (void)this->registry.handle(RegistryTick {}, start + Seconds { 36 });
        EXPECT_EQ(this->stateOf(idOf(archive, 1, 6)), UpstreamState::Cold);
    }

    // Guards against an update for every renewal, which would use up the bandwidth for control traffic, and against
    // changes that are not sent to the peers.
    TEST_F(RegistryTest, SendsChangesAtOnceAndLimitsRenewals)
    {
        std::size_t sent = 0;
        for (int second = 0; second < 60; ++second) {
            (void)this->send(registrationOf(logger, 1, 1), start + Seconds { second });
            sent += actionsOf<SendUpdate>(this->lastActions).size();
        }
        EXPECT_EQ(sent, 6U) << "one for each third of the lease";
        (void)this->send(registrationOf(logger, 1, 1, "drain=1"), start + Seconds { 61 });
        ASSERT_EQ(actionsOf<SendUpdate>(this->lastActions).size(), 1U);
        const auto update = actionsOf<SendUpdate>(this->lastActions).front().update;
        EXPECT_TRUE(update.records.front().draining);
        EXPECT_EQ(wire::decode<UpstreamUpdate>(wire::encode(update)).value(), update);
        const auto resendActions
            = this->registry.handle(RegistryTick {}, start + Seconds { 61 } + Milliseconds { 250 });
        EXPECT_EQ(actionsOf<SendUpdate>(resendActions).size(), 1U)
            << "a change is sent again, because updates are not acknowledged";
        const auto peerStartActions = this->registry.handle(PeerStarted { InstanceId { 2 } }, start + Seconds { 62 });
        EXPECT_EQ(actionsOf<SendUpdate>(peerStartActions).front().peer, InstanceId { 2 });
    }

    // Guards against an operator's drain that remains after the operator has ended it, and against one that is ignored.
    TEST_F(RegistryTest, OperatorDrainFollowsTheConfiguration)
    {
        (void)this->send(registrationOf(logger, 1, 1));
        auto configuration = twoServices();
        configuration->drained.push_back({ logger, "u1" });
        (void)this->registry.handle(ConfigurationAdopted { configuration }, start);
        EXPECT_EQ(this->stateOf(idOf(logger, 1, 1)), UpstreamState::Draining);
        (void)this->registry.handle(ConfigurationAdopted { twoServices() }, start);
        EXPECT_EQ(this->stateOf(idOf(logger, 1, 1)), UpstreamState::Cold);
    }

    // Guards against an upstream that stays ready although its home found that it turned cold or does not answer.
    TEST_F(RegistryTest, HomeSetsTheHealth)
    {
        const UpstreamId id = idOf(logger, 1, 1);
        (void)this->send(registrationOf(logger, 1, 1));
        (void)this->registry.handle(HomesAssigned { { id } }, start);
        (void)this->registry.handle(RegistryTick {}, start + Seconds { 1 });
        EXPECT_EQ(this->stateOf(id), UpstreamState::Warming);
        (void)this->registry.handle(RegistryTick {}, start + Seconds { 4 });
        EXPECT_EQ(this->stateOf(id), UpstreamState::Ready);
        (void)this->registry.handle(HealthSignalReceived { id, HealthSignal::TurnedCold }, start + Seconds { 5 });
        EXPECT_EQ(this->stateOf(id), UpstreamState::Cold);
        (void)this->registry.handle(HealthSignalReceived { id, HealthSignal::TimedOut }, start + Seconds { 6 });
        EXPECT_EQ(this->stateOf(id), UpstreamState::Lost);
        (void)this->send(registrationOf(logger, 1, 1), start + Seconds { 10 });
        EXPECT_EQ(this->stateOf(id), UpstreamState::Cold);
        (void)this->registry.handle(RegistryTick {}, start + Seconds { 41 });
        EXPECT_EQ(this->stateOf(id), UpstreamState::Lost) << "the lease has expired";
        const auto expiryActions = this->registry.handle(RegistryTick {}, start + Seconds { 80 });
        EXPECT_EQ(actionsOf<UpstreamsChanged>(expiryActions).front().removed, std::vector { id });
    }

} // namespace
} // namespace zinnia::upstream
