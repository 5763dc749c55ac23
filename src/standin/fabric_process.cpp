#include "standin/fabric_process.hpp"

#include "zinnia/runtime/logger.hpp"
#include "zinnia/wire/proxy_protocol.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>

namespace zinnia::standin {
namespace {

    /** Maximum of batches read from one socket before the others are served. */
    constexpr int maxBatchesPerTurn = 8;
    constexpr int socketBufferBytes = 4 << 20;

    bool connectTo(const runtime::UdpSocket& socket, const Endpoint& peer)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(peer.port);
        address.sin_addr.s_addr = htonl(peer.address);
        return ::connect(socket.descriptor(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    }

    /** Queues each refusal; otherwise the next send of the same batch would consume the error without reporting it. */
    bool queueErrors(const runtime::UdpSocket& socket)
    {
        const int on = 1;
        return ::setsockopt(socket.descriptor(), IPPROTO_IP, IP_RECVERR, &on, sizeof(on)) == 0;
    }

    bool drainErrors(int descriptor)
    {
        int error = 0;
        socklen_t size = sizeof(error);
        bool found = ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error != 0;
        msghdr message {};
        while (::recvmsg(descriptor, &message, MSG_ERRQUEUE | MSG_DONTWAIT) >= 0) {
            found = true;
            message = {};
        }
        return found;
    }

} // namespace

Result<std::unique_ptr<FabricProcess>, StartError> FabricProcess::create(
    runtime::EventLoop& loop, const FabricSettings& settings)
{
    std::unique_ptr<FabricProcess> process { new FabricProcess { loop, settings } };
    if (!process->openSockets(settings))
        return StartError::ListenFailed;
    return process;
}

FabricProcess::FabricProcess(runtime::EventLoop& loop, const FabricSettings& settings)
    : loop { &loop }
    , delayLine { loop }
    , choice { settings.choice, settings.seed, settings.entries }
    , links { settings.seed + 1 }
    , networks { settings.networks }
{
    for (const auto& link : settings.links)
        this->links.set(link.key.first, link.key.second, link.rule);
}

FabricProcess::~FabricProcess()
{
    for (const auto& socket : this->watched)
        this->loop->unwatch(socket.descriptor());
}

bool FabricProcess::openSockets(const FabricSettings& settings)
{
    bool succeeded = true;
    const auto open = [&succeeded](const Endpoint& address) -> std::optional<runtime::UdpSocket> {
        auto socket = runtime::UdpSocket::bind(address, socketBufferBytes);
        if (socket.has_value())
            return socket.value();
        runtime::log(Event::StandInListenFailed, runtime::Field { "address", address },
            runtime::Field { "error", socket.error() });
        succeeded = false;
        return std::nullopt;
    };
    this->answers = open(settings.entryListen);
    if (this->answers)
        succeeded = this->watch(
                        *this->answers, [this] { this->fromEntries(this->answers->descriptor()); }, [] {})
            && succeeded;
    for (const auto& service : settings.services) {
        const auto socket = open(service.address);
        if (!socket)
            continue;
        auto& port = *this->services.emplace_back(std::make_unique<ServicePort>(ServicePort { service, *socket }));
        succeeded = this->watch(
                        *socket, [this, &port] { this->fromCallers(port); }, [] {})
            && succeeded;
    }
    // Each entry has a connected socket, because the kernel reports a refusal only on a connected socket.
    for (const auto& entry : settings.entries) {
        const auto socket = open({ settings.entryListen.address, 0 });
        if (!socket || !connectTo(*socket, entry.address) || !queueErrors(*socket))
            return false;
        auto& port = *this->entries.emplace_back(std::make_unique<EntryPort>(EntryPort { entry.address, *socket }));
        succeeded = this->watch(
                        *socket, [this, &port] { this->fromEntries(port.socket.descriptor()); },
                        [this, &port] { this->entryRefused(port); })
            && succeeded;
    }
    for (const auto& relay : settings.relays) {
        const auto socket = open(relay.listen);
        if (!socket)
            continue;
        auto& port = *this->relays.emplace_back(std::make_unique<RelayPort>(RelayPort { relay, *socket }));
        succeeded = this->watch(
                        *socket, [this, &port] { this->relay(port); }, [] {})
            && succeeded;
    }
    for (const auto& relay : settings.streamRelays) {
        auto opened = StreamRelay::open(
            *this->loop, this->links, relay, [this](const Endpoint& sender) { return this->zoneOf(sender); });
        if (opened) {
            this->streamRelays.push_back(std::move(opened));
            continue;
        }
        runtime::log(Event::StandInListenFailed, runtime::Field { "address", relay.listen });
        succeeded = false;
    }
    return succeeded;
}

bool FabricProcess::watch(
    const runtime::UdpSocket& socket, std::function<void()> onReadable, std::function<void()> onError)
{
    this->watched.push_back(socket);
    return this->loop->watch(socket.descriptor(), true, false,
        [onReadable = std::move(onReadable), onError = std::move(onError)](runtime::Readiness readiness) {
            if (readiness.failed)
                onError();
            if (readiness.readable)
                onReadable();
        });
}

void FabricProcess::fromCallers(ServicePort& port)
{
    std::array<std::uint8_t, wire::proxyHeaderBytes> header {};
    for (int batch = 0; batch < maxBatchesPerTurn; ++batch) {
        const auto datagrams = this->receiver.receive(port.socket.descriptor());
        if (datagrams.empty())
            break;
        const TimePoint now = this->loop->now();
        for (const auto& datagram : datagrams) {
            ++port.fromCallers;
            FabricEntry* entry = this->choice.next(now);
            if (!entry) {
                ++this->withoutEntry;
                continue;
            }
            const auto delay = this->links.pass(LinkTable::fabric, entry->zone);
            if (!delay)
                continue;
            ++entry->packetsTo;
            this->lastPacketToZone[entry->zone] = now;
            const auto index = static_cast<std::size_t>(entry - this->choice.all().data());
            wire::encodeProxyHeader(header, datagram.source, port.service.address);
            this->delayLine.add(
                this->entries[index]->socket.descriptor(), entry->address, header, datagram.bytes, *delay);
        }
        this->delayLine.flush();
    }
}

void FabricProcess::fromEntries(int descriptor)
{
    for (int batch = 0; batch < maxBatchesPerTurn; ++batch) {
        const auto datagrams = this->receiver.receive(descriptor);
        if (datagrams.empty())
            break;
        for (const auto& datagram : datagrams)
            this->toCaller(datagram.source, datagram.bytes);
        this->delayLine.flush();
    }
}

void FabricProcess::toCaller(const Endpoint& source, BytesView bytes)
{
    const auto proxied = wire::decodeProxy(bytes);
    if (!proxied.has_value()) {
        ++this->malformed;
        runtime::log(Event::ProxyHeaderRefused, runtime::Field { "source", source },
            runtime::Field { "error", proxied.error() });
        return;
    }
    const auto port = std::find_if(this->services.begin(), this->services.end(),
        [&](const auto& candidate) { return candidate->service.address == proxied.value().source; });
    if (port == this->services.end()) {
        ++this->malformed;
        return;
    }
    FabricEntry* entry = this->choice.find(source);
    const auto delay = this->links.pass(entry ? entry->zone : this->zoneOf(source), LinkTable::fabric);
    if (!delay)
        return;
    if (entry)
        ++entry->packetsFrom;
    ++(*port)->toCallers;
    this->delayLine.add((*port)->socket.descriptor(), proxied.value().destination, {}, proxied.value().payload, *delay);
}

void FabricProcess::entryRefused(const EntryPort& port)
{
    if (!drainErrors(port.socket.descriptor()))
        return;
    this->choice.refused(port.entry, this->loop->now());
    runtime::log(Event::FabricEntryRefused, runtime::Field { "entry", port.entry });
}

void FabricProcess::relay(const RelayPort& port)
{
    for (int batch = 0; batch < maxBatchesPerTurn; ++batch) {
        const auto datagrams = this->receiver.receive(port.socket.descriptor());
        if (datagrams.empty())
            break;
        for (const auto& datagram : datagrams) {
            const std::string from = port.relay.from.empty() ? this->zoneOf(datagram.source) : port.relay.from;
            if (const auto delay = this->links.pass(from, port.relay.to))
                this->delayLine.add(port.socket.descriptor(), port.relay.target, {}, datagram.bytes, *delay);
        }
        this->delayLine.flush();
    }
}

std::string FabricProcess::zoneOf(const Endpoint& sender) const
{
    const auto network = std::find_if(this->networks.begin(), this->networks.end(),
        [&](const ZoneNetwork& candidate) { return candidate.contains(sender.address); });
    return network == this->networks.end() ? std::string { "unknown" } : network->zone;
}

} // namespace zinnia::standin
