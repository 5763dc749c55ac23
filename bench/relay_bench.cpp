#include "standin/echo_thread.hpp"
#include "standin/packet_generator.hpp"
#include "standin/unix_time.hpp"
#include "zinnia/runtime/steady_clock.hpp"

#include <array>
#include <atomic>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <optional>
#include <poll.h>
#include <string>
#include <tclap/CmdLine.h>
#include <thread>

namespace {

using namespace zinnia;

constexpr int socketBufferBytes = 8 << 20;
constexpr Microseconds warmUp { 1'000'000 };
constexpr Seconds registrationTimeout { 10 };
/** Rounds alternate between the bare relay and the target, so that the same noise affects both. */
constexpr int rounds = 3;

runtime::UdpSocket bindOrExit(const std::string& address)
{
    const auto local = Endpoint::parse(address);
    const auto socket = local ? runtime::UdpSocket::bind(*local, socketBufferBytes) : runtime::SocketError::Other;
    if (socket.has_value())
        return socket.value();
    std::cerr << "cannot bind " << address << ": " << nameOf(socket.error()) << '\n';
    std::exit(1);
}

/** @brief Relays datagrams to a target and back, in batches on one thread, without any other work. */
class BareRelay {
public:
    explicit BareRelay(const Endpoint& target)
        : target { target }
        , front { bindOrExit("127.0.0.1:0") }
        , back { bindOrExit("127.0.0.1:0") }
        , thread { [this] { this->run(); } }
    {
    }
    ~BareRelay()
    {
        this->stopping.store(true);
        this->thread.join();
    }
    BareRelay(const BareRelay&) = delete;
    BareRelay& operator=(const BareRelay&) = delete;

    [[nodiscard]] Endpoint address() const { return this->front.localAddress(); }

private:
    void run()
    {
        runtime::DatagramReceiver receiver;
        runtime::DatagramSender sender;
        Endpoint caller;
        while (!this->stopping.load()) {
            bool idle = true;
            for (const auto& datagram : receiver.receive(this->front.descriptor())) {
                caller = datagram.source;
                sender.add(this->back.descriptor(), this->target, {}, datagram.bytes);
                idle = false;
            }
            sender.flush();
            for (const auto& datagram : receiver.receive(this->back.descriptor())) {
                sender.add(this->front.descriptor(), caller, {}, datagram.bytes);
                idle = false;
            }
            sender.flush();
            if (idle) {
                std::array waiting { pollfd { this->front.descriptor(), POLLIN, 0 },
                    pollfd { this->back.descriptor(), POLLIN, 0 } };
                (void)::poll(waiting.data(), waiting.size(), 1);
            }
        }
    }

