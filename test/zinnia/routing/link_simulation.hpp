#pragma once

#include "zinnia/routing/egress_queue.hpp"
#include "zinnia/routing/link_pacer.hpp"
#include "zinnia/routing/upload_admission.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <vector>

namespace zinnia::routing::test {

/** @brief Order in which the packets that wait for a link are sent. */
class SendOrder {
public:
    virtual ~SendOrder() = default;
    virtual void add(const FlowPacket& packet, const Bytes& bytes, TimePoint now) = 0;
    [[nodiscard]] virtual std::optional<FlowPacket> take(TimePoint now) = 0;
    /** @return Number of uploads whose data waits. */
    [[nodiscard]] virtual std::size_t waitingUploads() const { return 0; }

protected:
    SendOrder() = default;
    SendOrder(const SendOrder&) = default;
    SendOrder& operator=(const SendOrder&) = default;
};

/** @brief One queue; what a router without pacing leaves to its link. */
class FirstInFirstOut final : public SendOrder {
public:
    void add(const FlowPacket& packet, const Bytes&, TimePoint) override { this->packets.push_back(packet); }
    std::optional<FlowPacket> take(TimePoint) override
    {
        if (this->packets.empty())
            return std::nullopt;
        const FlowPacket packet = this->packets.front();
        this->packets.pop_front();
        return packet;
    }

private:
    std::deque<FlowPacket> packets;
};

/** @brief Openings before packets without data before data. */
class StrictPriority final : public SendOrder {
public:
    void add(const FlowPacket& packet, const Bytes& bytes, TimePoint now) override
    {
        this->queues[static_cast<std::size_t>(kindOf(packet))].add(packet, bytes, now);
    }
    std::optional<FlowPacket> take(TimePoint now) override
    {
        for (FirstInFirstOut& queue : this->queues) {
            if (const auto packet = queue.take(now))
                return packet;
        }
        return std::nullopt;
    }

private:
    std::array<FirstInFirstOut, packetKindNames.size()> queues;
};

/** @brief The router's queue. */
class RouterQueue final : public SendOrder {
public:
    void add(const FlowPacket& packet, const Bytes& bytes, TimePoint now) override
    {
        (void)this->queue.add(packet, bytes, now);
    }
    std::optional<FlowPacket> take(TimePoint now) override
    {
        const auto next = this->queue.take(now);
        return next ? std::optional { next->packet } : std::nullopt;
    }

    [[nodiscard]] std::size_t waitingUploads() const override { return this->queue.uploadCount(); }

private:
    EgressQueue queue { {} };
};

/** @brief Equal shares: each flow sends one packet in turn, a retransmission takes the place of a waiting packet. */
class EqualShares final : public SendOrder {
public:
    void add(const FlowPacket& packet, const Bytes&, TimePoint) override
    {
        auto& queue = this->queues[packet.caller.port];
        const auto waits = [&](const FlowPacket& other) { return other.sequence == packet.sequence; };
        if (std::none_of(queue.begin(), queue.end(), waits))
            queue.push_back(packet);
    }
    std::optional<FlowPacket> take(TimePoint) override
    {
        if (this->queues.empty())
            return std::nullopt;
        auto turn = this->queues.upper_bound(this->lastPort);
        if (turn == this->queues.end())
            turn = this->queues.begin();
        this->lastPort = turn->first;
        const FlowPacket packet = turn->second.front();
        turn->second.pop_front();
        if (turn->second.empty())
            this->queues.erase(turn);
        return packet;
    }

private:
    std::uint16_t lastPort {};
    std::map<std::uint16_t, std::deque<FlowPacket>> queues;
};

/** @brief Figures of one run. */
struct LinkFigures {
    /** Time that a short request waits for the link: 99th percentile. */
    Milliseconds shortWaitP99 {};
    /** Share of the uploads that are refused when they start; the other shares are of the accepted ones. */
    double uploadsRefused {};
    /** Share of the uploads that finish within `LinkLoad::uploadAim`. */
    double uploadsInAim {};
    /** Share of the uploads that finish within `LinkLoad::uploadDeadline`. */
    double uploadsServed {};
    /** Bytes sent over bytes of the requests. */
    double sentPerUsefulByte {};
};

/** @brief Traffic of one router: uploads that fill a share of its link, and short requests beside them. */
struct LinkLoad {
    /** Bytes of uploads over the capacity of the link. */
    double uploadShare {};
    std::uint64_t seed = 1;
    std::uint64_t bytesPerSecond = 250'000;
    double meanUploadBytes = 40'000;
    double shortRequestsPerSecond = 25;
    Milliseconds uploadAim { 1200 };
    Milliseconds uploadDeadline { 6000 };
    Seconds duration { 30 };
    /** Refuses uploads that the link cannot carry in time. */
    bool refusesUploads {};
};

/**
 * @brief Simulates callers, the link of a router and upstreams that acknowledge each packet.
 *
 * Callers have at most 16 packets of 1,200 bytes in flight and retransmit each after 200 ms, 400 ms and so on up to
 * 1.6 s. One way takes 3 ms from callers to the router and from upstreams to callers.
 */
class LinkSimulation {
public:
    LinkSimulation(SendOrder& order, const LinkLoad& load)
        : order { &order }
        , load { load }
        , random { load.seed }
        , admission { { .bytesPerSecond = load.refusesUploads ? load.bytesPerSecond : 0 } }
    {
    }

