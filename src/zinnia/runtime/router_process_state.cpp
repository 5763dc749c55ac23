#include "zinnia/runtime/logger.hpp"
#include "zinnia/runtime/router_process.hpp"

namespace zinnia::runtime {

void RouterProcess::requestState(feed::StateSubject subject, InstanceId control, std::uint64_t revision)
{
    this->sendPartsRequest(this->transferOf(subject).offer(control, revision, this->loop->now()));
}

void RouterProcess::sendPartsRequest(const std::optional<feed::OutgoingPartsRequest>& request)
{
    if (!request)
        return;
    const std::size_t size = this->link->send(request->control, wire::MessageKind::StatePartsRequest, request->request);
    this->linkPacer.recordSent(size, this->loop->now());
}

void RouterProcess::receiveStatePart(const wire::OpenedMessage& message)
{
    const auto part = wire::decode<feed::StatePart>(message.body);
    if (!part || static_cast<std::size_t>(part.value().subject) >= this->stateTransfers.size()) {
        log(Event::MessageRefused, Field { "reason", RefusalReason::Malformed });
        return;
    }
    const feed::StateSubject subject = part.value().subject;
    this->sendPartsRequest(this->transferOf(subject).receive(message.sender, part.value(), this->loop->now()));
    this->finishTransfer(subject, message.sender);
}

void RouterProcess::finishTransfer(feed::StateSubject subject, InstanceId control)
{
    const auto bytes = this->transferOf(subject).takeState();
    if (!bytes)
        return;
    if (subject == feed::StateSubject::Routing) {
        if (const auto state = wire::decode<feed::RoutingState>(*bytes))
            return this->adopt(state.value(), control);
    } else if (const auto facts = wire::decode<load::RouteFacts>(*bytes)) {
        return this->router.setRouteFacts(facts.value());
    }
    log(Event::MessageRefused, Field { "reason", RefusalReason::Malformed });
}

void RouterProcess::adopt(const feed::RoutingState& state, InstanceId control)
{
    const bool isNew = this->router.adopt(state, this->loop->now());
    this->transferOf(feed::StateSubject::Routing).discardUpTo(this->router.state().revision);
    if (!isNew)
        return;
    log(Event::RoutesAdopted, Field { "revision", state.revision }, Field { "version", state.version },
        Field { "routes", state.routes.size() }, Field { "withdrawn_zones", state.withdrawnZones.size() },
        Field { "control", control });
}

} // namespace zinnia::runtime
