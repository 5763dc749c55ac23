#include "standin/fabric_process.hpp"
#include "standin/run_stand_in.hpp"

int main(int argc, char** argv)
{
    using namespace zinnia;
    return runtime::runProgram<standin::FabricSettings>(
        { "zinnia-fabric", "Sprays the packets of callers over the entries, and relays datagrams between zones." },
        argc, argv, &standin::readFabricSettings, [](const standin::FabricSettings& settings) {
            return standin::runStandIn<standin::FabricProcess>(
                settings, [](standin::FabricProcess&, runtime::EventLoop& loop) { loop.stop(); });
        });
}
