#include "standin/stream_relay.hpp"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <cerrno>
#include <sys/socket.h>

namespace zinnia::standin {
namespace {

    constexpr std::size_t chunkBytes = std::size_t { 64 } << 10U;
    /** Interval at which the end of a partition is detected. */
    constexpr Milliseconds tickInterval { 10 };

    int descriptorOf(const Poco::Net::Socket& socket) { return socket.impl()->sockfd(); }

    bool isTemporary(int error)
    {
        return error == EAGAIN || error == EINTR || error == EINPROGRESS || error == ENOTCONN;
    }

} // namespace

std::unique_ptr<StreamRelay> StreamRelay::open(
    runtime::Poller& poller, const LinkTable& links, const FabricRelay& relay, ZoneOf zoneOf)
{
    try {
        std::unique_ptr<StreamRelay> opened { new StreamRelay { poller, links, relay, std::move(zoneOf) } };
        opened->listener.bind(Poco::Net::SocketAddress { relay.listen.toString() }, true, false);
        opened->listener.listen();
        opened->listener.setBlocking(false);
        if (!poller.watch(
                descriptorOf(opened->listener), true, false, [relay = opened.get()](auto) { relay->accept(); }))
            return nullptr;
        opened->tick();
        return opened;
    } catch (const Poco::Exception&) {
        return nullptr;
    }
}

StreamRelay::StreamRelay(runtime::Poller& poller, const LinkTable& links, FabricRelay relay, ZoneOf zoneOf)
    : poller { &poller }
    , links { &links }
    , relay { std::move(relay) }
    , zoneOf { std::move(zoneOf) }
{
}

StreamRelay::~StreamRelay()
{
    this->poller->cancel(this->timer);
    this->poller->unwatch(descriptorOf(this->listener));
    for (const auto& connection : this->active) {
        for (const auto& side : connection->sides)
            this->poller->unwatch(descriptorOf(side.socket));
    }
}

void StreamRelay::accept()
{
    try {
        Poco::Net::SocketAddress peer;
        auto connection = std::make_unique<Connection>();
        connection->sides[0].socket = this->listener.acceptConnection(peer);
        connection->sides[0].socket.setBlocking(false);
        const auto caller = Endpoint::parse(peer.toString());
        connection->from = !this->relay.from.empty() || !caller ? this->relay.from : this->zoneOf(*caller);
        ++this->acceptedCount;
        this->active.push_back(std::move(connection));
        this->pump(*this->active.back());
    } catch (const Poco::Exception&) {
        return; // the caller closed the connection before it was accepted
    }
}

bool StreamRelay::isPartitioned(const Connection& connection, std::size_t from) const
{
    return from == 0 ? this->links->isPartitioned(connection.from, this->relay.to)
                     : this->links->isPartitioned(this->relay.to, connection.from);
}

/** A partition in either direction prevents a new connection, because it would drop the SYN or its answer. */
void StreamRelay::connect(Connection& connection)
{
    if (this->isPartitioned(connection, 0) || this->isPartitioned(connection, 1))
        return;
    try {
        connection.sides[1].socket.connectNB(Poco::Net::SocketAddress { this->relay.target.toString() });
        connection.connecting = true;
    } catch (const Poco::Exception&) {
        connection.failed = true;
    }
}

void StreamRelay::pump(Connection& connection)
{
    if (!connection.connecting)
        this->connect(connection);
    if (connection.connecting) {
        this->pass(connection, 0);
        this->pass(connection, 1);
    }
    if (!connection.failed)
        this->watch(connection);
}

/** Forwards bytes from one side to the other until a socket is not ready. */
void StreamRelay::pass(Connection& connection, std::size_t from)
{
    Side& source = connection.sides[from];
    Side& target = connection.sides[1 - from];
    while (!connection.failed && !this->isPartitioned(connection, from)) {
        if (!target.pending.empty()) {
            const auto sent = ::send(
                descriptorOf(target.socket), target.pending.data(), target.pending.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
            if (sent < 0) {
                connection.failed = !isTemporary(errno);
                return;
            }
            target.pending.erase(target.pending.begin(), target.pending.begin() + sent);
            continue;
        }
        if (source.ended)
            return;
        target.pending.resize(chunkBytes);
        const auto received
            = ::recv(descriptorOf(source.socket), target.pending.data(), target.pending.size(), MSG_DONTWAIT);
        const int error = errno;
        target.pending.resize(static_cast<std::size_t>(std::max<ssize_t>(received, 0)));
        if (received < 0) {
            connection.failed = !isTemporary(error);
            return;
        }
        if (received == 0) {
            source.ended = true;
            ::shutdown(descriptorOf(target.socket), SHUT_WR);
        }
    }
}

void StreamRelay::watch(Connection& connection)
{
    for (std::size_t side = 0; side < connection.sides.size(); ++side) {
        const bool reads = !connection.sides[side].ended && !this->isPartitioned(connection, side);
        const bool writes = !connection.sides[side].pending.empty() && !this->isPartitioned(connection, 1 - side);
        const int descriptor = descriptorOf(connection.sides[side].socket);
        if (side == 1 && !connection.connecting)
            continue;
        // epoll reports errors and hang-ups whatever events are requested, so a side that must not act is removed.
        if (!reads && !writes)
            this->poller->unwatch(descriptor);
        else
            this->poller->watch(descriptor, reads, writes, [this, &connection](auto) { this->pump(connection); });
    }
}

bool StreamRelay::isOver(const Connection& connection)
{
    return connection.failed
        || std::ranges::all_of(connection.sides, [](const Side& side) { return side.ended && side.pending.empty(); });
}

void StreamRelay::tick()
{
    for (const auto& connection : this->active)
        this->pump(*connection);
    std::erase_if(this->active, [this](const auto& connection) {
        if (!isOver(*connection))
            return false;
        for (const auto& side : connection->sides)
            this->poller->unwatch(descriptorOf(side.socket));
        return true;
    });
    this->timer = this->poller->schedule(tickInterval, [this] { this->tick(); });
}

} // namespace zinnia::standin
