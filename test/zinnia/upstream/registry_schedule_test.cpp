#include "registration_messages.hpp"
#include "zinnia/core/hash.hpp"

#include <map>
#include <random>

namespace zinnia::upstream {
namespace {

    /** @brief Reference model: the latest state of each upstream host. */
    struct Host {
        ServiceId service;
        int incarnation = 0;
        bool draining = false;
    };

    struct Datagram {
        std::size_t target = 0;
        std::optional<std::size_t> from;
        RegistryEvent event;
        /** For a registration message: the host, incarnation and drain state that it holds. */
        int host = 0;
        int incarnation = 0;
        bool draining = false;
    };

    struct Violations {
        std::size_t stale = 0;
        std::size_t disagreements = 0;
    };

    /** @brief Simulates three registries of one zone and a network that loses, duplicates and reorders datagrams. */
    class Simulation {
    public:
        Simulation(unsigned seed, bool checkIncarnations)
            : random { seed }
        {
            RegistrySettings settings;
            settings.checkIncarnations = checkIncarnations;
            for (std::uint32_t i = 1; i <= 3; ++i) {
                this->registries.emplace_back(settings, InstanceId { i }, zone);
                (void)this->registries.back().handle(ConfigurationAdopted { twoServices() }, start);
            }
            this->hosts.resize(4);
        }

        Violations run()
        {
            for (int step = 0; step < 600; ++step) {
                this->now += Milliseconds { 100 };
                this->changeHosts(step < 400);
                this->deliver();
                for (std::size_t i = 0; i < this->registries.size(); ++i)
                    this->send(i, this->registries[i].handle(RegistryTick {}, this->now));
                this->check();
            }
            this->checkAgreement();
            return this->violations;
        }

    private:
        std::size_t randomBelow(std::size_t limit) { return this->random() % limit; }

        void changeHosts(bool mayChange)
        {
            for (std::size_t i = 0; i < this->hosts.size(); ++i) {
                Host& host = this->hosts[i];
                const bool starts = host.incarnation == 0 || (mayChange && this->randomBelow(60) == 0);
                if (starts) {
                    host.service = this->randomBelow(4) == 0 ? archive : logger;
                    ++host.incarnation;
                    host.draining = false;
                } else if (mayChange && this->randomBelow(80) == 0)
                    host.draining = true;
                if (starts || this->randomBelow(30) == 0) {
                    const int number = static_cast<int>(i) + 1;
                    const auto message
                        = registrationOf(host.service, number, host.incarnation, host.draining ? "drain=1" : "drain=0");
                    this->transmit({ this->randomBelow(3), std::nullopt, RegistrationReceived { {}, message }, number,
                        host.incarnation, host.draining });
                }
            }
        }

        void transmit(const Datagram& datagram)
        {
            for (std::size_t copies = this->randomBelow(5) == 0 ? this->randomBelow(3) : 1; copies > 0; --copies)
                this->inFlight.emplace(
                    this->now + Milliseconds { this->randomBelow(10) == 0 ? 5000 : 1 + this->randomBelow(200) },
                    datagram);
        }

        void send(std::size_t from, const RegistryActions& actions)
        {
            for (const auto& update : actionsOf<SendUpdate>(actions)) {
                for (std::size_t peer = 0; peer < this->registries.size(); ++peer) {
                    const InstanceId sender { static_cast<std::uint32_t>(from + 1) };
                    if (peer != from)
                        this->transmit({ peer, from, UpdateReceived { sender, update.update } });
                }
            }
        }

        void deliver()
        {
            while (!this->inFlight.empty() && this->inFlight.begin()->first <= this->now) {
                const Datagram datagram = this->inFlight.begin()->second;
                this->inFlight.erase(this->inFlight.begin());
                if (!datagram.from)
                    this->deliveredIncarnations[{ datagram.target, datagram.host }] = std::max(
                        this->deliveredIncarnations[{ datagram.target, datagram.host }], datagram.incarnation);
                this->send(datagram.target, this->registries[datagram.target].handle(datagram.event, this->now));
            }
        }

        void check()
        {
            for (std::size_t i = 0; i < this->registries.size(); ++i) {
                std::map<Endpoint, int> usableCount;
                for (const auto& info : this->registries[i].upstreams()) {
                    if (info.state == UpstreamState::Lost)
                        continue;
                    const int host = static_cast<int>(info.address.address & 0xFFU);
                    const bool isStale
                        = static_cast<int>(info.incarnation.value) < this->deliveredIncarnations[{ i, host }];
                    if (++usableCount[info.address] > 1 || isStale)
                        ++this->violations.stale;
                }
            }
        }

        void checkAgreement()
        {
            for (std::size_t i = 0; i < this->hosts.size(); ++i) {
                const Host& host = this->hosts[i];
                const Endpoint address { 0x0A000001U + static_cast<std::uint32_t>(i), 5683 };
                const auto id
                    = upstreamIdOf(host.service, address, Incarnation { static_cast<std::uint64_t>(host.incarnation) });
                for (const auto& registry : this->registries) {
                    bool agrees = false;
                    for (const auto& info : registry.upstreams()) {
                        const bool quarantined = info.state == UpstreamState::Quarantined;
                        const bool draining = info.state == UpstreamState::Draining;
                        agrees = agrees
                            || (info.id == id && info.state != UpstreamState::Lost
                                && (quarantined || draining == host.draining));
                    }
                    this->violations.disagreements += agrees ? 0 : 1;
                }
            }
        }

        std::mt19937 random;
        TimePoint now = start;
        std::vector<UpstreamRegistry> registries;
        std::vector<Host> hosts;
        std::multimap<TimePoint, Datagram> inFlight;
        std::map<std::pair<std::size_t, int>, int> deliveredIncarnations;
        Violations violations;
    };

    Violations totalViolations(bool checkIncarnations)
    {
        Violations sum;
        for (unsigned seed = 1; seed <= 200; ++seed) {
            const Violations violations = Simulation { seed, checkIncarnations }.run();
            sum.stale += violations.stale;
            sum.disagreements += violations.disagreements;
        }
        return sum;
    }

    // Guards against a reordered registration message or update that brings back an earlier incarnation or undoes a
    // drain.
    TEST(RegistrySchedule, EntriesAgreeWithTheReferenceModel)
    {
        const Violations violations = totalViolations(true);
        EXPECT_EQ(violations.stale, 0U);
        EXPECT_EQ(violations.disagreements, 0U);
    }

    // Shows that the test above fails if registrations of older incarnations are accepted.
    TEST(RegistrySchedule, FailsWithoutIncarnations)
    {
        const Violations violations = totalViolations(false);
        EXPECT_GT(violations.stale, 0U);
        RecordProperty("stale", static_cast<int>(violations.stale));
        std::printf("without incarnations: %zu stale, %zu disagreements\n", violations.stale, violations.disagreements);
    }

} // namespace
} // namespace zinnia::upstream
