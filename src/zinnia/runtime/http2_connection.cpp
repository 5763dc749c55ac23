#include "zinnia/runtime/http2_connection.hpp"

#include "zinnia/runtime/stream_error.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace zinnia::runtime {

namespace {

    constexpr std::size_t chunkBytes = 1U << 16U;
    /** Output that is encoded ahead of the socket. Small messages wait for it, large ones do not. Unit: bytes. */
    constexpr std::size_t maxOutputBytes = 1U << 15U;
    constexpr std::uint32_t streamWindowBytes = 1U << 20U;
    constexpr std::int32_t connectionWindowBytes = 1 << 24;
    /** A peer that opens streams and completes none must not hold much memory. Clients assume 100 before they know. */
    constexpr std::uint32_t maxConcurrentStreams = 100;
    constexpr std::uint32_t maxHeaderListBytes = 4096;

    nghttp2_nv header(std::string_view name, std::string_view value)
    {
        auto* nameBytes = reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data()));
        auto* valueBytes = reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data()));
        return { nameBytes, valueBytes, name.size(), value.size(), NGHTTP2_NV_FLAG_NONE };
    }

    Http2Connection& connectionOf(void* user) { return *static_cast<Http2Connection*>(user); }

} // namespace

Http2Connection::Http2Connection(Poller& poller, int fd, Side side, Callbacks callbacks, ByteBudget* budget)
    : poller { &poller }
    , fd { fd }
    , side { side }
    , callbacks { std::move(callbacks) }
    , budget { budget }
{
    nghttp2_session_callbacks* table = nullptr;
    nghttp2_session_callbacks_new(&table);
    nghttp2_session_callbacks_set_on_header_callback(table, &Http2Connection::onHeader);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(table, &Http2Connection::onData);
    nghttp2_session_callbacks_set_on_frame_recv_callback(table, &Http2Connection::onFrame);
    nghttp2_session_callbacks_set_on_stream_close_callback(table, &Http2Connection::onStreamClose);
    if (side == Side::Server)
        nghttp2_session_server_new(&this->session, table, this);
    else
        nghttp2_session_client_new(&this->session, table, this);
    nghttp2_session_callbacks_del(table);
    const std::array settings {
        nghttp2_settings_entry { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, maxConcurrentStreams },
        nghttp2_settings_entry { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, streamWindowBytes },
        nghttp2_settings_entry { NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, maxHeaderListBytes },
    };
    nghttp2_submit_settings(this->session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(this->session, NGHTTP2_FLAG_NONE, 0, connectionWindowBytes);
    if (!this->poller->watch(fd, true, false, [this](Readiness ready) { this->onReady(ready); }))
        this->fail();
    this->scheduleFlush();
}

Http2Connection::~Http2Connection()
{
    if (this->flushTimer)
        this->poller->cancel(*this->flushTimer);
    if (this->closeTimer)
        this->poller->cancel(*this->closeTimer);
    this->poller->unwatch(this->fd);
    nghttp2_session_del(this->session);
    close(this->fd);
}

std::optional<std::int32_t> Http2Connection::post(Bytes& body)
{
    if (this->failed)
        return std::nullopt;
    const std::array headers { header(":method", "POST"), header(":scheme", "http"), header(":authority", "zinnia"),
        header(":path", "/v1/message") };
    const nghttp2_data_provider provider { {}, &Http2Connection::onRead };
    const std::int32_t stream
        = nghttp2_submit_request(this->session, nullptr, headers.data(), headers.size(), &provider, nullptr);
    if (stream < 0)
        return std::nullopt;
    this->streams[stream].sent = std::exchange(body, {});
    this->scheduleFlush();
    return stream;
}

std::size_t Http2Connection::writtenBytes(std::int32_t stream) const
{
    const auto found = this->streams.find(stream);
    return found == this->streams.end() ? 0 : found->second.offset;
}

void Http2Connection::answer(std::int32_t stream, std::optional<Bytes> body)
{
    const auto found = this->streams.find(stream);
    if (this->failed || found == this->streams.end())
        return;
    const std::array headers { header(":status", body ? "200" : "400") };
    found->second.sent = std::move(body).value_or(Bytes {});
    const nghttp2_data_provider provider { {}, &Http2Connection::onRead };
    nghttp2_submit_response(this->session, stream, headers.data(), headers.size(), &provider);
    this->scheduleFlush();
}

void Http2Connection::onReady(Readiness ready)
{
    if (ready.readable || ready.failed)
        this->receive();
    if (!this->failed)
        this->flush();
}

void Http2Connection::receive()
{
    std::array<std::uint8_t, chunkBytes> buffer; // NOLINT: filled by recv
    const ssize_t count = recv(this->fd, buffer.data(), buffer.size(), 0);
    if (count < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (count <= 0)
        return this->fail();
    const auto size = static_cast<std::size_t>(count);
    if (nghttp2_session_mem_recv(this->session, buffer.data(), size) != count)
        this->fail();
}

void Http2Connection::flush()
{
    while (true) {
        while (this->output.size() < maxOutputBytes) {
            const std::uint8_t* data = nullptr;
            const ssize_t size = nghttp2_session_mem_send(this->session, &data);
            if (size < 0)
                return this->fail();
            if (size == 0)
                break;
            this->output.insert(this->output.end(), data, data + size);
        }
        if (this->output.empty())
            break;
        const ssize_t sent = send(this->fd, this->output.data(), this->output.size(), MSG_NOSIGNAL);
        if (sent < 0 && (errno == EAGAIN || errno == EINTR))
            break;
        if (sent <= 0)
            return this->fail();
        this->output.erase(this->output.begin(), this->output.begin() + sent);
    }
    if (nghttp2_session_want_read(this->session) == 0 && nghttp2_session_want_write(this->session) == 0)
        return this->fail();
    if (this->watchesWritable == this->output.empty()) {
        this->watchesWritable = !this->output.empty();
        if (!this->poller->watch(
                this->fd, true, this->watchesWritable, [this](Readiness ready) { this->onReady(ready); }))
            this->fail();
    }
}

void Http2Connection::scheduleFlush()
{
    if (this->flushTimer || this->failed)
        return;
    this->flushTimer = this->poller->schedule(Microseconds { 0 }, [this] {
        this->flushTimer.reset();
        if (!this->failed)
            this->flush();
    });
}

void Http2Connection::fail()
{
    if (this->failed)
        return;
    this->failed = true;
    this->poller->unwatch(this->fd);
    this->closeTimer = this->poller->schedule(Microseconds { 0 }, [this] {
        this->closeTimer.reset();
        const auto callback = this->callbacks.onClosed; // the callback may destroy this object
        callback();
    });
}

int Http2Connection::onHeader(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
    std::size_t nameSize, const std::uint8_t* value, std::size_t valueSize, std::uint8_t, void* user)
{
    const std::string_view nameText { reinterpret_cast<const char*>(name), nameSize };
    const std::string_view valueText { reinterpret_cast<const char*>(value), valueSize };
    Stream& stream = connectionOf(user).streams[frame->hd.stream_id];
    if ((nameText == ":status" && valueText == "200") || (nameText == ":method" && valueText == "POST"))
        stream.accepted = true;
    return 0;
}

int Http2Connection::onData(
    nghttp2_session* session, std::uint8_t, std::int32_t stream, const std::uint8_t* data, std::size_t size, void* user)
{
    auto& connection = connectionOf(user);
    Stream& state = connection.streams[stream];
    if (state.refused)
        return 0;
    const auto reserve = [&] { return connection.budget == nullptr || state.share.grow(*connection.budget, size); };
    bool fits = state.received.size() + size <= maxStreamBodyBytes;
    if (fits && !reserve())
        fits = connection.callbacks.makeRoom && connection.callbacks.makeRoom() && reserve();
    if (!fits) {
        state.refused = true;
        state.share.release();
        Bytes {}.swap(state.received);
        return nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, stream, NGHTTP2_ENHANCE_YOUR_CALM);
    }
    state.received.insert(state.received.end(), data, data + size);
    return 0;
}

int Http2Connection::onFrame(nghttp2_session*, const nghttp2_frame* frame, void* user)
{
    const bool carriesBody = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
    if (!carriesBody || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0)
        return 0;
    auto& connection = connectionOf(user);
    const auto found = connection.streams.find(frame->hd.stream_id);
    if (found == connection.streams.end() || found->second.complete || found->second.refused)
        return 0;
    found->second.complete = true;
    found->second.share.release();
    connection.callbacks.onBody(frame->hd.stream_id, found->second.accepted, std::exchange(found->second.received, {}));
    return 0;
}

int Http2Connection::onStreamClose(nghttp2_session*, std::int32_t stream, std::uint32_t, void* user)
{
    auto& connection = connectionOf(user);
    const auto closed = connection.streams.extract(stream);
    if (!closed.empty() && !closed.mapped().complete)
        connection.callbacks.onReset(stream);
    return 0;
}

ssize_t Http2Connection::onRead(nghttp2_session*, std::int32_t stream, std::uint8_t* buffer, std::size_t size,
    std::uint32_t* flags, nghttp2_data_source*, void* user)
{
    Stream& state = connectionOf(user).streams[stream];
    const std::size_t count = std::min(size, state.sent.size() - state.offset);
    std::copy_n(state.sent.begin() + static_cast<std::ptrdiff_t>(state.offset), count, buffer);
    state.offset += count;
    if (state.offset == state.sent.size())
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    return static_cast<ssize_t>(count);
}

} // namespace zinnia::runtime
