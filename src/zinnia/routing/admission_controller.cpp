#include "zinnia/routing/admission_controller.hpp"

#include <algorithm>

namespace zinnia::routing {

void AdmissionController::recordReply(const std::string& service, std::uint32_t inFlight)
{
    this->serviceOf(service).inFlightAtReply = inFlight;
}

std::uint32_t AdmissionController::inFlightAtReply(const std::string& service) const
{
    const auto found = this->services.find(service);
    return found == this->services.end() ? 0 : found->second.inFlightAtReply;
}

std::optional<AdmissionVerdict> AdmissionController::handleRetransmission(const FlowPacket& packet, TimePoint now)
{
    if (this->refusals.contains(packet, now))
        return AdmissionVerdict::Refuse;
    const FlowId id { packet.caller, packet.service };
    for (auto& [name, service] : this->services) {
        WaitingOpening* waiting = service.queue.find(id);
        if (waiting == nullptr)
            continue;
        waiting->packet = packet;
        return AdmissionVerdict::Wait;
    }
    return std::nullopt;
}

AdmissionVerdict AdmissionController::handleOpening(const std::string& name, const FlowPacket& packet,
    const load::RouteFact* fact, const ServiceRoom& room, TimePoint now)
{
    Service& service = this->serviceOf(name);
    ++service.openings;
    const bool isFree = hasRoom(room);
    if (isFree && (service.queue.isEmpty() || service.queue.isFull()))
        return AdmissionVerdict::Admit;
    if (!isFree && fact != nullptr && hasUrgentRoom(room, *fact))
        return AdmissionVerdict::Admit;
    const WaitingOpening opening = this->makeOpening(packet, fact, now);
    const Microseconds wait = expectedWait(room, service.queue.countAhead(opening));
    const Microseconds timeLeft = opening.timeLeft(this->answerTimeOf(room), now);
    if (!isFree && (timeLeft < Microseconds { 0 } || wait > timeLeft * this->settings.maxExpectedWait / 100)) {
        this->recordRefusal(service, opening, now);
        return AdmissionVerdict::Refuse;
    }
    const auto displaced = service.queue.add(opening);
    if (!displaced)
        return AdmissionVerdict::Wait;
    this->recordRefusal(service, *displaced, now);
    if (displaced->id() == opening.id())
        return AdmissionVerdict::Refuse;
    this->ended.push_back({ *displaced, PacketAction::Reset, RoutingReason::Overloaded, name });
    return AdmissionVerdict::Wait;
}

bool AdmissionController::giveUp(const FlowId& id)
{
    for (auto& [name, service] : this->services) {
        if (const auto removed = service.queue.remove(id)) {
            this->ended.push_back({ *removed, PacketAction::Drop, RoutingReason::None, name });
            return true;
        }
    }
    return false;
}

std::optional<AdmissionRelease> AdmissionController::takeNext(
    const std::string& name, const ServiceRoom& room, TimePoint now)
{
    Service& service = this->serviceOf(name);
    const AnswerTime answer = this->answerTimeOf(room);
    // With room for all, an overdue opening is still sent: a late answer is worth more than a refusal.
    if (hasRoom(room)) {
        const auto next = service.queue.takeNext(answer, now);
        return next ? std::optional { AdmissionRelease { *next, PacketAction::Forward, RoutingReason::None, name } }
                    : std::nullopt;
    }
    const auto overdue = service.queue.takeOverdue(answer, now);
    if (!overdue)
        return std::nullopt;
    this->recordRefusal(service, *overdue, now);
    return AdmissionRelease { *overdue, PacketAction::Reset, RoutingReason::WaitedTooLong, name };
}

std::vector<std::string> AdmissionController::waitingServices() const
{
    std::vector<std::string> names;
    for (const auto& [name, service] : this->services) {
        if (!service.queue.isEmpty())
            names.push_back(name);
    }
    std::sort(names.begin(), names.end());
    return names;
}

std::uint32_t AdmissionController::waiting(const std::string& service) const
{
    const auto found = this->services.find(service);
    return found == this->services.end() ? 0 : static_cast<std::uint32_t>(found->second.queue.size());
}

std::size_t AdmissionController::waiting() const
{
    std::size_t sum = 0;
    for (const auto& [name, service] : this->services)
        sum += service.queue.size();
    return sum;
}

std::uint32_t AdmissionController::takeOpenings(const std::string& service)
{
    return std::exchange(this->serviceOf(service).openings, 0);
}

std::uint32_t AdmissionController::takeRefused(const std::string& service)
{
    return std::exchange(this->serviceOf(service).refused, 0);
}

AdmissionController::Service& AdmissionController::serviceOf(const std::string& name)
{
    return this->services.try_emplace(name, Service { OpeningQueue { this->settings.queue } }).first->second;
}

WaitingOpening AdmissionController::makeOpening(
    const FlowPacket& packet, const load::RouteFact* fact, TimePoint now) const
{
    Microseconds objective = this->settings.defaultObjective;
    if (fact != nullptr && fact->latencyObjective > Milliseconds { 0 })
        objective = fact->latencyObjective;
    else if (fact != nullptr && fact->timeout > Milliseconds { 0 })
        objective = std::min<Microseconds>(
            Microseconds { fact->timeout } / this->settings.timeoutDivisor, this->settings.defaultObjective);
    WaitingOpening opening;
    opening.packet = packet;
    opening.priority = fact == nullptr ? 0 : fact->priority;
    opening.arrivedAt = now;
    opening.objectiveEnd = now + objective;
    opening.waitEnd = now + this->settings.maxWait;
    return opening;
}

AnswerTime AdmissionController::answerTimeOf(const ServiceRoom& room) const
{
    return { expectedAnswerTime(room), this->settings.answerTimeFactor, this->settings.maxAnswerReserve };
}

void AdmissionController::recordRefusal(Service& service, const WaitingOpening& opening, TimePoint now)
{
    ++service.refused;
    this->refusals.add(opening.packet, now);
}

} // namespace zinnia::routing
