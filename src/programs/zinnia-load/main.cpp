#include "standin/load_process.hpp"
#include "standin/run_stand_in.hpp"

int main(int argc, char** argv)
{
    using namespace zinnia;
    return runtime::runProgram<standin::LoadSettings>(
        { "zinnia-load", "Offers a workload to the service addresses and measures the outcome." }, argc, argv,
        &standin::readLoadSettings, [](const standin::LoadSettings& settings) {
            return standin::runStandIn<standin::LoadProcess>(
                settings, [](standin::LoadProcess& process, runtime::EventLoop&) { process.finish(); });
        });
}
