#include "standin/upstream_process.hpp"

#include "zinnia/runtime/logger.hpp"
#include "zinnia/wire/coap_codec.hpp"

#include <algorithm>
#include <iterator>

namespace zinnia::standin {
namespace {

    /** Resolution of service times and timers. */
    constexpr Milliseconds tickInterval { 2 };
    constexpr int maxBatchesPerTurn = 8;

} // namespace

Result<std::unique_ptr<UpstreamProcess>, StartError> UpstreamProcess::create(
    runtime::EventLoop& loop, const UpstreamSettings& settings)
{
    const auto registration = runtime::UdpSocket::bind(settings.registrationListen);
    if (!registration.has_value()) {
        runtime::log(Event::StandInListenFailed, runtime::Field { "address", settings.registrationListen },
            runtime::Field { "error", registration.error() });
        return StartError::ListenFailed;
    }
    std::unique_ptr<UpstreamProcess> process { new UpstreamProcess { loop, settings, registration.value() } };
    for (const auto& spec : settings.upstreams) {
        if (!process->addMember(spec, settings))
            return StartError::ListenFailed;
    }
    process->tick();
    return process;
}

UpstreamProcess::UpstreamProcess(
    runtime::EventLoop& loop, const UpstreamSettings& settings, runtime::UdpSocket registration)
    : loop { &loop }
    , zone { settings.zone }
    , registration { std::move(registration) }
{
    loop.watch(this->registration.descriptor(), true, false, [this](auto) { this->receiveRegistrationAnswers(); });
}

UpstreamProcess::~UpstreamProcess()
{
    this->loop->cancel(this->timer);
    this->loop->unwatch(this->registration.descriptor());
    for (const auto& member : this->members)
        this->loop->unwatch(member->socket.descriptor());
}

bool UpstreamProcess::addMember(const UpstreamSpec& spec, const UpstreamSettings& settings)
{
    const auto socket = runtime::UdpSocket::bind(spec.address);
    if (!socket.has_value()) {
        runtime::log(Event::StandInListenFailed, runtime::Field { "address", spec.address },
            runtime::Field { "error", socket.error() });
        return false;
    }
    const auto index = static_cast<std::uint32_t>(this->members.size());
    auto& member
        = *this->members.emplace_back(std::make_unique<Member>(Member { EmulatedUpstream { spec, this->loop->now() },
            Registrar { { settings.entries, settings.lifetime, index } }, socket.value() }));
    return this->loop->watch(
        socket.value().descriptor(), true, false, [this, &member](auto) { this->receive(member); });
}

void UpstreamProcess::tick()
{
    const TimePoint now = this->loop->now();
    for (const auto& member : this->members) {
        this->send(member->socket.descriptor(), member->upstream.tick(now));
        if (!member->registering)
            continue;
        if (const auto message = member->registrar.tick(this->announcementOf(*member), now))
            this->send(this->registration.descriptor(), { *message });
    }
    this->sender.flush();
    this->timer = this->loop->schedule(tickInterval, [this] { this->tick(); });
}

void UpstreamProcess::receive(Member& member)
{
    const TimePoint now = this->loop->now();
    for (int batch = 0; batch < maxBatchesPerTurn; ++batch) {
        const auto datagrams = this->receiver.receive(member.socket.descriptor());
        if (datagrams.empty())
            break;
        for (const auto& datagram : datagrams)
            this->send(member.socket.descriptor(), member.upstream.handle(datagram.source, datagram.bytes, now));
        this->sender.flush();
    }
}

void UpstreamProcess::receiveRegistrationAnswers()
{
    for (const auto& datagram : this->receiver.receive(this->registration.descriptor())) {
        const auto answer = wire::decodeCoap(datagram.bytes);
        if (!answer.has_value()) {
            runtime::log(Event::CoapMessageRefused, runtime::Field { "source", datagram.source },
                runtime::Field { "error", answer.error() });
            continue;
        }
        const auto index = Registrar::indexOf(answer.value().token);
        if (!index || *index >= this->members.size())
            continue;
        Member& member = *this->members[*index];
        const std::uint64_t refusedBefore = member.registrar.refused();
        if (member.registrar.handle(answer.value(), this->loop->now()) && member.registrar.refused() != refusedBefore)
            runtime::log(Event::EmulatedRegistrationRefused, runtime::Field { "upstream", member.upstream.spec().name },
                runtime::Field { "entry", datagram.source },
                runtime::Field { "reason", answer.value().uintOption(coap::reason).value_or(0) });
    }
}

void UpstreamProcess::send(int descriptor, const std::vector<Outgoing>& datagrams)
{
    for (const auto& datagram : datagrams)
        this->sender.add(descriptor, datagram.destination, {}, datagram.bytes);
}

Announcement UpstreamProcess::announcementOf(Member& member) const
{
    const UpstreamSpec& spec = member.upstream.spec();
    const UpstreamReport report = member.upstream.report(this->loop->now());
    return { spec.name, spec.service, this->zone, spec.address, spec.incarnation, spec.slots, spec.connections,
        report.load, report.healthy, member.upstream.isDraining() };
}

void UpstreamProcess::removeRegistrations()
{
    for (const auto& member : this->members) {
        this->send(this->registration.descriptor(), { member->registrar.removal(this->announcementOf(*member)) });
        member->registering = false;
    }
    this->sender.flush();
}

} // namespace zinnia::standin
