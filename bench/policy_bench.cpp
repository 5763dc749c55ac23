#include "request_simulation.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace zinnia::bench {

namespace {

    constexpr ServiceId service { 1 };
    constexpr request::PeerProcess self { InstanceId { 1 }, Epoch { 1 } };
    constexpr Seconds duration { 30 };
    constexpr Milliseconds coldTime { 4000 };
    constexpr std::size_t flows = 3000;

    /** @brief Kinds of the first user: sluice instruction, level stream and export. */
    struct Kind {
        std::uint8_t priority;
        double weight;
        bool idempotent;
        double share;
        int serviceMs;
        int deadlineMs;
    };
    constexpr std::array kinds {
        Kind { 0, 5, false, 0.2, 40, 2000 },
        Kind { 1, 2, true, 0.3, 40, 2000 },
        Kind { 2, 1, true, 0.5, 120, 4000 },
    };

    double meanServiceMs()
    {
        double mean = 0;
        for (const Kind& kind : kinds)
            mean += kind.share * kind.serviceMs;
        return mean;
    }

} // namespace

RequestSimulation::RequestSimulation(const Load& load, unsigned seed)
    : load { load }
    , random { seed }
    , owner { load.owner, self }
    , home { load.home, self, seed }
{
    const request::LeaseExtended lease { this->now + Seconds { 1000 } };
    this->perform(this->owner.handle(lease, this->now));
    this->perform(this->home.handle(lease, this->now));
    for (std::uint32_t i = 0; i < load.upstreams; ++i) {
        this->upstreams.push_back({ {}, { 2, static_cast<std::uint16_t>(i) }, 1, {}, false, {} });
        this->announce(this->upstreams.back());
    }
    for (int window = 0; window < 10; ++window) { // lets the cold-start ramp finish before the load begins
        this->now += Milliseconds { 1000 };
        this->perform(this->home.handle(request::HomeTick {}, this->now));
    }
}

void RequestSimulation::push(TimePoint time, Event::Kind kind, std::size_t upstream, CoapMessage message)
{
    this->events.push({ time, this->order++, kind, upstream, std::move(message) });
}

void RequestSimulation::announce(Upstream& upstream)
{
    upstream::UpstreamInfo earlier;
    earlier.id = upstream.id;
    earlier.address = upstream.address;
    earlier.state = upstream::UpstreamState::Lost;
    upstream::UpstreamInfo info = earlier;
    info.id = upstreamIdOf(service, upstream.address, Incarnation { upstream.incarnation });
    info.slots = this->load.slots;
    info.state = upstream.isCold ? upstream::UpstreamState::Cold : upstream::UpstreamState::Ready;
    request::UpstreamsUpdated update { { info }, {} };
    if (upstream.incarnation > 1)
        update.changed.push_back(earlier);
    upstream.id = info.id;
    request::HomeAssignmentsReplaced homes;
    for (const Upstream& known : this->upstreams)
        homes.assignments.push_back({ known.id, false });
    this->perform(this->owner.handle(update, this->now));
    this->perform(this->owner.handle(request::HomeChanged { info.id, self }, this->now));
    this->perform(this->home.handle(update, this->now));
    this->perform(this->home.handle(homes, this->now));
}

Outcome RequestSimulation::run()
{
    const TimePoint begin = this->now;
    const double perSecond = this->load.share * this->load.upstreams * this->load.slots * 1000.0 / meanServiceMs();
    std::exponential_distribution<double> gap { perSecond };
    for (TimePoint at = begin; at < begin + duration;) {
        this->push(at, Event::Kind::Request);
        at += Microseconds { static_cast<std::int64_t>(gap(this->random) * 1e6) };
    }
    for (TimePoint at = begin; at < begin + duration * 2; at += Milliseconds { 20 })
        this->push(at, Event::Kind::Tick);
    for (std::uint32_t i = 0; i < this->load.restarting; ++i)
        this->push(begin + duration / 3, Event::Kind::Restart, i);
    while (!this->events.empty()) {
        const Event next = this->events.top();
        this->events.pop();
        this->now = next.time;
        Upstream& upstream = this->upstreams[next.upstream];
        switch (next.kind) {
        case Event::Kind::Request:
            this->offerRequest();
            break;
        case Event::Kind::Answer:
            this->perform(this->home.handle(request::UpstreamMessage { upstream.address, next.message }, this->now));
            break;
        case Event::Kind::Tick:
            this->perform(this->owner.handle(request::OwnerTick {}, this->now));
            this->perform(this->home.handle(request::HomeTick {}, this->now));
            break;
        case Event::Kind::Restart:
            upstream.isCold = true;
            upstream.coldSince = this->now;
            if (this->load.isRestartUnannounced)
                break;
            ++upstream.incarnation;
            upstream.running.clear();
            this->announce(upstream);
            break;
        }
    }
    for (const Caller& caller : this->callers)
        this->outcome.late += caller.done ? 0 : 1;
    return this->outcome;
}

