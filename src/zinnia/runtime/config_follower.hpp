#pragma once

#include "zinnia/core/endpoint.hpp"
#include "zinnia/runtime/config_exchange.hpp"
#include "zinnia/runtime/metrics.hpp"
#include "zinnia/runtime/poller.hpp"
#include "zinnia/runtime/stream_client.hpp"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace zinnia::runtime {

/**
 * @brief Keeps the configuration of an entry instance up to date.
 *
 * It polls every control instance once a second and, on request, another entry that has a newer version.
 */
class ConfigFollower {
public:
    /** @brief Access to the configuration of the entry instance. */
    struct Entry {
        std::function<ConfigVersion()> activeVersion;
        std::function<void(config::Configuration)> offer;
    };

    /** @param poller, exchange, metrics Must outlive the follower. */
    ConfigFollower(Poller& poller, ConfigExchange& exchange, MetricsRegistry& metrics, std::vector<Endpoint> controls,
        Entry entry);
    ~ConfigFollower();
    ConfigFollower(const ConfigFollower&) = delete;
    ConfigFollower& operator=(const ConfigFollower&) = delete;

    /** @brief Requests the configuration of another entry instance. */
    void fetchFrom(const Endpoint& peer);
    /** @brief Reports the active version to the control instances without waiting for the next poll. */
    void report();

private:
    static constexpr Milliseconds interval { 1000 };

    void poll();
    void sendPoll(const Endpoint& server);
    void receive(BytesView sealed);

    Poller* poller;
    ConfigExchange* exchange;
    MetricsRegistry* metrics;
    std::vector<Endpoint> controls;
    Entry entry;
    std::map<Endpoint, std::unique_ptr<StreamClient>> clients;
    TimerId timer;
};

} // namespace zinnia::runtime
