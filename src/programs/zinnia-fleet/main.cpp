#include "platform/calls.hpp"
#include "zinnia/runtime/fleet_process.hpp"
#include "zinnia/runtime/run_daemon.hpp"

#include <cstdlib>

namespace {

using namespace zinnia;
using namespace zinnia::runtime;

int runFleet(const FleetSettings& settings, const std::string& file)
{
    return runProcess(
        settings,
        [&](Epoch epoch, EventLoop& loop) {
            return FleetProcess::create(settings, &platform::controlCalls, epoch, loop);
        },
        [](FleetError error) {
            log(Event::ControlNotStarted, Field { "cause", error });
        },
        ReloadSettings<FleetSettings> { file, &readFleetSettings });
}

} // namespace

int main(int argc, char** argv)
{
    // Without the destructors of static objects: joining the threads of the logging library can take seconds.
    std::_Exit(runProgram<FleetSettings>(
        { "zinnia-fleet", "Keeps routes, withdrawn zones and announcements of upstreams for the routers." }, argc, argv,
        &readFleetSettings, &runFleet));
}
