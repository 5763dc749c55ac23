#include "zinnia/runtime/metrics_listener.hpp"

namespace zinnia::runtime {

namespace {

    /** Limit of concurrent connections of collectors. */
    constexpr std::size_t metricsConnections = 8;

} // namespace

Result<std::unique_ptr<HttpListener>, SocketError> listenForMetrics(
    Poller& poller, const Endpoint& address, const MetricsRegistry& metrics)
{
    return HttpListener::create(poller, { .address = address, .connections = metricsConnections },
        [&metrics](const HttpRequest&, const HttpResponder& respond) {
            respond(HttpResponse::text(http_status::ok, metrics.prometheusText()));
        });
}

} // namespace zinnia::runtime
