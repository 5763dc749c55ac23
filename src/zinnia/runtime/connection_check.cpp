#include "zinnia/runtime/connection_check.hpp"

#include "zinnia/runtime/socket_address.hpp"

#include <cerrno>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace zinnia::runtime {

namespace {

    /** @return True if the connection attempt of a socket that is ready for writing has succeeded. */
    [[nodiscard]] bool isConnected(int fd)
    {
        int error = 0;
        socklen_t size = sizeof(error);
        return getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
    }

} // namespace

ConnectionCheck::~ConnectionCheck()
{
    for (const auto& [fd, check] : this->pending) {
        this->poller->cancel(check.timer);
        this->poller->unwatch(fd);
        close(fd);
    }
}

bool ConnectionCheck::check(const Endpoint& address, Milliseconds timeout, Callback callback)
{
    if (this->pending.size() >= limit)
        return false;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return false;
    const sockaddr_in target = internal::socketAddressOf(address);
    const int status = connect(fd, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
    const bool isOpen = status == 0;
    const bool isRefused = !isOpen && (errno == ECONNREFUSED || errno == EHOSTUNREACH || errno == ENETUNREACH);
    const bool isInProgress = !isOpen && errno == EINPROGRESS;
    if (isInProgress
        && this->poller->watch(fd, false, true, [this, fd](Readiness) { this->finish(fd, isConnected(fd)); })) {
        const TimerId timer = this->poller->schedule(timeout, [this, fd] {
            // Timers run before descriptors, so after a pause of this process the connection may be open already.
            pollfd state { fd, POLLOUT, 0 };
            this->finish(fd, poll(&state, 1, 0) == 1 && isConnected(fd));
        });
        this->pending.emplace(fd, Pending { std::move(callback), timer });
        return true;
    }
    if (!isOpen && !isRefused) {
        close(fd);
        return false;
    }
    // The result is known at once, but the callback must not be called from `check`.
    const TimerId timer = this->poller->schedule(Microseconds { 0 }, [this, fd, isOpen] { this->finish(fd, isOpen); });
    this->pending.emplace(fd, Pending { std::move(callback), timer });
    return true;
}

void ConnectionCheck::finish(int fd, bool connected)
{
    const auto found = this->pending.find(fd);
    const Callback callback = std::move(found->second.callback);
    this->poller->cancel(found->second.timer);
    this->poller->unwatch(fd);
    close(fd);
    this->pending.erase(found);
    callback(connected);
}

} // namespace zinnia::runtime
