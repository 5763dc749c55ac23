#include "zinnia/runtime/http_listener.hpp"

#include "zinnia/runtime/logger.hpp"
#include "zinnia/runtime/socket_address.hpp"

#include <Poco/Exception.h>
#include <Poco/MemoryStream.h>
#include <Poco/Net/HTTPRequest.h>
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
    constexpr std::string_view headerEnd = "\r\n\r\n";

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

    /** @brief A parsed request head, or the status with which it is refused. */
    struct Head {
        int status = http_status::ok;
        HttpRequest request;
        std::size_t bodyBytes {};
        bool keepAlive {};
    };

    Head parseHead(std::string_view text)
    {
        Head head;
        try {
            Poco::MemoryInputStream stream { text.data(), static_cast<std::streamsize>(text.size()) };
            net::HTTPRequest parsed;
            parsed.read(stream);
            const auto method = valueIn(httpMethodNames, parsed.getMethod());
            if (!method)
                head.status = http_status::methodNotAllowed;
            else if (parsed.getChunkedTransferEncoding())
                head.status = http_status::lengthRequired;
            head.request
                = HttpRequest { method.value_or(HttpMethod {}), parsed.getURI(), parsed.get("Authorization", ""), "" };
            head.bodyBytes
                = parsed.hasContentLength() ? static_cast<std::size_t>(parsed.getContentLength64()) : std::size_t { 0 };
            head.keepAlive = parsed.getKeepAlive();
        } catch (const Poco::Exception&) {
            head.status = http_status::badRequest;
        }
        return head;
    }

} // namespace

struct HttpListener::Connection {
    int descriptor = -1;
    std::string input;
    /** Bytes of `input` that belong to handled requests; removed once for all requests that have arrived together. */
    std::size_t handledBytes {};
    std::string output;
    std::optional<Head> head;
    TimePoint lastUse;
    bool awaitingResponse {};
    /** Whether its requests are being handled further up the call stack. */
    bool processing {};
    bool closing {};
    /** Whether the loop watches the socket for writability. */
    bool watchesWritable {};
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
    std::array<char, 16384> buffer {};
    const std::size_t limit = this->settings.headerBytes + this->settings.bodyBytes;
    while (connection.input.size() <= limit) {
        const ssize_t size = recv(connection.descriptor, buffer.data(), buffer.size(), 0);
        if (size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR))
            return this->close(number);
        if (size < 0)
            break;
        connection.input.append(buffer.data(), static_cast<std::size_t>(size));
    }
    this->processRequests(number);
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
    if (!connection.head) {
        const std::string_view pending = std::string_view { connection.input }.substr(connection.handledBytes);
        const auto end = pending.find(headerEnd);
        const bool tooLarge = (end == std::string::npos ? pending.size() : end) > this->settings.headerBytes;
        if (end == std::string::npos && !tooLarge)
            return false;
        Head head;
        if (tooLarge)
            head.status = http_status::headerTooLarge;
        else
            head = parseHead(pending.substr(0, end + headerEnd.size()));
        if (head.bodyBytes > this->settings.bodyBytes)
            head.status = http_status::contentTooLarge;
        if (head.status != http_status::ok) {
            log(Event::HttpRequestRefused, Field { "status", head.status }, Field { "path", head.request.path });
            // Bytes after a refused head cannot be distinguished from a new request.
            connection.closing = true;
            connection.awaitingResponse = true;
            this->respond(number, HttpResponse::text(head.status, "refused\n"));
            return false;
        }
        connection.handledBytes += end + headerEnd.size();
        connection.head = std::move(head);
    }
    if (connection.input.size() - connection.handledBytes < connection.head->bodyBytes)
        return false;
    HttpRequest request = std::move(connection.head->request);
    request.body = connection.input.substr(connection.handledBytes, connection.head->bodyBytes);
    connection.handledBytes += connection.head->bodyBytes;
    connection.closing = !connection.head->keepAlive;
    connection.head.reset();
    connection.awaitingResponse = true;
    connection.lastUse = this->poller->now();
    this->handler(std::move(request), [owner = this->self, number](const HttpResponse& response) {
        if (*owner != nullptr)
            (*owner)->respond(number, response);
    });
    return true;
}

void HttpListener::respond(std::uint64_t number, const HttpResponse& response)
{
    const auto found = this->connections.find(number);
    if (found == this->connections.end() || !found->second->awaitingResponse)
        return;
    Connection& connection = *found->second;
    connection.awaitingResponse = false;
    connection.lastUse = this->poller->now();
    connection.output += textOf(response, !connection.closing);
    this->flush(number);
    this->processRequests(number);
}

void HttpListener::flush(std::uint64_t number)
{
    const auto found = this->connections.find(number);
    if (found == this->connections.end())
        return;
    Connection& connection = *found->second;
    while (!connection.output.empty()) {
        const ssize_t size
            = send(connection.descriptor, connection.output.data(), connection.output.size(), MSG_NOSIGNAL);
        if (size < 0 && errno != EAGAIN && errno != EINTR)
            return this->close(number);
        if (size < 0)
            break;
        connection.output.erase(0, static_cast<std::size_t>(size));
    }
    if (connection.output.empty() && connection.closing && !connection.awaitingResponse)
        return this->close(number);
    const bool pending = !connection.output.empty();
    if (pending == connection.watchesWritable)
        return;
    connection.watchesWritable = pending;
    this->poller->watch(connection.descriptor, true, pending,
        [this, number](Readiness readiness) { this->onReady(number, readiness); });
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
}

} // namespace zinnia::runtime
