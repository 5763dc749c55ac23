#pragma once

#include "zinnia/runtime/command_line.hpp"
#include "zinnia/runtime/event_loop.hpp"
#include "zinnia/runtime/logger.hpp"
#include "zinnia/runtime/process_start.hpp"
#include "zinnia/runtime/settings_watch.hpp"
#include "zinnia/runtime/steady_clock.hpp"
#include "zinnia/runtime/stop_signals.hpp"

#include <functional>
#include <optional>
#include <string>

namespace zinnia::runtime {

/** @brief A process that does not reload its settings. */
struct NoReload {
    template <class Process> void operator()(Process&) const { }
    /** Without a file, nothing is watched. */
    SettingsSource source;
};

/**
 * @brief Reads the settings again and passes valid ones to the process. A file with errors changes nothing.
 * @tparam Settings What `read` returns; the process has `reload(const Settings&)`.
 */
template <class Settings> struct ReloadSettings {
    SettingsSource source;
    Settings (*read)(TableReader&);

    template <class Process> void operator()(Process& process) const
    {
        const auto settings = loadSettings(this->source.file, this->read, this->source.overrides);
        if (settings)
            return process.reload(settings.value());
        for (const SettingsError& error : settings.error())
            log(Event::SettingsRejected, Field { "error", error });
    }
};

/** @brief As `runProcess` below, for a process whose settings are read again on SIGHUP and when the file changes. */
template <class Settings, class Make, class LogError, class Reload>
[[nodiscard]] int runProcess(const Settings& settings, const Make& make, const LogError& logError, const Reload& reload)
{
    if (!startLog(settings.log))
        return exit_code::failed;
    const SteadyClock clock;
    auto loop = EventLoop::create(clock);
    if (!loop)
        return exit_code::failed;
    EventLoop& running = *loop.value();
    std::function<void()> stop = [&running] { running.stop(); };
    std::function<void()> reloadSettings = [] {};
    // Before the process starts threads, which inherit the signal mask.
    std::function<void()> onHangup;
    if (!reload.source.file.empty())
        onHangup = [&reloadSettings] { reloadSettings(); };
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
    reloadSettings = [&process, &reload] { reload(*process.value()); };
    std::optional<SettingsWatch> watch;
    if (!reload.source.file.empty())
        watch.emplace(running, reload.source.file, reloadSettings);
    log(Event::ProcessStarted, Field { "instance", settings.instance });
    running.run();
    log(Event::ProcessStopped);
    return exit_code::done;
}

/**
 * @brief Runs a process until a signal has stopped it.
 * @param settings Has the fields `log` and `instance`.
 * @param make Creates the process on a loop; the process has `stop()`, which stops the loop once it is done.
 * @param logError Logs why the process could not be created.
 * @return The exit code.
 */
template <class Settings, class Make, class LogError>
[[nodiscard]] int runProcess(const Settings& settings, const Make& make, const LogError& logError)
{
    return runProcess(settings, make, logError, NoReload {});
}

/** @brief As `runProcess`, for a process that has `create(settings, epoch, loop)`. */
template <class Process, class Settings, class LogError>
[[nodiscard]] int runDaemon(const Settings& settings, const LogError& logError)
{
    const auto make = [&settings](Epoch epoch, EventLoop& loop) { return Process::create(settings, epoch, loop); };
    return runProcess(settings, make, logError);
}

} // namespace zinnia::runtime
