#pragma once

#include "zinnia/runtime/command_line.hpp"
#include "zinnia/runtime/event_loop.hpp"
#include "zinnia/runtime/logger.hpp"
#include "zinnia/runtime/process_start.hpp"
#include "zinnia/runtime/steady_clock.hpp"
#include "zinnia/runtime/stop_signals.hpp"

#include <cstddef>
#include <functional>
#include <type_traits>

namespace zinnia::runtime {

/**
 * @brief Runs a process until a signal has stopped it.
 * @param settings Has the fields `log` and `instance`.
 * @param make Creates the process on a loop; the process has `stop()`, which stops the loop once it is done.
 * @param logError Logs why the process could not be created.
 * @param reload Called with the process when SIGHUP asks for the settings to be read again; may be empty.
 * @return The exit code.
 */
template <class Settings, class Make, class LogError, class Reload = std::nullptr_t>
[[nodiscard]] int runProcess(
    const Settings& settings, const Make& make, const LogError& logError, const Reload& reload = nullptr)
{
    if (!startLog(settings.log))
        return exit_code::failed;
    const SteadyClock clock;
    auto loop = EventLoop::create(clock);
    if (!loop)
        return exit_code::failed;
    EventLoop& running = *loop.value();
    std::function<void()> stop = [&running] { running.stop(); };
    std::function<void()> readAgain = [] {};
    std::function<void()> onHangup;
    if constexpr (!std::is_same_v<Reload, std::nullptr_t>)
        onHangup = [&readAgain] { readAgain(); };
    // Before the process starts threads, which inherit the signal mask.
    const StopSignals signals { running, [&stop] { stop(); }, onHangup };
    auto process = make(epochOfThisStart(), running);
    if (!process) {
        logError(process.error());
        return exit_code::failed;
    }
    stop = [&process] {
        log(Event::ProcessStopping);
        process.value()->stop();
    };
    if constexpr (!std::is_same_v<Reload, std::nullptr_t>)
        readAgain = [&process, &reload] { reload(*process.value()); };
    log(Event::ProcessStarted, Field { "instance", settings.instance });
    running.run();
    log(Event::ProcessStopped);
    return exit_code::done;
}

/** @brief As `runProcess`, for a process that has `create(settings, epoch, loop)`. */
template <class Process, class Settings, class LogError>
[[nodiscard]] int runDaemon(const Settings& settings, const LogError& logError)
{
    const auto make = [&settings](Epoch epoch, EventLoop& loop) { return Process::create(settings, epoch, loop); };
    return runProcess(settings, make, logError);
}

} // namespace zinnia::runtime
