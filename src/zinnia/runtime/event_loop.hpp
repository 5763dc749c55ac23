#pragma once

#include "zinnia/core/name_table.hpp"
#include "zinnia/core/result.hpp"
#include "zinnia/runtime/poller.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace zinnia::runtime {

/** @brief Why an event loop could not be created. */
enum class LoopError : unsigned char { EpollUnavailable, WakeupUnavailable };

inline constexpr NameTable<LoopError, 2> loopErrorNames { {
    { LoopError::EpollUnavailable, "epoll_unavailable" },
    { LoopError::WakeupUnavailable, "wakeup_unavailable" },
} };
static_assert(isDense(loopErrorNames));

[[nodiscard]] constexpr std::string_view nameOf(LoopError error) noexcept { return nameIn(loopErrorNames, error); }

/**
 * @brief Event loop of one thread: epoll for descriptors, a heap for timers.
 *
 * `post` and `stop` may be called from other threads, `stop` also from a signal handler.
 */
class EventLoop final : public Poller {
public:
    /** @param clock Time of the timers; has to outlive the loop. */
    [[nodiscard]] static Result<std::unique_ptr<EventLoop>, LoopError> create(const Clock& clock);

    ~EventLoop() override;
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    /** @brief Runs turns until `stop` is called; returns at once if it was called before. */
    void run();

    /** @brief Runs one turn: waits at most that long, then runs due timers, ready descriptors and posted work. */
    void runOnce(Microseconds maxWait);

    /** @brief Makes `run` return after the current turn. */
    void stop() noexcept;

    /** @brief Runs the callback on the loop thread. */
    void post(std::function<void()> callback);

    bool watch(int fd, bool read, bool write, ReadinessCallback callback) override;
    void unwatch(int fd) override;
    TimerId schedule(Microseconds delay, TimerCallback callback) override;
    void cancel(TimerId timer) override;
    [[nodiscard]] TimePoint now() const override { return this->clock->now(); }

private:
    struct Watched {
        /** Distinguishes watches of a reused descriptor number within one turn. */
        std::uint32_t generation {};
        std::shared_ptr<ReadinessCallback> callback;
    };

    struct Timer {
        TimePoint due;
        TimerId id;
        TimerCallback callback;
    };

    EventLoop(const Clock& clock, int epollFd, int wakeFd);

    [[nodiscard]] Microseconds waitTime(Microseconds maxWait);
    [[nodiscard]] static bool isLater(const Timer& left, const Timer& right) noexcept;
    void runTimers();
    void runPosted();
    void wake() noexcept;

    const Clock* clock;
    int epollFd;
    int wakeFd;
    std::atomic<bool> stopping { false };
    std::uint32_t nextGeneration = 1;
    std::unordered_map<int, Watched> watches;
    std::uint64_t nextTimer = 1;
    std::vector<Timer> timers;
    std::unordered_set<TimerId> pending;
    std::mutex postedMutex;
    std::vector<std::function<void()>> posted;
};

} // namespace zinnia::runtime
