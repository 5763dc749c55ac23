#include "zinnia/runtime/http_listener.hpp"

#include "zinnia/runtime/logger.hpp"
#include "zinnia/runtime/socket_address.hpp"

#include <Poco/Net/HTTPResponse.h>
#include <algorithm>
#include <array>
#include <cerrno>
#include <netinet/tcp.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace zinnia::runtime {

namespace {

    namespace net = Poco::Net;

    constexpr int backlog = 256;
    constexpr Milliseconds sweepInterval { 1000 };

    std::string textOf(const HttpResponse& response, bool keepAlive)
    {
        net::HTTPResponse head { net::HTTPMessage::HTTP_1_1,
            static_cast<net::HTTPResponse::HTTPStatus>(response.status) };
        head.setContentType(response.contentType);
        head.setContentLength64(static_cast<Poco::Int64>(response.body.size()));
        head.setKeepAlive(keepAlive);
        if (!response.location.empty())
            head.set("Location", response.location);
        std::ostringstream stream;
        head.write(stream);
        return stream.str() + response.body;
    }

    /** Bodies and answers up to this size are not counted in the budget. Unit: bytes. */
    constexpr std::size_t smallBytes = 16U << 10U;
    /** Limits for what still arrives after a refusal. */
    constexpr std::size_t maxDiscardedBytes = 8U << 20U;
    constexpr Milliseconds discardTime { 2000 };
    constexpr std::size_t maxRefused = 64;
    /** A client that has not completed a body, or read an answer, in this time makes room for others. */
    constexpr Milliseconds minHoldTime { 2000 };

    std::string_view reasonOf(int status)
    {
        static constexpr std::array<std::pair<int, std::string_view>, 6> reasons { {
            { http_status::methodNotAllowed, "method not allowed" },
            { http_status::lengthRequired, "the length of the body is missing" },
            { http_status::contentTooLarge, "the body exceeds the limit of its kind" },
            { http_status::pathTooLong, "the path is too long" },
            { http_status::headerTooLarge, "the request head is too large" },
            { http_status::serviceUnavailable, "too many bytes of other requests are in progress" },
        } };
        const auto* found
            = std::find_if(reasons.begin(), reasons.end(), [status](const auto& item) { return item.first == status; });
        return found != reasons.end() ? found->second : "the request head can't be read";
    }

} // namespace

struct HttpListener::Connection {
    int descriptor = -1;
    std::string input;
    /** Bytes of `input` that belong to handled requests; removed once for all requests that have arrived together. */
    std::size_t handledBytes {};
    std::string output;
    std::size_t sentBytes {};
    std::optional<HttpHead> head;
    ByteBudget::Share body;
    ByteBudget::Share answer;
    TimePoint lastUse;
    bool awaitingResponse {};
    /** Whether its requests are being handled further up the call stack. */
    bool processing {};
    bool closing {};
    /** Whether a part of a refused request may still arrive. */
    bool refused {};
    /** What the loop watches the socket for. */
    bool watchesReadable = true;
    bool watchesWritable {};

    [[nodiscard]] std::size_t unhandledBytes() const { return this->input.size() - this->handledBytes; }
    [[nodiscard]] bool hasOutput() const { return this->sentBytes < this->output.size(); }
    /** @return The number of bytes that may be stored now. */
    [[nodiscard]] std::size_t wantedBytes(const HttpHeadLimits& limits) const
    {
        if (this->closing && !this->head)
            return 0;
        const std::size_t limit = this->head ? this->head->bodyBytes : limits.bytes + httpHeadEnd.size();
        return limit - std::min(limit, this->unhandledBytes());
    }
};

Result<std::unique_ptr<HttpListener>, SocketError> HttpListener::create(
    Poller& poller, const HttpListenerSettings& settings, HttpRequestHandler handler)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return socketErrorOf(errno);
    const int enabled = 1;
    (void)setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    const sockaddr_in address = internal::socketAddressOf(settings.address);
    if (bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0
        || listen(descriptor, backlog) != 0) {
        const SocketError error = socketErrorOf(errno);
        ::close(descriptor);
        return error;
    }
    return std::unique_ptr<HttpListener> { new HttpListener { poller, settings, std::move(handler), descriptor } };
}

