#pragma once

#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/result.hpp"
#include "zinnia/runtime/http2_connection.hpp"
#include "zinnia/runtime/stream_error.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace zinnia::runtime {

struct StreamClientSettings {
    /**
     * Time from `send` to the complete answer, and for a request that takes longer than this to send, from the last
     * progress. A peer that does not read makes no progress.
     */
    Milliseconds timeout { 1000 };
    /** Requests up to this size get no more time than `timeout`: the socket takes them even if the peer is gone. */
    std::size_t minProgressBytes = 64U << 10U;
    Milliseconds minBackoff { 50 };
    Milliseconds maxBackoff { 1000 };
    /** Requests without an answer, on the connection or waiting for one. */
    std::size_t maxQueuedRequests = 256;
    /** Total size of their bodies. Unit: bytes. */
    std::size_t maxQueuedBytes = 64U << 20U;
};

/**
 * @brief Keeps one HTTP/2 connection to a peer and sends POST bodies on it.
 *
 * A timeout closes the connection: after a network partition that drops packets silently, a new
 * one works earlier than the retransmissions of the old one. A request is sent at most once.
 */
class StreamClient {
public:
    using Callback = std::function<void(Result<Bytes, StreamError>)>;

    /** @param poller Has to outlive the client. */
    StreamClient(Poller& poller, const Endpoint& peer, StreamClientSettings settings = {});
    ~StreamClient();
    StreamClient(const StreamClient&) = delete;
    StreamClient& operator=(const StreamClient&) = delete;

    /** @return QueueFull if the request was not accepted; otherwise the callback is called once, later. */
    [[nodiscard]] Result<void, StreamError> send(Bytes body, Callback callback);

    [[nodiscard]] bool isConnected() const noexcept { return this->connection != nullptr; }
    [[nodiscard]] std::size_t queueSize() const noexcept { return this->requests.size(); }

private:
    struct Request {
        Bytes body;
        std::size_t size {};
        Callback callback;
        TimerId timer;
        std::optional<std::int32_t> stream;
        /** Size of the part that had been written when the timer was started. Unit: bytes. */
        std::size_t written {};
    };

    void connect();
    void onConnecting();
    void onConnected(int fd);
    void scheduleReconnect();
    void disconnect();
    void sendQueued();
    void finish(std::uint64_t number, Result<Bytes, StreamError> result);
    void onTimeout(std::uint64_t number);
    /** @return True if a part of the request was written since its timer was started. */
    [[nodiscard]] bool hasProgressed(const Request& request) const;
    void finishStream(std::int32_t stream, Result<Bytes, StreamError> result);

    Poller* poller;
    Endpoint peer;
    StreamClientSettings settings;
    int connecting = -1;
    Milliseconds backoff;
    std::optional<TimerId> retryTimer;
    std::unique_ptr<Http2Connection> connection;
    std::uint64_t nextRequest = 1;
    std::size_t queuedBytes {};
    std::map<std::uint64_t, Request> requests;
    std::map<std::int32_t, std::uint64_t> byStream;
};

} // namespace zinnia::runtime
