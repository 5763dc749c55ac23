#pragma once

#include "zinnia/core/byte_budget.hpp"
#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/result.hpp"
#include "zinnia/core/time.hpp"
#include "zinnia/runtime/http_head.hpp"
#include "zinnia/runtime/http_message.hpp"
#include "zinnia/runtime/poller.hpp"
#include "zinnia/runtime/udp_socket.hpp"

#include <functional>
#include <map>
#include <memory>

namespace zinnia::runtime {

/** @brief Limits of an HTTP listener. */
struct HttpListenerSettings {
    Endpoint address;
    /** Limit of concurrent connections; a further one replaces the one that has been idle for longest. */
    std::size_t connections = 512;
    HttpHeadLimits head {};
    /** Maximum size of an accepted body, unless `bodyLimit` is given. Unit: bytes. */
    std::size_t bodyBytes = 1U << 10U;
    /** @return The maximum size of the body that belongs to a head; may be empty. Unit: bytes. */
    std::function<std::size_t(const HttpRequest& head)> bodyLimit {};
    /**
     * Bound of the sum of all bodies that are being received and all answers that are being sent; small ones do not
     * count, as `connections` bounds them. Unit: bytes.
     */
    std::size_t bufferedBytes = 1U << 20U;
    /** A connection without a complete request for this long is closed. */
    Milliseconds idleTimeout { 15000 };
};

/** @brief Sends the answer to one request; to be called once, at any later time, on the loop thread. */
using HttpResponder = std::function<void(HttpResponse)>;
using HttpRequestHandler = std::function<void(HttpRequest, HttpResponder)>;

/**
 * @brief Serves HTTP/1.1 on the loop thread, without a thread for each connection.
 *
 * Answers may be given later, so that a call can wait for a commit without blocking the others. Requests of one
 * connection are answered in order, one at a time. What exceeds a limit is refused as soon as its head has arrived
 * (`core/input_limits.hpp`).
 */
class HttpListener {
public:
    /** @param poller Has to outlive the listener. */
    [[nodiscard]] static Result<std::unique_ptr<HttpListener>, SocketError> create(
        Poller& poller, const HttpListenerSettings& settings, HttpRequestHandler handler);
    ~HttpListener();
    HttpListener(const HttpListener&) = delete;
    HttpListener& operator=(const HttpListener&) = delete;

    /** @return The address with the actual port. */
    [[nodiscard]] Endpoint address() const { return this->bound; }
    [[nodiscard]] std::size_t connectionCount() const noexcept { return this->connections.size(); }

private:
    struct Connection;
    /** @brief A connection whose refused request is still arriving; its bytes are dropped. */
    struct Refused {
        int descriptor = -1;
        std::size_t remainingBytes {};
        TimePoint deadline;
    };

    HttpListener(Poller& poller, const HttpListenerSettings& settings, HttpRequestHandler handler, int descriptor);

    void accept();
    void onReady(std::uint64_t number, Readiness readiness);
    void readFrom(std::uint64_t number);
    /** @brief Handles the requests that have arrived, one after the other, until one has to wait for its response. */
    void processRequests(std::uint64_t number);
    /** @return True if a request was passed to the handler; false if the next one has not arrived completely. */
    bool processNextRequest(std::uint64_t number);
    /** @return False if the next head has not arrived completely or is refused. */
    bool readHead(std::uint64_t number, Connection& connection);
    /** @return The status with which a request is refused before its body is received; `ok` if it is not. */
    [[nodiscard]] int admit(const HttpHead& head, std::uint64_t number, Connection& connection);
    /** @brief Adds to a share of the budget; the connection that has held one for longest may be closed for it. */
    [[nodiscard]] bool reserve(ByteBudget::Share& share, std::size_t size, std::uint64_t number);
    /** @brief Watches the socket for what the connection can do next. */
    void updateInterest(std::uint64_t number, Connection& connection);
    /** @brief Drops what still arrives on a connection for a short time: a reset could overtake the answer. */
    void discardRest(std::uint64_t number);
    void dropBytes(std::uint64_t number);
    void closeRefused(std::uint64_t number);
    void respond(std::uint64_t number, const HttpResponse& response);
    void flush(std::uint64_t number);
    void close(std::uint64_t number);
    void sweep();

    Poller* poller;
    HttpListenerSettings settings;
    HttpRequestHandler handler;
    int descriptor;
    Endpoint bound;
    std::uint64_t nextConnection = 1;
    ByteBudget budget;
    std::map<std::uint64_t, std::unique_ptr<Connection>> connections;
    std::map<std::uint64_t, Refused> refused;
    TimerId sweepTimer;
    /** Shared with the responders, which may be called after the listener is destroyed; then null. */
    std::shared_ptr<HttpListener*> self;
};

} // namespace zinnia::runtime
