#include "standin/packet_generator.hpp"

#include <poll.h>

namespace zinnia::standin {
namespace {

    constexpr int socketBufferBytes = 8 << 20;
    constexpr std::uint32_t sendBatch = 64;
    /** Without any answer for this long, the unanswered packets are considered lost. */
    constexpr Milliseconds lossTimeout { 20 };
    constexpr std::uint32_t firstCaller = 0x7F080001; // 127.8.0.1, only in headers
    constexpr std::uint16_t callerPort = 40000;

} // namespace

void waitReadable(int descriptor, Milliseconds timeout)
{
    pollfd waiting { descriptor, POLLIN, 0 };
    (void)::poll(&waiting, 1, static_cast<int>(timeout.count()));
}

double PacketRate::packetsPerSecond() const noexcept
{
    constexpr double microsecondsPerSecond = 1e6;
    return this->duration.count() <= 0
        ? 0
        : static_cast<double>(this->answers) * microsecondsPerSecond / static_cast<double>(this->duration.count());
}

Result<PacketGenerator, runtime::SocketError> PacketGenerator::create(
    const Endpoint& local, const PacketGeneratorSettings& settings)
{
    auto socket = runtime::UdpSocket::bind(local, socketBufferBytes);
    if (!socket)
        return socket.error();
    return PacketGenerator { socket.value(), settings };
}

PacketGenerator::PacketGenerator(runtime::UdpSocket socket, const PacketGeneratorSettings& settings)
    : settings { settings }
    , socket { std::move(socket) }
    , headers(settings.flows)
    , payload(settings.payloadBytes)
{
    for (std::uint32_t flow = 0; flow < settings.flows; ++flow)
        wire::encodeProxyHeader(this->headers[flow], { firstCaller + flow, callerPort }, settings.service);
}

PacketRate PacketGenerator::run(const Clock& clock, Microseconds duration)
{
    runtime::DatagramReceiver receiver;
    runtime::DatagramSender sender;
    PacketRate rate;
    std::uint32_t open = 0;
    const TimePoint started = clock.now();
    TimePoint lastAnswer = started;
    for (TimePoint now = started; now < started + duration; now = clock.now()) {
        for (std::uint32_t i = 0; i < sendBatch && open < this->settings.inFlight; ++i, ++open) {
            sender.add(this->socket.descriptor(), this->settings.target, this->headers[this->nextFlow], this->payload);
            this->nextFlow = (this->nextFlow + 1) % this->headers.size();
        }
        sender.flush();
        const auto answers = static_cast<std::uint32_t>(receiver.receive(this->socket.descriptor()).size());
        if (answers != 0) {
            lastAnswer = now;
            rate.answers += answers;
            open -= std::min(open, answers);
        } else if (now >= lastAnswer + lossTimeout) {
            rate.lost += open;
            open = 0;
            lastAnswer = now;
        } else if (open >= this->settings.inFlight) {
            waitReadable(this->socket.descriptor(), Milliseconds { 1 });
        }
    }
    rate.duration = clock.now() - started;
    return rate;
}

} // namespace zinnia::standin
