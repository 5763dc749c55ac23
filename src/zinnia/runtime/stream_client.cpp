#include "zinnia/runtime/stream_client.hpp"

#include "zinnia/runtime/socket_address.hpp"

#include <algorithm>
#include <cerrno>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace zinnia::runtime {

namespace {

    /** Bytes that the kernel keeps beyond those in flight; without it, small messages wait behind megabytes. */
    constexpr int maxUnsentBytes = 1 << 15;

} // namespace

StreamClient::StreamClient(Poller& poller, const Endpoint& peer, StreamClientSettings settings)
    : poller { &poller }
    , peer { peer }
    , settings { settings }
    , backoff { settings.minBackoff }
{
    this->connect();
}

StreamClient::~StreamClient()
{
    if (this->retryTimer)
        this->poller->cancel(*this->retryTimer);
    for (const auto& [number, request] : this->requests)
        this->poller->cancel(request.timer);
    if (this->connecting >= 0) {
        this->poller->unwatch(this->connecting);
        close(this->connecting);
    }
}

Result<void, StreamError> StreamClient::send(Bytes body, Callback callback)
{
    if (this->requests.size() >= this->settings.maxQueuedRequests
        || this->queuedBytes + body.size() > this->settings.maxQueuedBytes)
        return StreamError::QueueFull;
    const std::uint64_t number = this->nextRequest++;
    const TimerId timer = this->poller->schedule(this->settings.timeout, [this, number] { this->onTimeout(number); });
    this->queuedBytes += body.size();
    const std::size_t size = body.size();
    this->requests.emplace(number, Request { std::move(body), size, std::move(callback), timer, std::nullopt });
    this->sendQueued();
    return success();
}

void StreamClient::connect()
{
    this->connecting = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (this->connecting < 0)
        return this->scheduleReconnect();
    const int enabled = 1;
    setsockopt(this->connecting, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    setsockopt(this->connecting, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &maxUnsentBytes, sizeof(maxUnsentBytes));
    const sockaddr_in address = internal::socketAddressOf(this->peer);
    const int status = ::connect(this->connecting, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    const bool started = status == 0 || errno == EINPROGRESS;
    if (!started || !this->poller->watch(this->connecting, false, true, [this](Readiness) { this->onConnecting(); })) {
        close(std::exchange(this->connecting, -1));
        return this->scheduleReconnect();
    }
    // Bounds a connection attempt that gets no answer.
    this->retryTimer = this->poller->schedule(this->settings.timeout, [this] {
        this->retryTimer.reset();
        this->poller->unwatch(this->connecting);
        close(std::exchange(this->connecting, -1));
        this->scheduleReconnect();
    });
}

void StreamClient::onConnecting()
{
    const int fd = std::exchange(this->connecting, -1);
    this->poller->unwatch(fd);
    if (this->retryTimer)
        this->poller->cancel(*std::exchange(this->retryTimer, std::nullopt));
    int error = 0;
    socklen_t size = sizeof(error);
    if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0)
        return this->onConnected(fd);
    close(fd);
    this->scheduleReconnect();
}

void StreamClient::onConnected(int fd)
{
    Http2Connection::Callbacks callbacks;
    callbacks.onBody = [this](std::int32_t stream, bool accepted, Bytes body) {
        this->backoff = this->settings.minBackoff;
        this->finishStream(stream, accepted ? Result<Bytes, StreamError> { std::move(body) } : StreamError::Refused);
    };
    callbacks.onReset = [this](std::int32_t stream) { this->finishStream(stream, StreamError::ConnectionLost); };
    callbacks.onClosed = [this] { this->disconnect(); };
    this->connection
        = std::make_unique<Http2Connection>(*this->poller, fd, Http2Connection::Side::Client, std::move(callbacks));
    this->sendQueued();
}

void StreamClient::scheduleReconnect()
{
    this->retryTimer = this->poller->schedule(this->backoff, [this] {
        this->retryTimer.reset();
        this->connect();
    });
    this->backoff = std::min(this->backoff * 2, this->settings.maxBackoff);
}

void StreamClient::disconnect()
{
    if (!this->connection)
        return;
    this->connection.reset();
    std::vector<std::uint64_t> lost;
    for (const auto& [stream, number] : this->byStream)
        lost.push_back(number);
    this->scheduleReconnect();
    for (const auto number : lost)
        this->finish(number, StreamError::ConnectionLost);
}

void StreamClient::sendQueued()
{
    if (!this->connection)
        return;
    for (auto& [number, request] : this->requests) {
        if (request.stream)
            continue;
        request.stream = this->connection->post(request.body);
        if (!request.stream)
            return; // the connection has failed; the rest is sent on the next one
        this->byStream[*request.stream] = number;
    }
}

void StreamClient::finishStream(std::int32_t stream, Result<Bytes, StreamError> result)
{
    if (const auto found = this->byStream.find(stream); found != this->byStream.end())
        this->finish(found->second, std::move(result));
}

void StreamClient::finish(std::uint64_t number, Result<Bytes, StreamError> result)
{
    auto request = this->requests.extract(number);
    if (request.empty())
        return;
    this->poller->cancel(request.mapped().timer);
    this->queuedBytes -= request.mapped().size;
    if (request.mapped().stream)
        this->byStream.erase(*request.mapped().stream);
    request.mapped().callback(std::move(result));
}

bool StreamClient::hasProgressed(const Request& request) const
{
    return this->connection && request.stream && request.size > this->settings.minProgressBytes
        && this->connection->writtenBytes(*request.stream) > request.written;
}

void StreamClient::onTimeout(std::uint64_t number)
{
    const auto found = this->requests.find(number);
    if (found == this->requests.end())
        return;
    if (Request& request = found->second; this->hasProgressed(request)) {
        request.written = this->connection->writtenBytes(*request.stream);
        request.timer = this->poller->schedule(this->settings.timeout, [this, number] { this->onTimeout(number); });
        return;
    }
    const bool wasSent = found->second.stream.has_value();
    this->finish(number, StreamError::TimedOut);
    if (wasSent)
        this->disconnect();
}

} // namespace zinnia::runtime