    Endpoint target;
    runtime::UdpSocket front;
    runtime::UdpSocket back;
    std::atomic<bool> stopping { false };
    std::thread thread;
};

struct Options {
    std::string target;
    std::string gateway;
    std::string service;
    std::string registration;
    std::string serviceName;
    std::string zone;
    unsigned flows = 0;
    unsigned payload = 0;
    unsigned inFlight = 0;
    unsigned seconds = 0;
};

Options parseOptions(int argc, char** argv)
{
    TCLAP::CmdLine command { "Packets a second through a bare UDP relay, and through an entry if one is given." };
    TCLAP::ValueArg<std::string> target { "", "target", "the entry's address for the fabric", false, "", "ADDRESS",
        command };
    TCLAP::ValueArg<std::string> gateway { "", "gateway",
        "address to which the entry sends packets for callers; the generator takes it", false, "127.0.0.1:0", "ADDRESS",
        command };
    TCLAP::ValueArg<std::string> service { "", "service", "service address in the PROXY protocol header", false,
        "127.0.9.1:5683", "ADDRESS", command };
    TCLAP::ValueArg<std::string> registration { "", "register", "the entry's address for registrations", false, "",
        "ADDRESS", command };
    TCLAP::ValueArg<std::string> name { "", "service-name", "service of the echo", false, "round", "NAME", command };
    TCLAP::ValueArg<std::string> zone { "", "zone", "zone of the echo", false, "a", "NAME", command };
    TCLAP::ValueArg<unsigned> flows { "", "flows", "number of callers", false, 1000, "COUNT", command };
    TCLAP::ValueArg<unsigned> payload { "", "payload", "bytes of a packet", false, 64, "BYTES", command };
    TCLAP::ValueArg<unsigned> inFlight { "", "in-flight", "open packets at a time", false, 256, "COUNT", command };
    TCLAP::ValueArg<unsigned> seconds { "", "seconds", "length of each round", false, 2, "SECONDS", command };
    command.parse(argc, argv);
    return { target.getValue(), gateway.getValue(), service.getValue(), registration.getValue(), name.getValue(),
        zone.getValue(), flows.getValue(), payload.getValue(), inFlight.getValue(), seconds.getValue() };
}

standin::PacketGenerator makeGenerator(const Options& options, const std::string& local, const Endpoint& target)
{
    const auto service = Endpoint::parse(options.service);
    auto generator = standin::PacketGenerator::create(Endpoint::parse(local).value_or(Endpoint {}),
        { target, service.value_or(Endpoint {}), std::max(options.flows, 1U), options.payload,
            std::max(options.inFlight, 1U) });
    if (generator.has_value())
        return std::move(generator.value());
    std::cerr << "cannot open the generator's socket: " << nameOf(generator.error()) << '\n';
    std::exit(1);
}

/** @brief Announces the echo to the entry, under the name "bench-echo" and with room for all flows. */
std::optional<standin::EchoThread::Registration> registrationOf(const Options& options)
{
    const auto entry = Endpoint::parse(options.registration);
    if (!entry)
        return std::nullopt;
    standin::Announcement announcement;
    announcement.name = "bench-echo";
    announcement.service = options.serviceName;
    announcement.zone = options.zone;
    announcement.incarnation = Incarnation { static_cast<std::uint64_t>(standin::unixMilliseconds()) };
    announcement.slots = 2;
    announcement.connections = options.flows;
    return standin::EchoThread::Registration { { { *entry } }, announcement };
}

bool waitForRegistration(const standin::EchoThread& echo)
{
    const runtime::SteadyClock clock;
    const TimePoint end = clock.now() + registrationTimeout;
    while (!echo.isRegistered() && clock.now() < end)
        std::this_thread::sleep_for(std::chrono::milliseconds { 10 });
    return echo.isRegistered();
}

double measure(standin::PacketGenerator& generator, const std::string& name, unsigned seconds)
{
    const runtime::SteadyClock clock;
    const auto rate = generator.run(clock, Seconds { seconds });
    std::cout << std::left << std::setw(12) << name << std::right << std::setw(10) << std::fixed << std::setprecision(0)
              << rate.packetsPerSecond() << " packets/s, lost " << rate.lost << '\n';
    return rate.packetsPerSecond();
}

int run(const Options& options)
{
    const auto echoSocket = bindOrExit("127.0.0.1:0");
    const standin::EchoThread echo { echoSocket, registrationOf(options) };
    const BareRelay relay { echoSocket.localAddress() };
    auto bare = makeGenerator(options, "127.0.0.1:0", relay.address());
    const auto target = Endpoint::parse(options.target);
    std::optional<standin::PacketGenerator> through;
    if (target)
        through.emplace(makeGenerator(options, options.gateway, *target));
    if (!options.registration.empty() && !waitForRegistration(echo)) {
        std::cerr << "the entry did not accept the registration of the echo\n";
        return 1;
    }
    const runtime::SteadyClock clock;
    (void)bare.run(clock, warmUp);
    if (through)
        (void)through->run(clock, warmUp);
    double bareSum = 0;
    double targetSum = 0;
    for (int round = 0; round < rounds; ++round) {
        bareSum += measure(bare, "bare relay", options.seconds);
        if (through)
            targetSum += measure(*through, "target", options.seconds);
    }
    if (through && bareSum > 0)
        std::cout << "ratio target to bare relay: " << std::setprecision(2) << targetSum / bareSum << '\n';
    return 0;
}

} // namespace

int main(int argc, char** argv) { return run(parseOptions(argc, argv)); }