void RequestSimulation::offerRequest()
{
    std::discrete_distribution<std::size_t> draw { kinds[0].share, kinds[1].share, kinds[2].share };
    const std::size_t index = this->callers.size();
    const std::size_t flow = this->random() % flows;
    const Kind& kind = kinds[this->callers.emplace_back(Caller { draw(this->random), this->now, false }).kind];
    ++this->outcome.offered;
    this->outcome.offeredWeight += kind.weight;
    request::RequestReceived placed;
    placed.service = service;
    placed.caller = { 1, static_cast<std::uint16_t>(flow) };
    placed.candidates = this->candidates(flow);
    placed.message.type = CoapType::NonConfirmable;
    placed.message.code = coap::post;
    placed.message.messageId = static_cast<std::uint16_t>(index);
    for (unsigned shift = 0; shift < 32; shift += 8)
        placed.message.token.push_back(static_cast<std::uint8_t>(index >> shift));
    placed.message.payload = { static_cast<std::uint8_t>(this->callers.back().kind) };
    placed.message.addUint(coap::deadline, static_cast<std::uint64_t>(kind.deadlineMs));
    placed.message.addUint(coap::priority, kind.priority);
    placed.message.addUint(coap::idempotent, kind.idempotent ? 1 : 0);
    this->perform(this->owner.handle(placed, this->now));
}

std::vector<UpstreamId> RequestSimulation::candidates(std::size_t flow)
{
    std::vector<UpstreamId> ids;
    for (const Upstream& upstream : this->upstreams)
        ids.push_back(upstream.id);
    const auto busy = [this](UpstreamId id) { return this->home.inFlight(id); };
    switch (this->load.choice) {
    case Choice::FlowHash:
        std::sort(ids.begin(), ids.end(),
            [&](UpstreamId left, UpstreamId right) { return hashOf(flow, left.value) > hashOf(flow, right.value); });
        break;
    case Choice::RoundRobin:
        std::rotate(ids.begin(), ids.begin() + static_cast<std::ptrdiff_t>(this->rotation++ % ids.size()), ids.end());
        break;
    case Choice::Random:
    case Choice::TwoRandom:
        std::shuffle(ids.begin(), ids.end(), this->random);
        if (this->load.choice == Choice::TwoRandom && busy(ids[1]) < busy(ids[0]))
            std::swap(ids[0], ids[1]);
        break;
    }
    return ids;
}

std::uint32_t RequestSimulation::capacityOf(const Upstream& upstream) const
{
    const bool isCold = upstream.isCold && this->now - upstream.coldSince < coldTime;
    return isCold ? std::max(1U, this->load.slots / 4) : this->load.slots;
}

void RequestSimulation::deliverToUpstream(const request::SendToUpstream& action)
{
    if (!action.message.isRequest())
        return;
    const std::size_t index = action.destination.port;
    Upstream& upstream = this->upstreams[index];
    upstream.running.erase(upstream.running.begin(), upstream.running.upper_bound(this->now));
    const std::uint32_t capacity = this->capacityOf(upstream);
    CoapMessage answer;
    answer.type = CoapType::Acknowledgement;
    answer.messageId = action.message.messageId;
    answer.token = action.message.token;
    const Milliseconds travel { 1 };
    if (upstream.running.size() >= capacity) {
        ++this->outcome.overload;
        this->outcome.coldOverload += capacity < this->load.slots ? 1 : 0;
        answer.code = coap::tooManyRequests;
        this->push(this->now + travel * 2, Event::Kind::Answer, index, answer);
        return;
    }
    const Kind& kind = kinds[action.message.payload.front()];
    std::uniform_real_distribution<double> spread { 0.5, 1.5 };
    const double slowness = capacity < this->load.slots ? 3 : 1;
    const Microseconds work { static_cast<std::int64_t>(kind.serviceMs * spread(this->random) * slowness * 1000) };
    upstream.running.insert(this->now + work);
    answer.code = coap::changed;
    this->push(this->now + work + travel * 2, Event::Kind::Answer, index, answer);
}

void RequestSimulation::answer(const CoapMessage& message)
{
    std::size_t index = 0;
    for (std::size_t i = 0; i < message.token.size(); ++i)
        index |= std::size_t { message.token[i] } << (8 * i);
    Caller& caller = this->callers.at(index);
    if (std::exchange(caller.done, true))
        return;
    const Kind& kind = kinds[caller.kind];
    if (message.code == coap::changed && this->now - caller.sentAt <= Milliseconds { kind.deadlineMs })
        this->outcome.deliveredWeight += kind.weight;
    else if (message.uintOption(coap::outcome) == static_cast<std::uint64_t>(coap::Outcome::NotRun))
        ++this->outcome.refused;
    else
        ++this->outcome.late;
}