    [[nodiscard]] LinkFigures run()
    {
        const double uploadsPerSecond = this->load.uploadShare * static_cast<double>(this->load.bytesPerSecond)
            / (this->load.meanUploadBytes * (packetBytes + 32.0 + 8 + LinkPacer::headerBytes) / packetBytes);
        this->scheduleArrivals(uploadsPerSecond, [this] { this->startUpload(); });
        this->scheduleArrivals(this->load.shortRequestsPerSecond, [this] { this->startShortRequest(); });
        const TimePoint end = this->now + this->load.duration + Seconds { 5 };
        while (!this->events.empty() && this->events.top().at < end) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.at;
            event.action();
        }
        LinkFigures figures;
        std::sort(this->shortWaits.begin(), this->shortWaits.end());
        figures.shortWaitP99
            = std::chrono::duration_cast<Milliseconds>(this->shortWaits[this->shortWaits.size() * 99 / 100]);
        figures.uploadsRefused
            = static_cast<double>(this->refusedCount) / static_cast<double>(this->refusedCount + this->uploadCount);
        figures.uploadsInAim = static_cast<double>(this->uploadsInAim) / static_cast<double>(this->uploadCount);
        figures.uploadsServed = static_cast<double>(this->uploadsServed) / static_cast<double>(this->uploadCount);
        figures.sentPerUsefulByte = static_cast<double>(this->sentBytes) / static_cast<double>(this->usefulBytes);
        return figures;
    }

private:
    static constexpr double packetBytes = 1200;
    static constexpr std::uint16_t shortBytes = 230;
    static constexpr std::size_t window = 16;
    static constexpr Milliseconds oneWay { 3 };
    static constexpr Endpoint uploadRoute { 0xC6120001, 443 };

    struct Event {
        TimePoint at;
        std::uint64_t order;
        std::function<void()> action;
        [[nodiscard]] friend bool operator<(const Event& left, const Event& right)
        {
            return std::pair { left.at, left.order } > std::pair { right.at, right.order };
        }
    };

    /** @brief A request of one or more packets, numbered from 0. */
    struct Request {
        TimePoint startedAt;
        std::size_t packetCount {};
        std::size_t nextPacket {};
        std::vector<bool> acknowledged {};
        std::size_t acknowledgedCount {};
        bool isShort {};
    };

    void schedule(Microseconds delay, std::function<void()> action)
    {
        this->events.push({ this->now + delay, this->nextOrder++, std::move(action) });
    }

    void scheduleArrivals(double perSecond, const std::function<void()>& action)
    {
        std::exponential_distribution<double> gap { perSecond };
        for (double at = gap(this->random); at < static_cast<double>(this->load.duration.count());
             at += gap(this->random))
            this->schedule(Microseconds { static_cast<std::int64_t>(at * 1e6) }, action);
    }

    void startUpload()
    {
        // Lognormal sizes with a standard deviation of 0.7 of the logarithm, at most six times the mean.
        constexpr double sigma = 0.7;
        std::lognormal_distribution<double> sizes { std::log(this->load.meanUploadBytes) - sigma * sigma / 2, sigma };
        const double size = std::min(sizes(this->random), 6 * this->load.meanUploadBytes);
        if (!this->admission.admits(uploadRoute, this->order->waitingUploads())) {
            ++this->refusedCount;
            return;
        }
        ++this->uploadCount;
        this->start(static_cast<std::size_t>(std::ceil(size / packetBytes)), false);
    }

