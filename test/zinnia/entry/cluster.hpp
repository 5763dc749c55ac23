#pragma once

#include "zinnia/entry/entry_node.hpp"
#include "zinnia/entry/messages.hpp"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace zinnia::entry::test {

struct Options {
    /** Fractions of the packets between entries that are lost and duplicated. */
    double loss = 0.0;
    double duplicate = 0.0;
    std::uint64_t seed = 1;
};

/** @brief A packet that an upstream received. */
struct Received {
    TimePoint time;
    InstanceId from;
    /** Index of the local port that sent a datagram; absent for a packet of the request service. */
    std::optional<std::uint16_t> localPort;
    Bytes payload;
};

/** @brief An upstream that answers CoAP requests and echoes datagrams. */
struct FakeUpstream {
    ServiceId service;
    ZoneId zone;
    Endpoint address;
    unsigned incarnation = 1;
    Milliseconds answerDelay { 0 };
    std::vector<Received> received {};
    /** Number of executions of each request, by payload. */
    std::map<Bytes, unsigned> runs {};
    /** Sender, message id and token of the received requests, for the deduplication of RFC 7252. */
    std::set<std::tuple<InstanceId, std::uint16_t, Bytes>> seen {};
    /** Observations: the observing entry and the token of its notifications. */
    std::vector<std::pair<InstanceId, Bytes>> observers {};
};

/** @brief Three zones of three entries on a simulated network with delay, loss, duplication and partitions. */
class Cluster {
public:
    explicit Cluster(const Options& options = {});

    void run(Milliseconds duration);
    /** @brief Starts a process of the entry, with a higher epoch than the previous process. */
    void start(InstanceId id);
    void kill(InstanceId id) { this->nodes.at(id).node.reset(); }
    void stop(InstanceId id) { this->handle(id, StopRequested {}); }
    /** @brief Partitions a zone from the others. */
    void partition(ZoneId zone) { this->partitionedZones.insert(zone); }
    /** @brief Registers the upstream at the first live entry of its zone. */
    void announce(const FakeUpstream& upstream);
    /** @brief Sends a confirmable notification to every observer. */
    void notify(const FakeUpstream& upstream);
    /** @brief Offers a configuration to every entry, after a random delay of up to 500 ms each. */
    void publish(const config::Configuration& next);
    /** @brief Delivers a caller's packet to an entry, as the fabric does. */
    void send(InstanceId entry, const Endpoint& caller, const Endpoint& service, const Bytes& payload);
    void send(InstanceId entry, const Endpoint& caller, const CoapMessage& message)
    {
        this->send(entry, caller, requestAddress, encoded(message));
    }

    /** @return Messages that a caller received, without empty ones; callers acknowledge confirmable answers. */
    [[nodiscard]] std::vector<CoapMessage> answersTo(const Endpoint& caller) { return this->answers[caller]; }
    /** @return Number of executions of the request with the given payload. */
    [[nodiscard]] unsigned executionsOf(const Bytes& payload);
    [[nodiscard]] std::vector<InstanceId> live() const;
    [[nodiscard]] const EntryNode& node(InstanceId id) const { return *this->nodes.at(id).node; }
    [[nodiscard]] bool hasStopped(InstanceId id) const { return this->nodes.at(id).stopped; }
    /** @return Time at which the entry adopted configuration version 2. */
    [[nodiscard]] std::optional<TimePoint> adoptedAt(InstanceId id) const { return this->nodes.at(id).adoptedAt; }
    [[nodiscard]] TimePoint now() const { return this->currentTime; }

    config::Configuration configuration = makeConfiguration(3, 3);
    std::map<Endpoint, FakeUpstream> upstreams;

private:
    struct Node {
        ZoneId zone;
        std::unique_ptr<EntryNode> node;
        bool stopped = false;
        Epoch epoch;
        std::optional<TimePoint> adoptedAt;
    };

    void schedule(Microseconds delay, std::function<void()> task);
    [[nodiscard]] Microseconds networkDelay();
    void tick(InstanceId id);
    void handle(InstanceId id, const Event& event);
    void perform(InstanceId id, const SendToCaller& action);
    void perform(InstanceId id, const SendToUpstream& action);
    void perform(InstanceId id, const SendRequestPacket& action);
    void perform(InstanceId id, const SendToPeer& action);
    void perform(InstanceId id, const FetchConfiguration& action);
    void perform(InstanceId id, const Adopted& action);
    void perform(InstanceId id, const Stopped&) { this->nodes.at(id).stopped = true; }
    template <class T> void perform(InstanceId, const T&) { }
    void toRequestPort(InstanceId id, const Endpoint& source, const CoapMessage& message);
    void serve(FakeUpstream& upstream, InstanceId from, const CoapMessage& message);

    Options options;
    runtime::WireCoapCodec codec;
    TimePoint currentTime { Seconds { 1000 } };
    std::multimap<TimePoint, std::function<void()>> tasks;
    std::mt19937_64 random;
    std::map<InstanceId, Node> nodes;
    std::set<ZoneId> partitionedZones;
    std::map<Endpoint, std::vector<CoapMessage>> answers;
};

} // namespace zinnia::entry::test
