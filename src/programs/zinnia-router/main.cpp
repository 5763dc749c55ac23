#include "platform/calls.hpp"
#include "platform/packet_codec.hpp"
#include "zinnia/runtime/router_process.hpp"
#include "zinnia/runtime/run_daemon.hpp"

namespace {

using namespace zinnia;
using namespace zinnia::runtime;

int runRouter(const RouterSettings& settings, const SettingsSource& source)
{
    const platform::PacketCodec format;
    return runProcess(
        settings,
        [&](Epoch epoch, EventLoop& loop) {
            return RouterProcess::create(settings, format, &platform::readinessCall, epoch, loop);
        },
        [](const RouterError& error) {
            log(Event::ListenFailed, Field { "key", error.key }, Field { "address", error.address },
                Field { "cause", error.cause });
        },
        ReloadSettings<RouterSettings> { source, &readRouterSettings });
}

} // namespace

int main(int argc, char** argv)
{
    exitProcess(runProgram<RouterSettings>(
        { "zinnia-router", "Receives packets of callers and sends them to upstreams by their routing token." }, argc,
        argv, &readRouterSettings, &runRouter));
}
