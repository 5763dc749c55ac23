#include "zinnia/runtime/stop_signals.hpp"

#include <csignal>
#include <sys/signalfd.h>
#include <unistd.h>

namespace zinnia::runtime {

StopSignals::StopSignals(Poller& poller, std::function<void()> callback, std::function<void()> reload)
    : poller { &poller }
    , descriptor { -1 }
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    if (reload)
        sigaddset(&signals, SIGHUP);
    // Threads that start later inherit the mask, so that the signals reach only the descriptor.
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    this->descriptor = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    if (this->descriptor < 0)
        return;
    poller.watch(this->descriptor, true, false,
        [fd = this->descriptor, callback = std::move(callback), reload = std::move(reload)](auto) {
            signalfd_siginfo info {};
            while (read(fd, &info, sizeof(info)) == sizeof(info)) {
                if (info.ssi_signo == SIGHUP)
                    reload();
                else
                    callback();
            }
        });
}

StopSignals::~StopSignals()
{
    if (this->descriptor < 0)
        return;
    this->poller->unwatch(this->descriptor);
    close(this->descriptor);
}

} // namespace zinnia::runtime