HttpListener::HttpListener(
    Poller& poller, const HttpListenerSettings& settings, HttpRequestHandler handler, int descriptor)
    : poller { &poller }
    , settings { settings }
    , handler { std::move(handler) }
    , descriptor { descriptor }
    , bound { settings.address }
    , budget { settings.bufferedBytes }
    , self { std::make_shared<HttpListener*>(this) }
{
    sockaddr_in address {};
    socklen_t size = sizeof(address);
    if (getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) == 0)
        this->bound = internal::endpointOf(address);
    poller.watch(descriptor, true, false, [this](Readiness) { this->accept(); });
    this->sweepTimer = poller.schedule(sweepInterval, [this] { this->sweep(); });
}

HttpListener::~HttpListener()
{
    *this->self = nullptr;
    this->poller->cancel(this->sweepTimer);
    this->poller->unwatch(this->descriptor);
    ::close(this->descriptor);
    while (!this->connections.empty())
        this->close(this->connections.begin()->first);
    while (!this->refused.empty())
        this->closeRefused(this->refused.begin()->first);
}

void HttpListener::accept()
{
    while (true) {
        const int accepted = accept4(this->descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted < 0)
            return;
        if (this->connections.size() >= this->settings.connections) {
            const auto longestIdle = std::min_element(this->connections.begin(), this->connections.end(),
                [](const auto& a, const auto& b) { return a.second->lastUse < b.second->lastUse; });
            this->close(longestIdle->first);
        }
        const int enabled = 1;
        (void)setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
        const std::uint64_t number = this->nextConnection++;
        auto connection = std::make_unique<Connection>();
        connection->descriptor = accepted;
        connection->lastUse = this->poller->now();
        this->connections.emplace(number, std::move(connection));
        this->poller->watch(
            accepted, true, false, [this, number](Readiness readiness) { this->onReady(number, readiness); });
    }
}

void HttpListener::onReady(std::uint64_t number, Readiness readiness)
{
    if (readiness.writable)
        this->flush(number);
    if (readiness.readable || readiness.failed)
        this->readFrom(number);
}

void HttpListener::readFrom(std::uint64_t number)
{
    const auto found = this->connections.find(number);
    if (found == this->connections.end())
        return;
    Connection& connection = *found->second;
    std::array<char, 16384> buffer; // NOLINT: filled by recv
    while (const std::size_t wanted = connection.wantedBytes(this->settings.head)) {
        const ssize_t size = recv(connection.descriptor, buffer.data(), std::min(wanted, buffer.size()), 0);
        if (size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR))
            return this->close(number);
        if (size < 0)
            break;
        connection.input.append(buffer.data(), static_cast<std::size_t>(size));
        this->processRequests(number);
        if (!this->connections.contains(number))
            return;
    }
    this->updateInterest(number, connection);
}

void HttpListener::updateInterest(std::uint64_t number, Connection& connection)
{
    const bool readable = connection.wantedBytes(this->settings.head) > 0;
    const bool writable = connection.hasOutput();
    if (readable == connection.watchesReadable && writable == connection.watchesWritable)
        return;
    connection.watchesReadable = readable;
    connection.watchesWritable = writable;
    this->poller->watch(connection.descriptor, readable, writable,
        [this, number](Readiness readiness) { this->onReady(number, readiness); });
}

void HttpListener::processRequests(std::uint64_t number)
{
    // Responses that the handler gives at once must not nest: a client may send any number of requests at a time.
    const auto found = this->connections.find(number);
    if (found == this->connections.end() || std::exchange(found->second->processing, true))
        return;
    while (this->processNextRequest(number)) { }
    // The connection may have been closed meanwhile.
    if (const auto remaining = this->connections.find(number); remaining != this->connections.end()) {
        Connection& connection = *remaining->second;
        connection.processing = false;
        connection.input.erase(0, std::exchange(connection.handledBytes, 0));
        // A head that was parsed now may want a body, although the connection was full before.
        this->updateInterest(number, connection);
    }
}

