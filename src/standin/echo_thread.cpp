#include "standin/echo_thread.hpp"

#include "standin/packet_generator.hpp"
#include "zinnia/runtime/steady_clock.hpp"
#include "zinnia/wire/coap_codec.hpp"

#include <algorithm>

namespace zinnia::standin {
namespace {

    /** The registration is serviced once in this many iterations, so that its cost does not slow the echo. */
    constexpr unsigned iterationsPerRegistration = 64;

} // namespace

EchoThread::EchoThread(runtime::UdpSocket socket, std::optional<Registration> registration)
    : socket { std::move(socket) }
    , thread { [this, registration = std::move(registration)] { this->run(registration); } }
{
}

EchoThread::~EchoThread()
{
    this->stopping.store(true);
    this->thread.join();
}

void EchoThread::run(std::optional<Registration> registration)
{
    const runtime::SteadyClock clock;
    runtime::DatagramReceiver receiver;
    runtime::DatagramSender sender;
    std::optional<Registrar> registrar;
    if (registration) {
        registration->announcement.address = this->socket.localAddress();
        registrar.emplace(registration->registrar);
    }
    const auto isEntry = [&](const Endpoint& source) {
        return registration && std::ranges::count(registration->registrar.entries, source) != 0;
    };
    for (unsigned iteration = 0; !this->stopping.load(); ++iteration) {
        const auto datagrams = receiver.receive(this->socket.descriptor());
        for (const auto& datagram : datagrams) {
            if (!isEntry(datagram.source)) {
                sender.add(this->socket.descriptor(), datagram.source, {}, datagram.bytes);
                continue;
            }
            const auto answer = wire::decodeCoap(datagram.bytes);
            if (answer.has_value() && registrar->handle(answer.value(), clock.now()))
                this->registered.store(registrar->isRegistered(clock.now()));
        }
        if (registrar && iteration % iterationsPerRegistration == 0) {
            if (const auto message = registrar->tick(registration->announcement, clock.now()))
                sender.add(this->socket.descriptor(), message->destination, {}, message->bytes);
        }
        sender.flush();
        if (datagrams.empty())
            waitReadable(this->socket.descriptor(), Milliseconds { 1 });
    }
}

} // namespace zinnia::standin