    void startShortRequest() { this->start(1, true); }

    void start(std::size_t packetCount, bool isShort)
    {
        const std::uint16_t port = this->nextPort++;
        Request request;
        request.startedAt = this->now;
        request.packetCount = packetCount;
        request.acknowledged.resize(packetCount);
        request.isShort = isShort;
        this->requests[port] = request;
        this->usefulBytes += packetCount * (isShort ? shortBytes : static_cast<std::size_t>(packetBytes));
        this->fillWindow(port);
    }

    void fillWindow(std::uint16_t port)
    {
        Request& request = this->requests[port];
        while (request.nextPacket < request.packetCount && request.nextPacket < request.acknowledgedCount + window)
            this->send(port, request.nextPacket++, Milliseconds { 200 });
    }

    void send(std::uint16_t port, std::size_t number, Milliseconds timeout)
    {
        this->schedule(oneWay, [this, port, number] { this->arrive(port, number); });
        this->schedule(timeout, [this, port, number, timeout] {
            const auto request = this->requests.find(port);
            if (request != this->requests.end() && !request->second.acknowledged[number])
                this->send(port, number, std::min<Milliseconds>(2 * timeout, Milliseconds { 1600 }));
        });
    }

    void arrive(std::uint16_t port, std::size_t number)
    {
        const auto request = this->requests.find(port);
        FlowPacket packet;
        packet.caller = { 0x64400007, port };
        packet.sequence = static_cast<std::uint32_t>(number);
        packet.dataBytes = request != this->requests.end() && request->second.isShort
            ? shortBytes
            : static_cast<std::uint16_t>(packetBytes);
        this->order->add(packet, Bytes(packet.dataBytes + 32U), this->now);
        if (!this->isTransmitting)
            this->transmit();
    }

    void transmit()
    {
        const auto packet = this->order->take(this->now);
        this->isTransmitting = packet.has_value();
        if (!packet)
            return;
        const std::uint64_t bytes = packet->dataBytes + 32U + 8U + LinkPacer::headerBytes;
        this->sentBytes += packet->dataBytes;
        const Microseconds duration { static_cast<std::int64_t>(bytes * 1'000'000 / this->load.bytesPerSecond) };
        this->schedule(duration, [this, packet = *packet] {
            this->deliver(packet.caller.port, packet.sequence);
            this->transmit();
        });
    }

    void deliver(std::uint16_t port, std::size_t number)
    {
        const auto request = this->requests.find(port);
        if (request == this->requests.end())
            return;
        if (request->second.isShort) {
            this->shortWaits.push_back(this->now - request->second.startedAt - oneWay);
            this->requests.erase(request);
            return;
        }
        this->schedule(oneWay, [this, port, number] { this->acknowledge(port, number); });
    }

    void acknowledge(std::uint16_t port, std::size_t number)
    {
        const auto found = this->requests.find(port);
        if (found == this->requests.end() || found->second.acknowledged[number])
            return;
        Request& request = found->second;
        request.acknowledged[number] = true;
        ++request.acknowledgedCount;
        if (request.acknowledgedCount < request.packetCount)
            return this->fillWindow(port);
        this->admission.recordRequest(uploadRoute, request.packetCount * static_cast<std::size_t>(packetBytes));
        if (this->now - request.startedAt <= this->load.uploadAim)
            ++this->uploadsInAim;
        if (this->now - request.startedAt <= this->load.uploadDeadline)
            ++this->uploadsServed;
        this->requests.erase(found);
    }

    SendOrder* order;
    LinkLoad load;
    std::mt19937_64 random;
    UploadAdmission admission;
    TimePoint now { Seconds { 1000 } };
    std::uint64_t nextOrder {};
    std::uint16_t nextPort = 1;
    bool isTransmitting {};
    std::priority_queue<Event> events;
    std::map<std::uint16_t, Request> requests;
    std::vector<Microseconds> shortWaits;
    std::uint64_t uploadCount {};
    std::uint64_t refusedCount {};
    std::uint64_t uploadsInAim {};
    std::uint64_t uploadsServed {};
    std::uint64_t sentBytes {};
    std::uint64_t usefulBytes {};
};

} // namespace zinnia::routing::test
