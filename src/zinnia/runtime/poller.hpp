#pragma once

#include "zinnia/core/strong_id.hpp"
#include "zinnia/core/time.hpp"

#include <cstdint>
#include <functional>

namespace zinnia::runtime {

/** @brief What a watched file descriptor is ready for. */
struct Readiness {
    bool readable {};
    bool writable {};
    /** The peer hung up or the descriptor has an error; a read or write returns the cause. */
    bool failed {};
};

using TimerId = StrongId<struct TimerTag, std::uint64_t>;
using ReadinessCallback = std::function<void(Readiness)>;
using TimerCallback = std::function<void()>;

/**
 * @brief Readiness of file descriptors and timers, for adapters that run on one event loop thread.
 *
 * All functions are called on the loop thread only. Callbacks may call any of them.
 */
class Poller {
public:
    virtual ~Poller() = default;

    /**
     * @brief Calls back whenever the descriptor is ready (level-triggered).
     *
     * A second call for the same descriptor replaces interest and callback.
     *
     * @return False if the system refuses to watch the descriptor.
     */
    virtual bool watch(int fd, bool read, bool write, ReadinessCallback callback) = 0;

    /** @brief Stops watching a descriptor; must be called before the descriptor is closed. No callback follows. */
    virtual void unwatch(int fd) = 0;

    /** @brief Calls back once after the delay, in the order of due times; never from within `schedule`. */
    virtual TimerId schedule(Microseconds delay, TimerCallback callback) = 0;

    /** @brief Cancels a timer; has no effect if it has fired. */
    virtual void cancel(TimerId timer) = 0;

    /** @return The current time of the loop's clock. */
    [[nodiscard]] virtual TimePoint now() const = 0;

protected:
    Poller() = default;
    Poller(const Poller&) = default;
    Poller& operator=(const Poller&) = default;
};

} // namespace zinnia::runtime
