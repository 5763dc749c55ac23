#pragma once

#include "standin/fabric_settings.hpp"
#include "standin/link_table.hpp"
#include "zinnia/core/bytes.hpp"
#include "zinnia/runtime/poller.hpp"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace zinnia::standin {

/**
 * @brief Forwards TCP connections to a target, and stops while their link is partitioned.
 *
 * A partition closes no connection: nothing is read from the sending side, so that bytes and the end of a stream wait
 * in the kernel and are forwarded after the partition has ended. Delay and loss of a link do not apply to streams.
 */
class StreamRelay {
public:
    using ZoneOf = std::function<std::string(const Endpoint&)>;

    /**
     * @param poller, links Have to outlive the relay.
     * @return The open relay, or nothing if the address cannot be bound.
     */
    [[nodiscard]] static std::unique_ptr<StreamRelay> open(
        runtime::Poller& poller, const LinkTable& links, const FabricRelay& relay, ZoneOf zoneOf);

    ~StreamRelay();
    StreamRelay(const StreamRelay&) = delete;
    StreamRelay& operator=(const StreamRelay&) = delete;

    [[nodiscard]] std::size_t connections() const noexcept { return this->active.size(); }
    [[nodiscard]] std::uint64_t accepted() const noexcept { return this->acceptedCount; }

private:
    struct Side {
        Poco::Net::StreamSocket socket;
        /** Bytes for this side that its socket has not accepted yet. */
        Bytes pending;
        bool ended = false;
    };

    struct Connection {
        /** The caller, then the target. */
        std::array<Side, 2> sides;
        std::string from;
        bool connecting = false;
        bool failed = false;
    };

    StreamRelay(runtime::Poller& poller, const LinkTable& links, FabricRelay relay, ZoneOf zoneOf);

    void accept();
    void tick();
    void pump(Connection& connection);
    void pass(Connection& connection, std::size_t from);
    void connect(Connection& connection);
    void watch(Connection& connection);
    [[nodiscard]] bool isPartitioned(const Connection& connection, std::size_t from) const;
    [[nodiscard]] static bool isOver(const Connection& connection);

    runtime::Poller* poller;
    const LinkTable* links;
    FabricRelay relay;
    ZoneOf zoneOf;
    Poco::Net::ServerSocket listener;
    std::vector<std::unique_ptr<Connection>> active;
    std::uint64_t acceptedCount = 0;
    runtime::TimerId timer;
};

} // namespace zinnia::standin
