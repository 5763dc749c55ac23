#pragma once

#include "zinnia/core/endpoint.hpp"
#include "zinnia/runtime/poller.hpp"

#include <functional>
#include <map>

namespace zinnia::runtime {

/** @brief Finds out whether anybody listens at an address: opens a TCP connection and closes it without a request. */
class ConnectionCheck {
public:
    /** @param connected False if the connection was refused or took too long. Called once, not from `check`. */
    using Callback = std::function<void(bool connected)>;

    /** @brief Checks in progress at most. Each holds a descriptor. */
    static constexpr std::size_t limit = 64;

    /** @param poller Has to outlive the object. */
    explicit ConnectionCheck(Poller& poller)
        : poller { &poller }
    {
    }

    ~ConnectionCheck();
    ConnectionCheck(const ConnectionCheck&) = delete;
    ConnectionCheck& operator=(const ConnectionCheck&) = delete;

    /** @return False if it was not started: the limit is reached, or the system gives no socket. */
    bool check(const Endpoint& address, Milliseconds timeout, Callback callback);

private:
    struct Pending {
        Callback callback;
        TimerId timer;
    };

    void finish(int fd, bool connected);

    Poller* poller;
    /** By descriptor. */
    std::map<int, Pending> pending;
};

} // namespace zinnia::runtime
