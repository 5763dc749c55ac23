#include "standin/counter_poller.hpp"

#include "standin/control_port.hpp"

#include <chrono>

namespace zinnia::standin {
namespace {

    constexpr std::chrono::seconds pollInterval { 1 };

} // namespace

CounterPoller::CounterPoller(runtime::EventLoop& loop, std::vector<Endpoint> controls, Callback callback)
    : loop { &loop }
    , controls { std::move(controls) }
    , callback { std::move(callback) }
{
    if (!this->controls.empty())
        this->thread = std::thread { [this] { this->run(); } };
}

CounterPoller::~CounterPoller()
{
    {
        const std::lock_guard lock { this->mutex };
        this->stopping = true;
    }
    this->wake.notify_one();
    if (this->thread.joinable())
        this->thread.join();
}

std::vector<PolledCounters> CounterPoller::readAll(const std::vector<Endpoint>& controls, const std::string& path)
{
    std::vector<PolledCounters> all;
    all.reserve(controls.size());
    for (const auto& control : controls)
        all.push_back({ control, callControlPort(control, "GET", path) });
    return all;
}

void CounterPoller::run()
{
    std::unique_lock lock { this->mutex };
    while (!this->stopping) {
        lock.unlock();
        auto all = readAll(this->controls, "/v1/counters");
        this->loop->post([callback = this->callback, all = std::move(all)] { callback(all); });
        lock.lock();
        this->wake.wait_for(lock, pollInterval, [this] { return this->stopping; });
    }
}

} // namespace zinnia::standin
