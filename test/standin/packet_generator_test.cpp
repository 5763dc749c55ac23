#include "standin/echo_thread.hpp"
#include "standin/packet_generator.hpp"
#include "zinnia/runtime/steady_clock.hpp"

#include <gtest/gtest.h>

namespace zinnia::standin {
namespace {

    const Endpoint anyPort = *Endpoint::parse("127.0.0.1:0");

    // Guards against a generator that counts lost packets as answered, or stops after a loss.
    TEST(PacketGenerator, CountsAnswersAndLosses)
    {
        const runtime::SteadyClock clock;
        const auto echoSocket = runtime::UdpSocket::bind(anyPort).value();
        const auto silentSocket = runtime::UdpSocket::bind(anyPort).value();
        const EchoThread echo { echoSocket };
        const auto run = [&](const Endpoint& target) {
            PacketGeneratorSettings settings;
            settings.target = target;
            return PacketGenerator::create(anyPort, settings).value().run(clock, Milliseconds { 200 });
        };
        const PacketRate answered = run(echoSocket.localAddress());
        EXPECT_GT(answered.answers, 256U);
        EXPECT_GT(answered.packetsPerSecond(), 0);
        const PacketRate silent = run(silentSocket.localAddress());
        EXPECT_EQ(silent.answers, 0U);
        EXPECT_GE(silent.lost, 512U);
    }

} // namespace
} // namespace zinnia::standin
