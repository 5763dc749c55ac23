#pragma once

#include "standin/control_port.hpp"
#include "standin/start_error.hpp"
#include "zinnia/runtime/command_line.hpp"
#include "zinnia/runtime/event_loop.hpp"
#include "zinnia/runtime/logger.hpp"
#include "zinnia/runtime/steady_clock.hpp"
#include "zinnia/runtime/stop_signals.hpp"

#include <functional>

namespace zinnia::standin {

/**
 * @brief Runs a stand-in until it stops its loop.
 * @tparam Process Has `create(loop, settings)` and `routes()`.
 * @param settings Has the fields `log` and `control`.
 * @param onStop Called for SIGTERM and SIGINT; has to stop the loop.
 * @return The exit code.
 */
template <class Process, class Settings>
[[nodiscard]] int runStandIn(const Settings& settings, const std::function<void(Process&, runtime::EventLoop&)>& onStop)
{
    if (!runtime::startLog(settings.log))
        return runtime::exit_code::failed;
    const runtime::SteadyClock clock;
    auto loop = runtime::EventLoop::create(clock);
    if (!loop)
        return runtime::exit_code::failed;
    runtime::EventLoop& running = *loop.value();
    std::function<void()> stop;
    const runtime::StopSignals signals { running, [&stop] {
                                            if (stop)
                                                stop();
                                        } };
    auto process = Process::create(running, settings);
    if (!process)
        return runtime::exit_code::failed;
    stop = [&] { onStop(*process.value(), running); };
    const auto control = ControlPort::open(running, settings.control, process.value()->routes());
    if (!control) {
        runtime::log(Event::StandInListenFailed, runtime::Field { "address", settings.control });
        return runtime::exit_code::failed;
    }
    runtime::log(Event::ProcessStarted, runtime::Field { "control", settings.control });
    running.run();
    runtime::log(Event::ProcessStopped);
    return runtime::exit_code::done;
}

} // namespace zinnia::standin
