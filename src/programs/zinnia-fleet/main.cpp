#include "platform/call_codec.hpp"
#include "platform/calls.hpp"
#include "zinnia/runtime/fleet_process.hpp"
#include "zinnia/runtime/run_daemon.hpp"

namespace {

using namespace zinnia;
using namespace zinnia::runtime;

int runFleet(const FleetSettings& settings, const SettingsSource& source)
{
    return runProcess(
        settings,
        [&](Epoch epoch, EventLoop& loop) {
            return FleetProcess::create(
                settings, { &platform::controlCalls, &platform::routeTableOf, &platform::callBodyLimit }, epoch, loop);
        },
        [](FleetError error) {
            log(Event::ControlNotStarted, Field { "cause", error });
        },
        ReloadSettings<FleetSettings> { source, &readFleetSettings });
}

} // namespace

int main(int argc, char** argv)
{
    exitProcess(runProgram<FleetSettings>(
        { "zinnia-fleet", "Stores routes, withdrawn zones and announcements of upstreams for the routers." }, argc,
        argv, &readFleetSettings, &runFleet));
}
