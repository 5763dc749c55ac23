#include "zinnia/runtime/stream_server.hpp"

#include "zinnia/core/reasons.hpp"
#include "zinnia/runtime/logger.hpp"
#include "zinnia/runtime/socket_address.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace zinnia::runtime {

namespace {

    constexpr int backlog = 128;
    /** A further connection takes the place of the one that is idle for longest; peers are at most some hundred. */
    constexpr std::size_t maxConnections = 512;
    /** Bodies that are being received; enough for the largest one, a snapshot, beside others. Unit: bytes. */
    constexpr std::size_t receivedBytes = 2 * maxStreamBodyBytes;
    /** A peer that sends a large body may need this long between two answers. */
    constexpr Milliseconds minIdleTime { 2000 };

} // namespace

Result<std::unique_ptr<StreamServer>, StreamError> StreamServer::create(
    Poller& poller, const Endpoint& address, Handler handler)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return StreamError::CannotListen;
    const int enabled = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    const sockaddr_in requested = internal::socketAddressOf(address);
    sockaddr_in actual {};
    socklen_t size = sizeof(actual);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&requested), sizeof(requested)) != 0 || listen(fd, backlog) != 0
        || getsockname(fd, reinterpret_cast<sockaddr*>(&actual), &size) != 0) {
        close(fd);
        return StreamError::CannotListen;
    }
    std::unique_ptr<StreamServer> server { new StreamServer {
        poller, fd, internal::endpointOf(actual), std::move(handler) } };
    if (!poller.watch(fd, true, false, [raw = server.get()](Readiness) { raw->accept(); }))
        return StreamError::CannotListen;
    return server;
}

StreamServer::StreamServer(Poller& poller, int fd, Endpoint bound, Handler handler)
    : poller { &poller }
    , fd { fd }
    , bound { bound }
    , handler { std::move(handler) }
    , budget { receivedBytes }
{
}

StreamServer::~StreamServer()
{
    this->poller->unwatch(this->fd);
    close(this->fd);
}

void StreamServer::accept()
{
    const int peer = accept4(this->fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (peer < 0)
        return;
    if (this->connections.size() >= maxConnections)
        (void)this->closeLongestIdle(0, Milliseconds { 0 });
    const int enabled = 1;
    setsockopt(peer, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    const std::uint64_t number = this->nextConnection++;
    Http2Connection::Callbacks callbacks;
    callbacks.onBody = [this, number](std::int32_t stream, bool accepted, const Bytes& body) {
        if (!accepted)
            log(Event::MessageRefused, Field { "reason", RefusalReason::Malformed }, Field { "bytes", body.size() });
        auto answer = accepted ? this->handler(body) : std::nullopt;
        Connection& connection = this->connections.at(number);
        if (answer)
            connection.lastUse = this->poller->now();
        connection.http->answer(stream, std::move(answer));
    };
    callbacks.onReset = [](std::int32_t) {};
    callbacks.makeRoom = [this, number] { return this->closeLongestIdle(number, minIdleTime); };
    callbacks.onClosed = [this, number] { this->connections.erase(number); };
    this->connections[number] = { std::make_unique<Http2Connection>(*this->poller, peer, Http2Connection::Side::Server,
                                      std::move(callbacks), &this->budget),
        this->poller->now() };
}

bool StreamServer::closeLongestIdle(std::uint64_t except, Milliseconds minIdle)
{
    auto longestIdle = this->connections.end();
    for (auto item = this->connections.begin(); item != this->connections.end(); ++item) {
        if (item->first != except
            && (longestIdle == this->connections.end() || item->second.lastUse < longestIdle->second.lastUse))
            longestIdle = item;
    }
    if (longestIdle == this->connections.end() || this->poller->now() - longestIdle->second.lastUse < minIdle)
        return false;
    this->connections.erase(longestIdle);
    return true;
}

} // namespace zinnia::runtime
