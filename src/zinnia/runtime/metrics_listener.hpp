#pragma once

#include "zinnia/runtime/http_listener.hpp"
#include "zinnia/runtime/metrics.hpp"

namespace zinnia::runtime {

/**
 * @brief Serves metrics in the Prometheus format, whatever the path, on the loop thread.
 * @param poller, metrics Have to outlive the listener.
 */
[[nodiscard]] Result<std::unique_ptr<HttpListener>, SocketError> listenForMetrics(
    Poller& poller, const Endpoint& address, const MetricsRegistry& metrics);

} // namespace zinnia::runtime
