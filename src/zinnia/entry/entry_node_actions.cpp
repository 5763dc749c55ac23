#include "zinnia/core/hash.hpp"
#include "zinnia/entry/entry_node.hpp"
#include "zinnia/flow/placement.hpp"
#include "zinnia/membership/rendezvous.hpp"

#include <algorithm>
#include <utility>

namespace zinnia::entry {

namespace {

    /** Max-Age option of a refusal: time after which a caller may retry. Unit: seconds. */
    constexpr std::uint64_t refusalMaxAge = 1;

} // namespace

void EntryNode::runMembership(const membership::Input& input)
{
    for (const auto& action : this->membership.handle(input, this->now))
        std::visit([this](const auto& alternative) { this->perform(alternative); }, action);
}

void EntryNode::runFlow(const flow::Input& input)
{
    // Performing an action of the flow engine never calls the engine again, so all calls share one buffer.
    this->flowActions.clear();
    this->flowEngine.handle(input, this->now, this->flowActions);
    this->performFlowActions();
}

void EntryNode::performFlowActions()
{
    for (const auto& action : this->flowActions)
        std::visit([this](const auto& alternative) { this->perform(alternative); }, action);
}

void EntryNode::runRegistry(const upstream::RegistryEvent& event)
{
    for (const auto& action : this->registry.handle(event, this->now))
        std::visit([this](const auto& alternative) { this->perform(alternative); }, action);
}

void EntryNode::runOwner(const request::OwnerEvent& event)
{
    for (const auto& action : this->requestOwner.handle(event, this->now))
        std::visit([this](const auto& alternative) { this->perform(alternative); }, action);
}

void EntryNode::runHome(const request::HomeEvent& event)
{
    for (const auto& action : this->requestHome.handle(event, this->now))
        std::visit([this](const auto& alternative) { this->perform(alternative); }, action);
}

void EntryNode::perform(const membership::SendHeartbeat& action) { this->sendToPeer(action.to, action.heartbeat); }

void EntryNode::perform(const membership::ViewChanged& action)
{
    const membership::View before = std::exchange(this->lastView, action.view);
    this->runFlow(flow::ViewChanged { action.view });
    std::vector<request::PeerProcess> owners;
    for (const membership::Member& member : action.view.members) {
        owners.push_back({ member.id, member.epoch });
        const membership::Member* known = membership::findMember(before, member.id);
        const bool started = !known || known->epoch != member.epoch;
        if (started && member.zone == this->settings.zone && member.id != this->settings.self)
            this->runRegistry(upstream::PeerStarted { member.id });
    }
    for (const membership::Member& member : before.members) {
        const membership::Member* still = membership::findMember(action.view, member.id);
        if (!still || still->epoch != member.epoch)
            this->runOwner(request::PeerLost { { member.id, member.epoch } });
    }
    this->runHome(request::LiveEntriesReplaced { std::move(owners) });
    this->updateOwnership();
    this->assignHomes(true);
}

void EntryNode::perform(const membership::FetchConfiguration& action)
{
    this->outputActions->emplace_back(FetchConfiguration { action.from });
}

void EntryNode::perform(const membership::ReportEvent& action)
{
    this->outputActions->emplace_back(Report { action.event, action.instance, {}, 0, {} });
}

void EntryNode::perform(const flow::SendToUpstream& action)
{
    this->outputActions->emplace_back(SendToUpstream { action.endpoint, action.localPort, action.payload });
}

void EntryNode::perform(const flow::SendToCaller& action)
{
    if (const config::Service* service = this->serviceById(action.service))
        this->outputActions->emplace_back(SendToCaller { action.caller, service->address, action.payload, {} });
}

void EntryNode::perform(const flow::SendToPeer& action)
{
    std::visit([this, &action](const auto& message) { this->sendToPeer(action.to, message); }, action.message);
}

void EntryNode::perform(const flow::DeliverRequestPacket& action)
{
    auto message = this->codec->decode(action.payload);
    if (!message) {
        this->outputActions->emplace_back(CountRefusal { RefusalReason::Malformed });
        return;
    }
    if (message->isRequest())
        this->submitRequest(action, std::move(*message));
    else
        this->runOwner(request::CallerEmptyMessage { action.service, action.caller, std::move(*message) });
}

void EntryNode::perform(const flow::Refuse& action)
{
    this->outputActions->emplace_back(CountRefusal { action.reason });
    const config::Service* service = this->serviceById(action.service);
    if (!service || service->mode != config::ServiceMode::Request)
        return;
    auto message = this->codec->decode(action.payload);
    if (!message || !message->isRequest())
        return;
    const bool decidedByOwner = action.reason == RefusalReason::NoUpstream
        || action.reason == RefusalReason::FlowTableFull || action.reason == RefusalReason::UpstreamConnectionsFull
        || action.reason == RefusalReason::ColdStartLimit;
    // Only the owner's table of request keys shows whether an earlier copy of the request was executed.
    if (decidedByOwner)
        this->submitRequest({ action.service, action.caller, this->flowEngine.keyOf(action.service, action.caller), {},
                                {}, action.payload },
            std::move(*message));
    else
        this->answerUnknownOutcome(action, *message);
}

void EntryNode::perform(const flow::ReportEvent& action)
{
    this->outputActions->emplace_back(Report { action.event, action.peer, {}, action.count, {} });
}

void EntryNode::perform(const upstream::AnswerRegistration& action)
{
    if (auto bytes = this->codec->encode(action.message))
        this->outputActions->emplace_back(SendRegistrationAnswer { action.destination, std::move(*bytes) });
}

void EntryNode::perform(const upstream::SendUpdate& action)
{
    if (action.peer) {
        this->sendToPeer(*action.peer, action.update);
        return;
    }
    for (const membership::Member& member : this->membership.view().members) {
        if (member.zone == this->settings.zone && member.id != this->settings.self)
            this->sendToPeer(member.id, action.update);
    }
}

void EntryNode::perform(const upstream::UpstreamsChanged& action)
{
    std::vector<upstream::UpstreamInfo> all = this->registry.upstreams();
    this->acceptingUpstreams.clear();
    for (const upstream::UpstreamInfo& info : all) {
        if (flow::acceptsNewFlows(info))
            this->acceptingUpstreams[info.service].push_back(info.id);
    }
    this->updateUpstreams(action);
    this->runFlow(flow::UpstreamsChanged { std::move(all) });
}

void EntryNode::updateOwnership()
{
    OwnershipChange change = this->ownership.update(*this->activeConfiguration, this->membership.view());
    for (OwnedBuckets& lost : change.lost)
        this->runOwner(request::OwnershipLost { lost.service, std::move(lost.buckets), std::move(lost.otherOwners) });
    for (OwnedBuckets& gained : change.gained) {
        std::erase_if(gained.otherOwners,
            [this](const auto& previous) { return !membership::findMember(this->membership.view(), previous.second); });
        this->runOwner(
            request::OwnershipTaken { gained.service, std::move(gained.buckets), std::move(gained.otherOwners) });
    }
    for (BucketDeputies& changed : change.deputies)
        this->runOwner(request::DeputiesChanged { changed.service, std::move(changed.deputies) });
}

void EntryNode::updateUpstreams(const upstream::UpstreamsChanged& change)
{
    request::UpstreamsUpdated update { change.changed, change.removed };
    // The request layer must not send packets to the upstreams of a withdrawn zone; they are reported as removed.
    if (this->withdrawn) {
        for (const upstream::UpstreamInfo& info : change.changed)
            update.removed.push_back(info.id);
        update.changed.clear();
    }
    this->runHome(update);
    this->runOwner(update);
    this->assignHomes(false);
}

bool EntryNode::isWithdrawn() const noexcept
{
    for (const config::Zone& zone : this->activeConfiguration->zones) {
        if (zone.id == this->settings.zone)
            return zone.state == config::ZoneState::Withdrawn;
    }
    return false;
}

void EntryNode::perform(const upstream::LogUpstream& action)
{
    if (action.reason != RefusalReason::None)
        this->outputActions->emplace_back(CountRefusal { action.reason });
    this->outputActions->emplace_back(
        Report { action.event, {}, action.address, action.upstream.value, action.reason });
}

void EntryNode::perform(const request::SendToCaller& action)
{
    const config::Service* service = this->serviceById(action.service);
    auto bytes = this->codec->encode(action.message);
    if (service && bytes)
        this->outputActions->emplace_back(SendToCaller { action.caller, service->address, {}, std::move(*bytes) });
}

void EntryNode::perform(const request::SendToPeer& action)
{
    std::visit([this, &action](const auto& message) { this->sendToPeer(action.peer, message); }, action.message);
}

void EntryNode::perform(const request::RequestEnded& action)
{
    if (action.reason != RefusalReason::None)
        this->outputActions->emplace_back(CountRefusal { action.reason });
}

void EntryNode::perform(const request::RequestRetried& action)
{
    this->outputActions->emplace_back(CountRetry { action.reason });
}

void EntryNode::perform(const request::LogOwnerEvent& action)
{
    this->outputActions->emplace_back(Report { action.event, {}, action.caller, 0, action.reason });
}

void EntryNode::perform(const request::SendToUpstream& action)
{
    // No packet goes to a withdrawn zone, including acknowledgements and deregistrations of observations.
    if (this->withdrawn)
        return;
    if (auto bytes = this->codec->encode(action.message))
        this->outputActions->emplace_back(SendRequestPacket { action.destination, std::move(*bytes) });
}

void EntryNode::perform(const request::SendResult& action) { this->sendToPeer(action.owner, action.result); }

void EntryNode::perform(const request::ReportHealthSignal& action)
{
    this->runRegistry(upstream::HealthSignalReceived { action.upstream, action.signal });
}

void EntryNode::perform(const request::LogHomeEvent& action)
{
    this->outputActions->emplace_back(Report { action.event, {}, {}, action.upstream.value, action.reason });
}

void EntryNode::sendToPeer(InstanceId to, PeerMessage message)
{
    if (to == this->settings.self)
        this->localMessages.push_back(std::move(message));
    else
        this->outputActions->emplace_back(SendToPeer { to, std::move(message) });
}

void EntryNode::submitRequest(const flow::DeliverRequestPacket& packet, CoapMessage message)
{
    const config::Service* service = this->serviceById(packet.service);
    if (!service)
        return;
    request::RequestReceived received;
    received.service = packet.service;
    received.caller = packet.caller;
    received.flow = packet.key;
    received.bucket = bucketOf(packet.key, service->buckets);
    received.candidates = this->candidatesFor(packet);
    if (packet.deputy.value != 0)
        received.deputy = packet.deputy;
    received.message = std::move(message);
    this->runOwner(received);
}

void EntryNode::answerUnknownOutcome(const flow::Refuse& refused, const CoapMessage& message)
{
    CoapMessage answer;
    answer.type = message.type == CoapType::Confirmable ? CoapType::Acknowledgement : CoapType::NonConfirmable;
    answer.code = coap::serviceUnavailable;
    answer.messageId = message.messageId;
    answer.token = message.token;
    answer.addUint(coap::maxAge, refusalMaxAge);
    answer.addUint(coap::outcome, static_cast<std::uint64_t>(coap::Outcome::Unknown));
    answer.addUint(coap::reason, static_cast<std::uint64_t>(refused.reason));
    this->perform(request::SendToCaller { refused.service, refused.caller, std::move(answer) });
}

void EntryNode::assignHomes(bool afterViewChange)
{
    std::map<UpstreamId, request::PeerProcess> assigned;
    std::map<UpstreamId, bool> own;
    for (const upstream::UpstreamInfo& info : this->registry.upstreams()) {
        if (this->withdrawn || info.zone != this->settings.zone || info.state == upstream::UpstreamState::Lost)
            continue;
        const InstanceId id = membership::homeOf(this->lastView, this->settings.zone, info.id);
        const membership::Member* member = membership::findMember(this->lastView, id);
        assigned[info.id] = member ? request::PeerProcess { id, member->epoch } : request::PeerProcess {};
        if (!member || id != this->settings.self)
            continue;
        const auto before = this->homedUpstreams.find(info.id);
        // An upstream that is new under an unchanged view has had no other home.
        const bool known = this->upstreamHomes.contains(info.id);
        own[info.id] = before != this->homedUpstreams.end() ? before->second : (afterViewChange || known);
    }
    if (own != this->homedUpstreams) {
        this->homedUpstreams = own;
        std::vector<request::HomeAssignment> assignments;
        std::vector<UpstreamId> ids;
        for (const auto& [id, inherited] : own) {
            assignments.push_back({ id, inherited });
            ids.push_back(id);
        }
        this->runHome(request::HomeAssignmentsReplaced { std::move(assignments) });
        this->runRegistry(upstream::HomesAssigned { std::move(ids) });
    }
    const auto before = std::exchange(this->upstreamHomes, std::move(assigned));
    for (const auto& [id, home] : this->upstreamHomes) {
        const auto known = before.find(id);
        if (known != before.end() && known->second == home)
            continue;
        const auto ref = home.instance.value != 0 ? std::optional { home } : std::nullopt;
        this->runOwner(request::HomeChanged { id, ref });
    }
    for (const auto& [id, home] : before) {
        if (!this->upstreamHomes.contains(id))
            this->runOwner(request::HomeChanged { id, std::nullopt });
    }
}

std::vector<UpstreamId> EntryNode::candidatesFor(const flow::DeliverRequestPacket& packet) const
{
    if (packet.upstream.value == 0)
        return {};
    std::vector<UpstreamId> candidates { packet.upstream };
    const auto found = this->acceptingUpstreams.find(packet.service);
    if (found == this->acceptingUpstreams.end())
        return candidates;
    for (const UpstreamId id : found->second) {
        if (id != packet.upstream)
            candidates.push_back(id);
    }
    // The order of the other candidates depends on the flow key, which spreads retries over the upstreams.
    std::sort(candidates.begin() + 1, candidates.end(), [&packet](UpstreamId left, UpstreamId right) {
        return hashOf(packet.key.value, left.value) < hashOf(packet.key.value, right.value);
    });
    return candidates;
}

const config::Service* EntryNode::serviceById(ServiceId id) const noexcept
{
    for (const config::Service& service : this->activeConfiguration->services) {
        if (service.id == id)
            return &service;
    }
    return nullptr;
}

} // namespace zinnia::entry
