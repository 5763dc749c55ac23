#include "zinnia/runtime/entry_process.hpp"
#include "zinnia/runtime/run_daemon.hpp"

namespace {

using namespace zinnia;
using namespace zinnia::runtime;

int runEntry(const EntrySettings& settings)
{
    return runDaemon<EntryProcess>(settings, [](const ListenError& error) {
        log(Event::ListenFailed, Field { "key", error.key }, Field { "address", error.address },
            Field { "cause", error.cause });
    });
}

} // namespace

int main(int argc, char** argv)
{
    return runProgram<EntrySettings>(
        { "zinnia-entry", "Receives packets from the fabric, places flows and passes requests to upstreams." }, argc,
        argv, &readEntrySettings, &runEntry);
}
