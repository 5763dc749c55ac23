#pragma once

#include "zinnia/core/endpoint.hpp"
#include "zinnia/runtime/poller.hpp"

#include <functional>
#include <map>

namespace zinnia::runtime {

/** @brief Health check of a TCP address: opens a connection and closes it without sending a request. */
class ConnectionCheck {
public:
    /** @param connected False if the connection was refused or timed out. Called once, not from `check`. */
    using Callback = std::function<void(bool connected)>;

    /** @brief Maximum number of checks in progress; each holds a descriptor. */
    static constexpr std::size_t limit = 64;

    /** @param poller Must outlive the object. */
    explicit ConnectionCheck(Poller& poller)
        : poller { &poller }
    {
    }

    ~ConnectionCheck();
    ConnectionCheck(const ConnectionCheck&) = delete;
    ConnectionCheck& operator=(const ConnectionCheck&) = delete;

    /** @return True if the check was started; false if the limit is reached or no socket could be created. */
    bool check(const Endpoint& address, Milliseconds timeout, Callback callback);

private:
    struct Pending {
        Callback callback;
        TimerId timer;
    };

    void finish(int fd, bool connected);

    Poller* poller;
    /** Keyed by descriptor. */
    std::map<int, Pending> pending;
};

} // namespace zinnia::runtime
