#pragma once

#include "zinnia/runtime/poller.hpp"

#include <functional>

namespace zinnia::runtime {

/** @brief Calls back on the loop thread for SIGTERM and SIGINT. Create it before any other thread starts. */
class StopSignals {
public:
    /**
     * @param poller Has to outlive this object.
     * @param reload Called for SIGHUP, if given.
     */
    StopSignals(Poller& poller, std::function<void()> callback, std::function<void()> reload = {});
    ~StopSignals();
    StopSignals(const StopSignals&) = delete;
    StopSignals& operator=(const StopSignals&) = delete;

private:
    Poller* poller;
    int descriptor;
};

} // namespace zinnia::runtime
