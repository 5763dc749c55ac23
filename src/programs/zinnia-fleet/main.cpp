#include "platform/calls.hpp"
#include "zinnia/runtime/fleet_process.hpp"
#include "zinnia/runtime/run_daemon.hpp"

namespace {

using namespace zinnia;
using namespace zinnia::runtime;

int runFleet(const FleetSettings& settings)
{
    return runProcess(
        settings,
        [&](Epoch epoch, EventLoop& loop) {
            return FleetProcess::create(settings, &platform::controlCalls, epoch, loop);
        },
        [](FleetError error) { log(Event::ControlNotStarted, Field { "cause", error }); });
}

} // namespace

int main(int argc, char** argv)
{
    return runProgram<FleetSettings>(
        { "zinnia-fleet", "Keeps routes, withdrawn zones and announcements of upstreams for the routers." }, argc,
        argv, &readFleetSettings, &runFleet);
}
