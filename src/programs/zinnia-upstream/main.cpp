#include "standin/run_stand_in.hpp"
#include "standin/upstream_process.hpp"

int main(int argc, char** argv)
{
    using namespace zinnia;
    return runtime::runProgram<standin::UpstreamSettings>(
        { "zinnia-upstream", "Emulates upstreams of one zone and service." }, argc, argv,
        &standin::readUpstreamSettings, [](const standin::UpstreamSettings& settings) {
            return standin::runStandIn<standin::UpstreamProcess>(
                settings, [](standin::UpstreamProcess& process, runtime::EventLoop& loop) {
                    process.removeRegistrations();
                    loop.stop();
                });
        });
}
