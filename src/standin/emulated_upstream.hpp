#pragma once

#include "standin/duplicate_filter.hpp"
#include "standin/observer_list.hpp"
#include "standin/probe.hpp"
#include "standin/retransmitter.hpp"
#include "standin/upstream_counters.hpp"
#include "standin/upstream_spec.hpp"
#include "zinnia/core/reasons.hpp"

#include <deque>
#include <random>
#include <unordered_map>
#include <vector>

namespace zinnia::standin {

/** @brief Load and health that an upstream reports when it registers. */
struct UpstreamReport {
    /** Slots in use in percent. */
    unsigned load = 0;
    bool healthy = true;
};

/**
 * @brief One emulated upstream: a CoAP server with a limited number of slots, or an echo server for opaque datagrams.
 *
 * Does no I/O: the caller passes received datagrams and the time, and sends the returned datagrams.
 */
class EmulatedUpstream {
public:
    EmulatedUpstream(UpstreamSpec spec, TimePoint now);

    [[nodiscard]] std::vector<Outgoing> handle(const Endpoint& source, BytesView bytes, TimePoint now);
    [[nodiscard]] std::vector<Outgoing> tick(TimePoint now);

    /** @brief Starts a cold start without a new incarnation; only an honest health report shows it. */
    void turnCold(TimePoint now) { this->warmth.turnCold(now); }
    /** @brief Starts or ends draining. The upstream keeps its incarnation and its flows in both cases. */
    void setDraining(bool draining, TimePoint now);
    /** @brief Sets whether the upstream answers; if not, it still receives and counts packets. */
    void setAnswering(bool answering) { this->answering = answering; }
    /** @brief Sets the share of requests, 0 to 1, that are refused as not run although slots are free. */
    void setShedding(double share) { this->sheddingShare = share; }
    /** @brief Loses all state and starts cold under a new incarnation. */
    void restart(TimePoint now);
    /** @brief Restarts as an upstream of another service at the same address. */
    void moveTo(const std::string& service, config::ServiceMode mode, TimePoint now);

    [[nodiscard]] UpstreamReport report(TimePoint now);
    [[nodiscard]] const UpstreamSpec& spec() const noexcept { return this->settings; }
    [[nodiscard]] const UpstreamCounters& counters() const noexcept { return this->totals; }
    [[nodiscard]] Warmth& warmthState() noexcept { return this->warmth; }
    /** @return Counter that increases each time the upstream loses its state. */
    [[nodiscard]] std::uint64_t generation() const noexcept { return this->stateGeneration; }
    [[nodiscard]] bool isDraining() const noexcept { return this->draining; }
    [[nodiscard]] bool isAnswering() const noexcept { return this->answering; }
    [[nodiscard]] std::size_t inFlight() const noexcept { return this->running.size(); }
    [[nodiscard]] std::size_t connections() const noexcept { return this->lastSeen.size(); }
    [[nodiscard]] std::size_t observers() const noexcept { return this->streams.size(); }

private:
    struct Running {
        Endpoint source;
        CoapMessage request;
        Probe probe;
        const EmulatedKind* kind {};
        TimePoint finish;
        TimePoint deadline;
    };

    using Sent = std::vector<Outgoing>;

    bool admitConnection(const Endpoint& source, TimePoint now);
    void handleDatagram(const Endpoint& source, BytesView bytes, Sent& sent);
    void handleMessage(const Endpoint& source, BytesView bytes, TimePoint now, Sent& sent);
    void handleReset(const Endpoint& source, std::uint16_t messageId);
    void handleRequest(const Endpoint& source, const CoapMessage& request, TimePoint now, Sent& sent);
    [[nodiscard]] RefusalReason refusalOf(const CoapMessage& request, TimePoint now);
    void refuse(const Endpoint& source, const CoapMessage& request, coap::Outcome outcome, RefusalReason reason,
        TimePoint now, Sent& sent);
    void run(const Endpoint& source, const CoapMessage& request, const EmulatedKind& kind, TimePoint now, Sent& sent);
    void finish(const Running& work, TimePoint now, Sent& sent);
    void answer(const Endpoint& source, const CoapMessage& request, CoapMessage response, bool separate, TimePoint now,
        Sent& sent);
    void notify(Observer& observer, TimePoint now, Sent& sent);
    [[nodiscard]] Bytes answerPayload(std::uint64_t id) const;
    [[nodiscard]] const EmulatedKind* kindOf(const CoapMessage& request) const;
    void countNewWorkWhileDraining(TimePoint now);

    UpstreamSpec settings;
    UpstreamCounters totals;
    Warmth warmth;
    DuplicateFilter duplicates;
    ObserverList streams;
    Retransmitter retransmitter;
    std::mt19937_64 random;
    std::vector<Running> running;
    std::unordered_map<Endpoint, TimePoint> lastSeen;
    /** Reports of the last seconds, oldest first; a lagging upstream reports the oldest. */
    std::deque<std::pair<TimePoint, UpstreamReport>> pastReports;
    std::uint64_t stateGeneration;
    std::uint16_t nextMessageId;
    double sheddingShare = 0;
    bool draining = false;
    bool answering = true;
};

} // namespace zinnia::standin
