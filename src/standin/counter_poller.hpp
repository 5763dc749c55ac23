#pragma once

#include "zinnia/core/endpoint.hpp"
#include "zinnia/runtime/event_loop.hpp"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>
#include <vector>

namespace zinnia::standin {

/** @brief Counters of one control port; nothing if it did not answer. */
struct PolledCounters {
    Endpoint control;
    std::optional<nlohmann::json> body;
};

/** @brief Polls control ports once a second on its own thread, because the calls block. */
class CounterPoller {
public:
    using Callback = std::function<void(const std::vector<PolledCounters>&)>;

    /** @param callback Called on the loop thread. The loop has to outlive the poller. */
    CounterPoller(runtime::EventLoop& loop, std::vector<Endpoint> controls, Callback callback);
    ~CounterPoller();
    CounterPoller(const CounterPoller&) = delete;
    CounterPoller& operator=(const CounterPoller&) = delete;

    /** @brief Reads each control port once, on the calling thread. */
    [[nodiscard]] static std::vector<PolledCounters> readAll(
        const std::vector<Endpoint>& controls, const std::string& path);

private:
    void run();

    runtime::EventLoop* loop;
    std::vector<Endpoint> controls;
    Callback callback;
    std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false;
    std::thread thread;
};

} // namespace zinnia::standin
