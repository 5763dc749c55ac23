#pragma once

#include "zinnia/runtime/config_follower.hpp"
#include "zinnia/runtime/entry_adapter.hpp"
#include "zinnia/runtime/event_loop.hpp"
#include "zinnia/runtime/http_server.hpp"
#include "zinnia/runtime/stream_server.hpp"

#include <memory>

namespace zinnia::runtime {

/** @brief An entry instance: the adapter, the configuration follower and the servers. */
class EntryProcess {
public:
    /** @param loop Must outlive the process, which stops it when a graceful shutdown is complete. */
    [[nodiscard]] static Result<std::unique_ptr<EntryProcess>, ListenError> create(
        const EntrySettings& settings, Epoch epoch, EventLoop& loop);

    /** @brief Begins a graceful shutdown. */
    void stop() { this->adapter->stop(); }

private:
    EntryProcess(const EntrySettings& settings, Epoch epoch, EventLoop& loop);

    [[nodiscard]] std::optional<ListenError> listen(const EntrySettings& settings, Epoch epoch);
    [[nodiscard]] std::optional<Bytes> answer(BytesView sealed);
    void publishGauges();

    EventLoop* loop;
    MetricsRegistry metrics;
    wire::Sealer streamSealer;
    ConfigExchange exchange;
    std::unique_ptr<EntryAdapter> adapter;
    std::unique_ptr<ConfigFollower> follower;
    std::unique_ptr<StreamServer> streams;
    std::unique_ptr<HttpServer> http;
};

} // namespace zinnia::runtime
