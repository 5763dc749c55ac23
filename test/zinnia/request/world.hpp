#pragma once

#include "fake_upstream.hpp"
#include "zinnia/request/home.hpp"
#include "zinnia/request/owner.hpp"

#include <functional>
#include <memory>
#include <queue>

namespace zinnia::request {

/** @brief A schedule: policies, and which faults happen. */
struct Scenario {
    OwnerSettings owner;
    HomeSettings home;
    bool hasLoss = true;
    bool killsEntries = true;
    bool freezesEntries = true;
    bool restartsUpstreams = true;
    bool coolsUpstreams = true;
    int callers = 12;
};

/** @brief What the callers and upstreams saw, compared with complete knowledge of what ran. */
struct Tally {
    std::size_t requests = 0;
    std::size_t answered = 0;
    std::size_t notRun = 0;
    std::size_t unknown = 0;
    std::size_t cancelled = 0;
    /** No outcome reached the caller. */
    std::size_t silent = 0;
    std::size_t doubleRuns = 0;
    std::size_t falseNotRun = 0;
    std::size_t falseNotRunIdempotent = 0;
    std::size_t foreignAnswers = 0;
    std::size_t slotOverruns = 0;
    std::size_t coldOverruns = 0;
    std::size_t endedTwice = 0;
    std::size_t neverEnded = 0;
    std::size_t notifications = 0;
    /** Requests that an entry sent to an upstream after its peers had given its place to another. */
    std::size_t staleDispatches = 0;
    /** Refusals by upstreams that turned cold without a warning. */
    std::size_t shed = 0;
    /** How often that happened, and how often a home noticed that an upstream turned cold. */
    std::size_t cooled = 0;
    std::size_t noticed = 0;
    /** Confirmable, non-idempotent requests without an outcome: no retransmission was due any more. */
    std::size_t abandoned = 0;

    Tally& operator+=(const Tally& other);
};

/** @brief Three entries of one zone, four upstreams, callers and a network; everything on one clock and seed. */
class World {
public:
    World(unsigned seed, const Scenario& scenario);
    [[nodiscard]] Tally run();

private:
    enum class Power : unsigned char { Running, Frozen, Dead };

    struct Node {
        PeerProcess self;
        std::unique_ptr<RequestOwner> owner;
        std::unique_ptr<RequestHome> home;
        Power power = Power::Running;
        bool joined = true;
        bool isWaking = false;
        /** Counts freezes and deaths, so that a late detection of an earlier one is ignored. */
        int outage = 0;
        bool wasRemoved = false;
        std::set<std::size_t> view;
        std::map<std::size_t, TimePoint> acknowledged;
        std::vector<std::function<void()>> inbox;
        std::map<UpstreamId, upstream::UpstreamInfo> upstreams;
        std::set<std::uint32_t> buckets;
        TimePoint viewChangedAt;
        std::map<UpstreamId, TimePoint> firstSeen;
    };

    struct Call {
        std::size_t caller = 0;
        CoapMessage message;
        bool idempotent = false;
        bool observes = false;
        bool sendsAge = true;
        bool done = false;
        bool quiet = false;
        TimePoint firstSent;
        int transmissions = 0;
    };

    void at(TimePoint time, std::function<void()> action);
    void post(Milliseconds longest, const std::function<void()>& deliver);
    void toNode(std::size_t node, Milliseconds longest, const std::function<void()>& deliver);
    void perform(std::size_t node, const OwnerActions& actions);
    void perform(std::size_t node, const HomeActions& actions);
    void owner(std::size_t node, const OwnerEvent& event);
    void home(std::size_t node, const HomeEvent& event);
    void peerMessage(std::size_t from, std::size_t to, const PeerMessage& message);
    void boot(std::size_t node);
    void tick();
    void extendLeases();
    void breakSomething();
    void takeDown(std::size_t node, Power power, Milliseconds duration);
    void rejoin(std::size_t node);
    void changeView(std::size_t node, const std::set<std::size_t>& view);
    void assign(std::size_t node);
    void announce(std::size_t upstream, upstream::UpstreamState state);
    void learn(std::size_t node, const upstream::UpstreamInfo& info);
    void newCall(std::size_t caller);
    void transmit(std::size_t call);
    void place(std::size_t node, std::size_t caller, const CoapMessage& message, int hops);
    void toUpstream(std::size_t node, const Endpoint& destination, const CoapMessage& message);
    void fromUpstream(std::size_t upstream, const std::vector<FakeUpstream::Sent>& sent);
    void toCaller(std::size_t node, std::size_t caller, const CoapMessage& message);
    [[nodiscard]] std::vector<std::size_t> ranked(std::uint64_t key, const std::set<std::size_t>& view) const;
    [[nodiscard]] std::size_t below(std::size_t limit) { return this->random() % limit; }
    void count();

    struct Later {
        TimePoint time;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const Later& other) const
        {
            return std::pair { other.time, other.order } < std::pair { this->time, this->order };
        }
    };

    Scenario scenario;
    std::mt19937 random;
    TimePoint now { Seconds { 1000 } };
    TimePoint quietAt { Seconds { 1120 } };
    std::uint64_t order = 0;
    std::priority_queue<Later> agenda;
    std::vector<Node> nodes;
    std::vector<FakeUpstream> upstreams;
    std::vector<Call> calls;
    Executions runs;
    std::map<std::pair<PeerProcess, RequestId>, int> ended;
    std::shared_ptr<config::Configuration> configuration;
    Tally tally;
};

} // namespace zinnia::request