bool HttpListener::processNextRequest(std::uint64_t number)
{
    const auto found = this->connections.find(number);
    if (found == this->connections.end())
        return false;
    Connection& connection = *found->second;
    if (connection.awaitingResponse || connection.closing)
        return false;
    if (!connection.head && !this->readHead(number, connection))
        return false;
    const std::size_t bodyBytes = connection.head->bodyBytes;
    if (connection.unhandledBytes() < bodyBytes)
        return false;
    HttpRequest request = std::move(connection.head->request);
    request.body = connection.input.substr(connection.handledBytes, bodyBytes);
    connection.handledBytes += bodyBytes;
    if (connection.handledBytes == connection.input.size()) {
        connection.handledBytes = 0;
        std::string {}.swap(connection.input);
    }
    connection.closing = !connection.head->keepAlive;
    connection.head.reset();
    connection.awaitingResponse = true;
    connection.lastUse = this->poller->now();
    // The handler bounds what it keeps of the body.
    connection.body.release();
    this->handler(std::move(request), [owner = this->self, number](const HttpResponse& response) {
        if (*owner != nullptr)
            (*owner)->respond(number, response);
    });
    return true;
}

bool HttpListener::readHead(std::uint64_t number, Connection& connection)
{
    const std::string_view pending = std::string_view { connection.input }.substr(connection.handledBytes);
    const auto end = pending.find(httpHeadEnd);
    const std::size_t limit = this->settings.head.bytes;
    if (end == std::string_view::npos && pending.size() <= limit)
        return false;
    HttpHead head;
    if (std::min(end, pending.size()) > limit)
        head.status = http_status::headerTooLarge;
    else
        head = parseHttpHead(pending.substr(0, end + httpHeadEnd.size()), this->settings.head);
    if (head.status == http_status::ok)
        head.status = this->admit(head, number, connection);
    if (head.status != http_status::ok) {
        log(Event::HttpRequestRefused, Field { "status", head.status }, Field { "path", head.request.path },
            Field { "body_bytes", head.bodyBytes });
        // Bytes after a refused head cannot be distinguished from a new request.
        connection.closing = true;
        connection.refused = true;
        connection.awaitingResponse = true;
        this->respond(number, HttpResponse::text(head.status, std::string { reasonOf(head.status) } + "\n"));
        return false;
    }
    connection.handledBytes += end + httpHeadEnd.size();
    connection.head = std::move(head);
    return true;
}

int HttpListener::admit(const HttpHead& head, std::uint64_t number, Connection& connection)
{
    const std::size_t limit
        = this->settings.bodyLimit ? this->settings.bodyLimit(head.request) : this->settings.bodyBytes;
    if (head.bodyBytes > limit)
        return http_status::contentTooLarge;
    if (head.bodyBytes > smallBytes && !this->reserve(connection.body, head.bodyBytes, number))
        return http_status::serviceUnavailable;
    connection.lastUse = this->poller->now();
    return http_status::ok;
}

bool HttpListener::reserve(ByteBudget::Share& share, std::size_t size, std::uint64_t number)
{
    if (share.grow(this->budget, size))
        return true;
    auto oldest = this->connections.end();
    for (auto item = this->connections.begin(); item != this->connections.end(); ++item) {
        const bool holdsBytes = !item->second->body.isEmpty() || !item->second->answer.isEmpty();
        if (item->first != number && holdsBytes
            && (oldest == this->connections.end() || item->second->lastUse < oldest->second->lastUse))
            oldest = item;
    }
    if (oldest == this->connections.end() || this->poller->now() - oldest->second->lastUse < minHoldTime)
        return false;
    this->close(oldest->first);
    return share.grow(this->budget, size);
}

