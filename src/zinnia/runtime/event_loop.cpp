#include "zinnia/runtime/event_loop.hpp"

#include <algorithm>
#include <array>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace zinnia::runtime {

namespace {

    constexpr int maxEventsPerTurn = 256;
    /** Upper bound of one wait of `run`. */
    constexpr Seconds maxTurnWait { 60 };

    constexpr std::uint64_t pack(int fd, std::uint32_t generation) noexcept
    {
        return (std::uint64_t { generation } << 32U) | static_cast<std::uint32_t>(fd);
    }

} // namespace

Result<std::unique_ptr<EventLoop>, LoopError> EventLoop::create(const Clock& clock)
{
    const int epollFd = epoll_create1(EPOLL_CLOEXEC);
    if (epollFd < 0)
        return LoopError::EpollUnavailable;
    const int wakeFd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    std::unique_ptr<EventLoop> loop { new EventLoop { clock, epollFd, wakeFd } };
    const bool watching = wakeFd >= 0 && loop->watch(wakeFd, true, false, [wakeFd](Readiness) {
        std::uint64_t count = 0;
        (void)!read(wakeFd, &count, sizeof(count));
    });
    if (!watching)
        return LoopError::WakeupUnavailable;
    return loop;
}

EventLoop::EventLoop(const Clock& clock, int epollFd, int wakeFd)
    : clock { &clock }
    , epollFd { epollFd }
    , wakeFd { wakeFd }
{
}

EventLoop::~EventLoop()
{
    if (this->wakeFd >= 0)
        close(this->wakeFd);
    close(this->epollFd);
}

void EventLoop::run()
{
    while (!this->stopping.load())
        this->runOnce(maxTurnWait);
}

void EventLoop::runOnce(Microseconds maxWait)
{
    std::array<epoll_event, maxEventsPerTurn> events {};
    // Rounded up, so that a timer is due when the wait ends.
    const auto wait = std::chrono::ceil<Milliseconds>(this->waitTime(maxWait)).count();
    const int count = epoll_wait(this->epollFd, events.data(), maxEventsPerTurn, static_cast<int>(wait));
    this->runTimers();
    for (int i = 0; i < count; ++i) {
        const auto& event = events[static_cast<std::size_t>(i)];
        const auto found = this->watches.find(static_cast<int>(event.data.u64 & 0xffffffffU));
        if (found == this->watches.end() || found->second.generation != (event.data.u64 >> 32U))
            continue;
        const auto callback = found->second.callback; // the copy keeps it alive while it unwatches itself
        (*callback)(Readiness { (event.events & (EPOLLIN | EPOLLRDHUP)) != 0, (event.events & EPOLLOUT) != 0,
            (event.events & (EPOLLERR | EPOLLHUP)) != 0 });
    }
    this->runPosted();
}

void EventLoop::stop() noexcept
{
    this->stopping.store(true);
    this->wake();
}

void EventLoop::post(std::function<void()> callback)
{
    {
        const std::lock_guard lock { this->postedMutex };
        this->posted.push_back(std::move(callback));
    }
    this->wake();
}

bool EventLoop::watch(int fd, bool read, bool write, ReadinessCallback callback)
{
    const auto found = this->watches.find(fd);
    const bool known = found != this->watches.end();
    const std::uint32_t generation = known ? found->second.generation : this->nextGeneration++;
    epoll_event event {};
    event.events = (read ? EPOLLIN | EPOLLRDHUP : 0U) | (write ? EPOLLOUT : 0U);
    event.data.u64 = pack(fd, generation);
    if (epoll_ctl(this->epollFd, known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd, &event) != 0)
        return false;
    this->watches[fd] = Watched { generation, std::make_shared<ReadinessCallback>(std::move(callback)) };
    return true;
}

void EventLoop::unwatch(int fd)
{
    if (this->watches.erase(fd) > 0)
        (void)epoll_ctl(this->epollFd, EPOLL_CTL_DEL, fd, nullptr);
}

bool EventLoop::isLater(const Timer& left, const Timer& right) noexcept
{
    return left.due != right.due ? left.due > right.due : left.id > right.id;
}

TimerId EventLoop::schedule(Microseconds delay, TimerCallback callback)
{
    const TimerId id { this->nextTimer++ };
    this->timers.push_back(Timer { this->now() + delay, id, std::move(callback) });
    std::push_heap(this->timers.begin(), this->timers.end(), &EventLoop::isLater);
    this->pending.insert(id);
    return id;
}

void EventLoop::cancel(TimerId timer)
{
    if (this->pending.erase(timer) == 0)
        return;
    // Rebuilds when most entries are cancelled, so that timeouts that never fire do not accumulate.
    if (this->timers.size() < 64 || this->timers.size() < 2 * this->pending.size())
        return;
    std::erase_if(this->timers, [this](const Timer& entry) { return !this->pending.contains(entry.id); });
    std::make_heap(this->timers.begin(), this->timers.end(), &EventLoop::isLater);
}

Microseconds EventLoop::waitTime(Microseconds maxWait)
{
    {
        const std::lock_guard lock { this->postedMutex };
        if (!this->posted.empty() || this->stopping.load())
            return Microseconds { 0 };
    }
    if (this->timers.empty())
        return maxWait;
    return std::clamp(this->timers.front().due - this->now(), Microseconds { 0 }, maxWait);
}

void EventLoop::runTimers()
{
    const TimePoint now = this->now();
    const std::uint64_t firstNew = this->nextTimer; // timers set by callbacks wait for the next turn
    std::vector<Timer> later;
    while (!this->timers.empty() && this->timers.front().due <= now) {
        std::pop_heap(this->timers.begin(), this->timers.end(), &EventLoop::isLater);
        Timer timer = std::move(this->timers.back());
        this->timers.pop_back();
        if (timer.id.value >= firstNew)
            later.push_back(std::move(timer));
        else if (this->pending.erase(timer.id) > 0)
            timer.callback();
    }
    for (auto& timer : later) {
        this->timers.push_back(std::move(timer));
        std::push_heap(this->timers.begin(), this->timers.end(), &EventLoop::isLater);
    }
}

void EventLoop::runPosted()
{
    std::vector<std::function<void()>> work;
    {
        const std::lock_guard lock { this->postedMutex };
        work.swap(this->posted);
    }
    for (const auto& callback : work)
        callback();
}

void EventLoop::wake() noexcept
{
    const std::uint64_t one = 1;
    (void)!write(this->wakeFd, &one, sizeof(one));
}

} // namespace zinnia::runtime
