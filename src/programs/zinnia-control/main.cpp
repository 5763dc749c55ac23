#include "zinnia/runtime/control_process.hpp"
#include "zinnia/runtime/run_daemon.hpp"

namespace {

using namespace zinnia;
using namespace zinnia::runtime;

int runControl(const ControlSettings& settings)
{
    return runDaemon<ControlProcess>(settings, [](ControlError error) {
        log(Event::ControlNotStarted, Field { "cause", error });
    });
}

} // namespace

int main(int argc, char** argv)
{
    return runProgram<ControlSettings>(
        { "zinnia-control", "Stores the configuration and executes the commands of operators." }, argc, argv,
        &readControlSettings, &runControl);
}