void HttpListener::respond(std::uint64_t number, const HttpResponse& response)
{
    const auto found = this->connections.find(number);
    if (found == this->connections.end() || !found->second->awaitingResponse)
        return;
    Connection& connection = *found->second;
    connection.awaitingResponse = false;
    connection.lastUse = this->poller->now();
    // A client that doesn't read must not hold more than its part of the memory.
    if (response.body.size() > smallBytes && !this->reserve(connection.answer, response.body.size(), number)) {
        const int status = http_status::serviceUnavailable;
        connection.output
            += textOf(HttpResponse::text(status, std::string { reasonOf(status) } + "\n"), !connection.closing);
    } else {
        connection.output += textOf(response, !connection.closing);
    }
    this->flush(number);
    this->processRequests(number);
}

void HttpListener::flush(std::uint64_t number)
{
    const auto found = this->connections.find(number);
    if (found == this->connections.end())
        return;
    Connection& connection = *found->second;
    while (connection.hasOutput()) {
        const ssize_t size = send(connection.descriptor, connection.output.data() + connection.sentBytes,
            connection.output.size() - connection.sentBytes, MSG_NOSIGNAL);
        if (size < 0 && errno != EAGAIN && errno != EINTR)
            return this->close(number);
        if (size < 0)
            break;
        connection.sentBytes += static_cast<std::size_t>(size);
    }
    if (!connection.hasOutput()) {
        connection.sentBytes = 0;
        std::string {}.swap(connection.output);
        connection.answer.release();
        if (connection.closing && !connection.awaitingResponse)
            return connection.refused ? this->discardRest(number) : this->close(number);
    }
    this->updateInterest(number, connection);
}

void HttpListener::discardRest(std::uint64_t number)
{
    auto connection = this->connections.extract(number);
    const int socket = connection.mapped()->descriptor;
    shutdown(socket, SHUT_WR);
    if (this->refused.size() >= maxRefused)
        this->closeRefused(this->refused.begin()->first);
    this->refused.emplace(number, Refused { socket, maxDiscardedBytes, this->poller->now() + discardTime });
    this->poller->watch(socket, true, false, [this, number](Readiness) { this->dropBytes(number); });
}

void HttpListener::dropBytes(std::uint64_t number)
{
    const auto found = this->refused.find(number);
    if (found == this->refused.end())
        return;
    std::array<char, 16384> buffer; // NOLINT: filled by recv
    while (found->second.remainingBytes > 0) {
        const ssize_t size = recv(found->second.descriptor, buffer.data(), buffer.size(), 0);
        if (size < 0 && (errno == EAGAIN || errno == EINTR))
            return;
        if (size <= 0)
            break;
        found->second.remainingBytes -= std::min(found->second.remainingBytes, static_cast<std::size_t>(size));
    }
    this->closeRefused(number);
}

void HttpListener::closeRefused(std::uint64_t number)
{
    const auto found = this->refused.find(number);
    if (found == this->refused.end())
        return;
    this->poller->unwatch(found->second.descriptor);
    ::close(found->second.descriptor);
    this->refused.erase(found);
}

void HttpListener::close(std::uint64_t number)
{
    const auto found = this->connections.find(number);
    if (found == this->connections.end())
        return;
    this->poller->unwatch(found->second->descriptor);
    ::close(found->second->descriptor);
    this->connections.erase(found);
}

void HttpListener::sweep()
{
    this->sweepTimer = this->poller->schedule(sweepInterval, [this] { this->sweep(); });
    const TimePoint now = this->poller->now();
    std::vector<std::uint64_t> idle;
    for (const auto& [number, connection] : this->connections) {
        if (now - connection->lastUse > this->settings.idleTimeout)
            idle.push_back(number);
    }
    for (const std::uint64_t number : idle)
        this->close(number);
    while (!this->refused.empty() && this->refused.begin()->second.deadline <= now)
        this->closeRefused(this->refused.begin()->first);
}

} // namespace zinnia::runtime
