#pragma once

#include "zinnia/core/byte_budget.hpp"
#include "zinnia/core/bytes.hpp"
#include "zinnia/runtime/poller.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <nghttp2/nghttp2.h>
#include <optional>
#include <unordered_map>

namespace zinnia::runtime {

/** @brief One HTTP/2 connection of either side, on a connected socket that it owns. */
class Http2Connection {
public:
    struct Callbacks {
        /** A complete body was received; `accepted` is true if the status was 200 or, on a server, the method POST. */
        std::function<void(std::int32_t stream, bool accepted, Bytes body)> onBody;
        /** A stream ended without a complete body. */
        std::function<void(std::int32_t stream)> onReset;
        /** The connection can no longer be used. Called from the loop, so that the owner may destroy it. */
        std::function<void()> onClosed;
        /** The budget has no room for a body. @return True if there may be some now. Empty if nothing can make room. */
        std::function<bool()> makeRoom {};
    };

    enum class Side : unsigned char { Server, Client };

    /** @param budget Bounds the bodies that are being received, with those of other connections; may be null. */
    Http2Connection(Poller& poller, int fd, Side side, Callbacks callbacks, ByteBudget* budget = nullptr);
    ~Http2Connection();
    Http2Connection(const Http2Connection&) = delete;
    Http2Connection& operator=(const Http2Connection&) = delete;

    /** @brief Client: sends a POST. @return The stream; nothing if no more can be opened, and `body` is unchanged. */
    [[nodiscard]] std::optional<std::int32_t> post(Bytes& body);
    /** @return How much of the body of a stream has been encoded for the socket. Unit: bytes. */
    [[nodiscard]] std::size_t writtenBytes(std::int32_t stream) const;
    /** @brief Server: answers 200 with a body, or 400 without one. */
    void answer(std::int32_t stream, std::optional<Bytes> body);

private:
    struct Stream {
        Bytes received;
        ByteBudget::Share share;
        Bytes sent;
        std::size_t offset {};
        bool accepted {};
        bool complete {};
        /** Whether its body has exceeded a limit; what still arrives of it is dropped. */
        bool refused {};
    };

    void onReady(Readiness ready);
    void receive();
    void flush();
    void fail();
    void scheduleFlush();

    static int onHeader(nghttp2_session* session, const nghttp2_frame* frame, const std::uint8_t* name,
        std::size_t nameSize, const std::uint8_t* value, std::size_t valueSize, std::uint8_t flags, void* user);
    static int onData(nghttp2_session* session, std::uint8_t flags, std::int32_t stream, const std::uint8_t* data,
        std::size_t size, void* user);
    static int onFrame(nghttp2_session* session, const nghttp2_frame* frame, void* user);
    static int onStreamClose(nghttp2_session* session, std::int32_t stream, std::uint32_t error, void* user);
    static ssize_t onRead(nghttp2_session* session, std::int32_t stream, std::uint8_t* buffer, std::size_t size,
        std::uint32_t* flags, nghttp2_data_source* source, void* user);

    Poller* poller;
    int fd;
    Side side;
    Callbacks callbacks;
    ByteBudget* budget;
    nghttp2_session* session {};
    std::unordered_map<std::int32_t, Stream> streams;
    Bytes output;
    bool failed {};
    bool watchesWritable {};
    std::optional<TimerId> flushTimer;
    std::optional<TimerId> closeTimer;
};

} // namespace zinnia::runtime
