#include "world.hpp"

#include <algorithm>

namespace zinnia::request {

namespace {

    constexpr ServiceId service { 1 };
    constexpr std::uint32_t buckets = 16;
    constexpr int maxTransmissions = 5;
    // Together below the takeover margin, by which the age of a request may be out of date.
    constexpr Milliseconds latestCaller { 150 };
    constexpr Milliseconds latestHop { 50 };

} // namespace

void World::newCall(std::size_t caller)
{
    if (this->now >= this->quietAt)
        return;
    const std::size_t index = this->calls.size();
    Call call;
    call.caller = caller;
    const auto kind = this->below(20);
    call.observes = kind == 0;
    call.idempotent = kind < 9;
    call.sendsAge = caller % 4 != 0;
    call.firstSent = this->now;
    call.message.type = this->below(5) == 0 ? CoapType::NonConfirmable : CoapType::Confirmable;
    call.message.code = call.idempotent ? coap::get : coap::post;
    call.message.messageId = static_cast<std::uint16_t>(index);
    call.message.token = { static_cast<std::uint8_t>(index), static_cast<std::uint8_t>(index >> 8U) };
    const std::string tag = "call " + std::to_string(index) + std::string(100, '.');
    call.message.payload = Bytes { tag.begin(), tag.end() };
    if (call.observes)
        call.message.addUint(coap::observe, 0);
    call.message.addUint(coap::deadline, 3000 + this->below(5000));
    call.message.addUint(coap::priority, this->below(3));
    this->calls.push_back(call);
    this->transmit(index);
    this->at(this->now + Milliseconds { 200 + this->below(800) }, [=, this] { this->newCall(caller); });
    if (this->below(40) == 0)
        this->at(this->now + Milliseconds { this->below(300) }, [=, this] {
            if (this->calls[index].done)
                return;
            CoapMessage reset;
            reset.type = CoapType::Reset;
            reset.messageId = this->calls[index].message.messageId;
            this->calls[index].done = true;
            ++this->tally.cancelled;
            this->post(Seconds { 1 }, [=, this] {
                for (std::size_t i = 0; i < this->nodes.size(); ++i) {
                    if (this->nodes[i].power == Power::Running)
                        this->owner(
                            i, CallerEmptyMessage { service, { 1, static_cast<std::uint16_t>(caller) }, reset });
                }
            });
        });
}

void World::transmit(std::size_t index)
{
    Call& call = this->calls[index];
    if (call.done || call.quiet || call.transmissions >= maxTransmissions)
        return;
    CoapMessage message = call.message;
    if (call.sendsAge)
        message.addUint(coap::age, static_cast<std::uint64_t>((this->now - call.firstSent) / Milliseconds { 1 }));
    const std::size_t node = this->below(this->nodes.size());
    const std::size_t caller = call.caller;
    this->toNode(node, latestCaller, [=, this] { this->place(node, caller, message, 0); });
    const Milliseconds wait { (2000 + this->below(1000)) << static_cast<unsigned>(call.transmissions) };
    ++call.transmissions;
    if (call.message.type == CoapType::Confirmable)
        this->at(this->now + wait, [=, this] { this->transmit(index); });
}

void World::place(std::size_t node, std::size_t caller, const CoapMessage& message, int hops)
{
    const Node& entry = this->nodes[node];
    const auto bucket = static_cast<std::uint16_t>(caller % buckets);
    const auto order = this->ranked(bucket, entry.view);
    if (order.empty() || hops > 3)
        return;
    if (order.front() != node) {
        if (entry.isWaking)
            return; // The datagram has waited too long for its age to be right.
        this->toNode(order.front(), latestHop,
            [=, this, next = order.front()] { this->place(next, caller, message, hops + 1); });
        return;
    }
    if (!entry.joined)
        return;
    RequestReceived placed { service, { 1, static_cast<std::uint16_t>(caller) }, FlowKey { caller },
        BucketIndex { bucket }, {}, std::nullopt, message };
    for (const auto& [id, info] : entry.upstreams) {
        if (info.state != upstream::UpstreamState::Lost)
            placed.candidates.push_back(id);
    }
    std::rotate(placed.candidates.begin(),
        placed.candidates.begin() + static_cast<std::ptrdiff_t>(caller % placed.candidates.size()),
        placed.candidates.end());
    if (order.size() > 1)
        placed.deputy = InstanceId { static_cast<std::uint32_t>(order[1] + 1) };
    this->owner(node, placed);
}

void World::toUpstream(std::size_t node, const Endpoint& destination, const CoapMessage& message)
{
    // Below the slot grace: a home frees the slot of a lost request that long after its deadline.
    constexpr Milliseconds longest { 800 };
    const std::size_t host = destination.port;
    if (message.isRequest() && message.uintOption(coap::observe) != 1U && this->nodes[node].wasRemoved)
        ++this->tally.staleDispatches;
    this->post(longest, [=, this, sentAt = this->now] {
        FakeUpstream& upstream = this->upstreams[host];
        if (sentAt < upstream.startedAt)
            return; // A copy that the network made before a restart is beyond any balancer.
        this->fromUpstream(host,
            upstream.receive(static_cast<std::uint32_t>(node), message, this->runs, this->random, sentAt, this->now));
    });
}

void World::fromUpstream(std::size_t upstream, const std::vector<FakeUpstream::Sent>& sent)
{
    const Endpoint from { 2, static_cast<std::uint16_t>(upstream) };
    const std::uint64_t incarnation = this->upstreams[upstream].incarnation;
    for (const auto& item : sent) {
        this->at(this->now + item.delay, [=, this] {
            if (this->upstreams[upstream].incarnation != incarnation)
                return; // The process that would have sent it is gone.
            this->toNode(item.home, Seconds { 2 }, [=, this] {
                this->home(item.home, UpstreamMessage { from, item.message });
            });
        });
    }
}

void World::toCaller(std::size_t node, std::size_t caller, const CoapMessage& message)
{
    if (message.type == CoapType::Confirmable) {
        CoapMessage acknowledgement;
        acknowledgement.type = CoapType::Acknowledgement;
        acknowledgement.messageId = message.messageId;
        const CallerEmptyMessage reply { service, { 1, static_cast<std::uint16_t>(caller) }, acknowledgement };
        this->toNode(node, Seconds { 1 }, [=, this] { this->owner(node, reply); });
    }
    if (message.code == coap::empty) {
        for (auto& call : this->calls)
            call.quiet = call.quiet || (call.caller == caller && call.message.messageId == message.messageId);
        return;
    }
    if (message.token.size() != 2)
        return;
    const std::size_t index = message.token[0] | (std::size_t { message.token[1] } << 8U);
    Call& call = this->calls.at(index);
    const bool isAnswer = message.code == coap::content;
    if (isAnswer && (call.caller != caller || message.payload != call.message.payload))
        ++this->tally.foreignAnswers;
    if (call.done) {
        this->tally.notifications += isAnswer && call.observes ? 1 : 0;
        return;
    }
    call.done = true;
    if (isAnswer)
        ++this->tally.answered;
    else if (message.uintOption(coap::outcome) == static_cast<std::uint64_t>(coap::Outcome::NotRun)) {
        ++this->tally.notRun;
        // Judged at the end, because "not run" also promises that it will not run later.
        call.quiet = true;
        call.transmissions = -1;
    } else
        ++this->tally.unknown;
}

void World::count()
{
    this->tally.requests = this->calls.size();
    for (const Call& call : this->calls) {
        const auto found = this->runs.find(textOf(call.message.payload));
        const int executions = found == this->runs.end() ? 0 : found->second;
        this->tally.silent += call.done ? 0 : 1;
        const bool isAbandoned = !call.done && !call.idempotent && call.message.type == CoapType::Confirmable;
        this->tally.abandoned += isAbandoned ? 1 : 0;
        this->tally.doubleRuns += !call.idempotent && executions > 1 ? 1 : 0;
        const bool toldNotRun = call.done && call.transmissions < 0;
        if (toldNotRun && executions > 0)
            ++(call.idempotent ? this->tally.falseNotRunIdempotent : this->tally.falseNotRun);
    }
    for (const auto& upstream : this->upstreams) {
        this->tally.slotOverruns += upstream.slotOverruns;
        this->tally.coldOverruns += upstream.coldOverruns;
        this->tally.shed += upstream.shed;
    }
    for (const Node& node : this->nodes)
        this->tally.neverEnded += node.owner->isIdle() ? 0 : 1;
}

} // namespace zinnia::request