void RequestSimulation::perform(const request::OwnerActions& actions)
{
    for (const auto& action : actions) {
        if (const auto* sent = std::get_if<request::SendToCaller>(&action))
            this->answer(sent->message);
        else if (std::holds_alternative<request::RequestRetried>(action))
            ++this->outcome.retries;
        else if (const auto* peer = std::get_if<request::SendToPeer>(&action)) {
            if (const auto* dispatch = std::get_if<request::DispatchRequest>(&peer->message))
                this->perform(this->home.handle(request::DispatchReceived { self.instance, *dispatch }, this->now));
            else if (const auto* cancel = std::get_if<request::CancelRequest>(&peer->message))
                this->perform(this->home.handle(request::CancelReceived { self.instance, *cancel }, this->now));
        }
    }
}

void RequestSimulation::perform(const request::HomeActions& actions)
{
    for (const auto& action : actions) {
        if (const auto* sent = std::get_if<request::SendToUpstream>(&action))
            this->deliverToUpstream(*sent);
        else if (const auto* result = std::get_if<request::SendResult>(&action))
            this->perform(this->owner.handle(request::ResultReceived { self.instance, result->result }, this->now));
    }
}

namespace {

    struct Variant {
        const char* name;
        void (*change)(Load&);
    };

    void compare(const char* title, const Load& base, std::initializer_list<Variant> variants)
    {
        std::printf("\n%s\n%-30s %5s %8s %10s %8s %7s %8s %9s %9s\n", title, "way", "load", "offered", "delivered",
            "refused", "late", "retries", "overload", "cold");
        for (const double share : { 0.7, 1.0, 1.5 }) {
            for (const Variant& variant : variants) {
                Load load = base;
                load.share = share;
                variant.change(load);
                const Outcome outcome = RequestSimulation { load, 1 }.run();
                std::printf("%-30s %4.0f%% %8zu %9.1f%% %8zu %7zu %8zu %9zu %9zu\n", variant.name, share * 100,
                    outcome.offered, 100 * outcome.deliveredWeight / outcome.offeredWeight, outcome.refused,
                    outcome.late, outcome.retries, outcome.overload, outcome.coldOverload);
            }
        }
    }

    void compareAll()
    {
        using request::QueueOrder;
        const auto keep = [](Load&) {};
        const Load base;
        compare("Queue order", base,
            { { "by priority (default)", keep },
                { "first in, first out", [](Load& load) { load.home.order = QueueOrder::FirstInFirstOut; } },
                { "last in, first out", [](Load& load) { load.home.order = QueueOrder::LastInFirstOut; } },
                { "by priority, no early refusal", [](Load& load) { load.home.refuseInfeasibleDeadlines = false; } } });
        const std::initializer_list<Variant> retries { { "10% budget (default)", keep },
            { "no limit", [](Load& load) { load.owner.enforceRetryBudget = false; } },
            { "50% budget", [](Load& load) { load.owner.retryRatio = 0.5; } },
            { "none", [](Load& load) { load.owner.maxAttempts = 1; } } };
        compare("Retries", base, retries);
        Load failing = base;
        failing.restarting = 3;
        compare("Retries while 3 of 15 upstreams restart", failing, retries);
        compare("Choice of upstream", base,
            { { "hash of the flow (default)", keep }, { "random", [](Load& load) { load.choice = Choice::Random; } },
                { "round robin", [](Load& load) { load.choice = Choice::RoundRobin; } },
                { "less busy of two random", [](Load& load) { load.choice = Choice::TwoRandom; } } });
        Load cold;
        cold.slots = 8;
        cold.upstreams = 8;
        cold.restarting = 3;
        compare("Cold start: 3 of 8 upstreams restart; 2 of 8 slots for 4 s", cold,
            { { "doubling each 1 s (default)", keep },
                { "no limit", [](Load& load) { load.home.coldStart.enabled = false; } },
                { "doubling each 0.25 s", [](Load& load) { load.home.coldStart.window = Milliseconds { 250 }; } },
                { "doubling each 4 s", [](Load& load) { load.home.coldStart.window = Milliseconds { 4000 }; } } });
        cold.isRestartUnannounced = true;
        compare("Cold without a warning: 3 of 8 upstreams; 2 of 8 slots for 4 s", cold,
            { { "detection (default)", keep },
                { "refusals only", [](Load& load) { load.home.coldStart.medianSamples = 1000000; } },
                { "none", [](Load& load) {
                     load.home.coldStart.refusalThreshold = load.home.coldStart.medianSamples = 1000000;
                 } } });
    }

} // namespace

} // namespace zinnia::bench

int main()
{
    zinnia::bench::compareAll();
    return 0;
}
