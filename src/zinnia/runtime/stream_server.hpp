#pragma once

#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/result.hpp"
#include "zinnia/runtime/http2_connection.hpp"
#include "zinnia/runtime/stream_error.hpp"

#include <map>
#include <memory>
#include <optional>

namespace zinnia::runtime {

/** @brief Accepts HTTP/2 connections (prior knowledge, TCP) and answers POST bodies with bodies. */
class StreamServer {
public:
    /** @return The answer, or nothing to refuse the body with status 400. */
    using Handler = std::function<std::optional<Bytes>(BytesView body)>;

    /** @param address Port 0 chooses a free port. @param poller Has to outlive the server. */
    [[nodiscard]] static Result<std::unique_ptr<StreamServer>, StreamError> create(
        Poller& poller, const Endpoint& address, Handler handler);

    ~StreamServer();
    StreamServer(const StreamServer&) = delete;
    StreamServer& operator=(const StreamServer&) = delete;

    [[nodiscard]] Endpoint address() const { return this->bound; }
    [[nodiscard]] std::size_t connectionCount() const noexcept { return this->connections.size(); }

private:
    StreamServer(Poller& poller, int fd, Endpoint bound, Handler handler);
    void accept();

    Poller* poller;
    int fd;
    Endpoint bound;
    Handler handler;
    /**
     * @brief Closes the connection that has had no answered body for longest, apart from one.
     * @param minIdle Connections that were used more recently stay.
     * @return False if there is none.
     */
    bool closeLongestIdle(std::uint64_t except, Milliseconds minIdle);

    struct Connection {
        std::unique_ptr<Http2Connection> http;
        /** When it was opened, or a body was last answered; that of a stranger never is. */
        TimePoint lastUse;
    };

    /** Bounds what peers can make this process hold before their messages are authenticated. */
    ByteBudget budget;
    std::uint64_t nextConnection = 1;
    std::map<std::uint64_t, Connection> connections;
};

} // namespace zinnia::runtime
