#include "simulation.hpp"

#include <algorithm>

namespace zinnia::request {

namespace {

    constexpr ServiceId service { 1 };
    constexpr std::uint32_t buckets = 16;
    constexpr int maxTransmissions = 5;
    // The sum is less than `OwnerSettings::ageMargin`, the bound of how far the stated age of a request may be behind.
    constexpr Milliseconds maxCallerDelay { 150 };
    constexpr Milliseconds maxHopDelay { 50 };

} // namespace

void Simulation::sendNewRequest(std::size_t caller)
{
    if (this->now >= this->faultsEndAt)
        return;
    const std::size_t index = this->requests.size();
    CallerRequest call;
    call.caller = caller;
    const auto kind = this->randomBelow(20);
    call.observes = kind == 0;
    call.idempotent = kind < 9;
    call.sendsAge = caller % 4 != 0;
    call.firstSent = this->now;
    call.message.type = this->randomBelow(5) == 0 ? CoapType::NonConfirmable : CoapType::Confirmable;
    call.message.code = call.idempotent ? coap::get : coap::post;
    call.message.messageId = static_cast<std::uint16_t>(index);
    call.message.token = { static_cast<std::uint8_t>(index), static_cast<std::uint8_t>(index >> 8U) };
    const std::string tag = "call " + std::to_string(index) + std::string(100, '.');
    call.message.payload = Bytes { tag.begin(), tag.end() };
    if (call.observes)
        call.message.addUint(coap::observe, 0);
    call.message.addUint(coap::deadline, 3000 + this->randomBelow(5000));
    call.message.addUint(coap::priority, this->randomBelow(3));
    this->requests.push_back(call);
    this->transmit(index);
    this->schedule(
        this->now + Milliseconds { 200 + this->randomBelow(800) }, [=, this] { this->sendNewRequest(caller); });
    if (this->randomBelow(40) == 0)
        this->schedule(this->now + Milliseconds { this->randomBelow(300) }, [=, this] {
            if (this->requests[index].done)
                return;
            CoapMessage reset;
            reset.type = CoapType::Reset;
            reset.messageId = this->requests[index].message.messageId;
            this->requests[index].done = true;
            ++this->counters.cancelled;
            this->sendDatagram(Seconds { 1 }, [=, this] {
                for (std::size_t i = 0; i < this->nodes.size(); ++i) {
                    if (this->nodes[i].state == NodeState::Running)
                        this->handleOwnerEvent(
                            i, CallerEmptyMessage { service, { 1, static_cast<std::uint16_t>(caller) }, reset });
                }
            });
        });
}

void Simulation::transmit(std::size_t index)
{
    CallerRequest& call = this->requests[index];
    if (call.done || call.retransmissionsStopped || call.transmissions >= maxTransmissions)
        return;
    CoapMessage message = call.message;
    if (call.sendsAge)
        message.addUint(coap::age, static_cast<std::uint64_t>((this->now - call.firstSent) / Milliseconds { 1 }));
    const std::size_t node = this->randomBelow(this->nodes.size());
    const std::size_t caller = call.caller;
    this->sendToNode(node, maxCallerDelay, [=, this] { this->receiveRequest(node, caller, message, 0); });
    const Milliseconds wait { (2000 + this->randomBelow(1000)) << static_cast<unsigned>(call.transmissions) };
    ++call.transmissions;
    if (call.message.type == CoapType::Confirmable)
        this->schedule(this->now + wait, [=, this] { this->transmit(index); });
}

void Simulation::receiveRequest(std::size_t node, std::size_t caller, const CoapMessage& message, int hops)
{
    const Node& entry = this->nodes[node];
    const auto bucket = static_cast<std::uint16_t>(caller % buckets);
    const auto order = this->rankedEntries(bucket, entry.view);
    if (order.empty() || hops > 3)
        return;
    if (order.front() != node) {
        if (entry.isDrainingInbox)
            return; // The datagram was queued during the pause, so its stated age is out of date.
        this->sendToNode(order.front(), maxHopDelay,
            [=, this, next = order.front()] { this->receiveRequest(next, caller, message, hops + 1); });
        return;
    }
    if (!entry.joined)
        return;
    RequestReceived received { service, { 1, static_cast<std::uint16_t>(caller) }, FlowKey { caller },
        BucketIndex { bucket }, {}, std::nullopt, message };
    for (const auto& [id, info] : entry.upstreams) {
        if (info.state != upstream::UpstreamState::Lost)
            received.candidates.push_back(id);
    }
    std::rotate(received.candidates.begin(),
        received.candidates.begin() + static_cast<std::ptrdiff_t>(caller % received.candidates.size()),
        received.candidates.end());
    if (order.size() > 1)
        received.deputy = InstanceId { static_cast<std::uint32_t>(order[1] + 1) };
    this->handleOwnerEvent(node, received);
}

void Simulation::sendToUpstream(std::size_t node, const Endpoint& destination, const CoapMessage& message)
{
    // Less than `HomeSettings::slotReleaseDelay`, after which a home frees the slot of a lost request.
    constexpr Milliseconds maxDelay { 800 };
    const std::size_t host = destination.port;
    if (message.isRequest() && message.uintOption(coap::observe) != 1U && this->nodes[node].isRemoved)
        ++this->counters.staleDispatches;
    this->sendDatagram(maxDelay, [=, this, sentAt = this->now] {
        FakeUpstream& upstream = this->upstreams[host];
        if (sentAt < upstream.startedAt)
            return; // No load balancer can prevent the network from delivering a copy from before a restart.
        this->sendFromUpstream(host,
            upstream.receive(
                static_cast<std::uint32_t>(node), message, this->executions, this->random, sentAt, this->now));
    });
}

void Simulation::sendFromUpstream(std::size_t upstream, const std::vector<FakeUpstream::OutgoingMessage>& sent)
{
    const Endpoint from { 2, static_cast<std::uint16_t>(upstream) };
    const std::uint64_t incarnation = this->upstreams[upstream].incarnation;
    for (const auto& item : sent) {
        this->schedule(this->now + item.delay, [=, this] {
            if (this->upstreams[upstream].incarnation != incarnation)
                return; // The process that would have sent it has been restarted.
            this->sendToNode(item.home, Seconds { 2 }, [=, this] {
                this->handleHomeEvent(item.home, UpstreamMessage { from, item.message });
            });
        });
    }
}

void Simulation::deliverToCaller(std::size_t node, std::size_t caller, const CoapMessage& message)
{
    if (message.type == CoapType::Confirmable) {
        CoapMessage acknowledgement;
        acknowledgement.type = CoapType::Acknowledgement;
        acknowledgement.messageId = message.messageId;
        const CallerEmptyMessage reply { service, { 1, static_cast<std::uint16_t>(caller) }, acknowledgement };
        this->sendToNode(node, Seconds { 1 }, [=, this] { this->handleOwnerEvent(node, reply); });
    }
    if (message.code == coap::empty) {
        for (auto& call : this->requests)
            call.retransmissionsStopped
                = call.retransmissionsStopped || (call.caller == caller && call.message.messageId == message.messageId);
        return;
    }
    if (message.token.size() != 2)
        return;
    const std::size_t index = message.token[0] | (std::size_t { message.token[1] } << 8U);
    CallerRequest& call = this->requests.at(index);
    const bool isAnswer = message.code == coap::content;
    if (isAnswer && (call.caller != caller || message.payload != call.message.payload))
        ++this->counters.misdirectedAnswers;
    if (call.done) {
        this->counters.notifications += isAnswer && call.observes ? 1 : 0;
        return;
    }
    call.done = true;
    if (isAnswer)
        ++this->counters.answered;
    else if (message.uintOption(coap::outcome) == static_cast<std::uint64_t>(coap::Outcome::NotRun)) {
        ++this->counters.notRun;
        // Checked at the end of the run, because "not run" also means that the request will not run later.
        call.retransmissionsStopped = true;
        call.transmissions = -1;
    } else
        ++this->counters.unknown;
}

void Simulation::countOutcomes()
{
    this->counters.requests = this->requests.size();
    for (const CallerRequest& call : this->requests) {
        const auto found = this->executions.find(textOf(call.message.payload));
        const int executions = found == this->executions.end() ? 0 : found->second;
        this->counters.unanswered += call.done ? 0 : 1;
        const bool isUnanswered = !call.done && !call.idempotent && call.message.type == CoapType::Confirmable;
        this->counters.unansweredNonIdempotent += isUnanswered ? 1 : 0;
        this->counters.doubleRuns += !call.idempotent && executions > 1 ? 1 : 0;
        const bool isReportedNotRun = call.done && call.transmissions < 0;
        if (isReportedNotRun && executions > 0)
            ++(call.idempotent ? this->counters.falseNotRunIdempotent : this->counters.falseNotRun);
    }
    for (const auto& upstream : this->upstreams) {
        this->counters.slotOverruns += upstream.slotOverruns;
        this->counters.coldOverruns += upstream.coldOverruns;
        this->counters.silentColdRefusals += upstream.silentColdRefusals;
    }
    for (const Node& node : this->nodes)
        this->counters.neverEnded += node.owner->isIdle() ? 0 : 1;
}

} // namespace zinnia::request
