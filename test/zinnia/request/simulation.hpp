#pragma once

#include "fake_upstream.hpp"
#include "zinnia/request/home.hpp"
#include "zinnia/request/owner.hpp"

#include <functional>
#include <memory>
#include <queue>

namespace zinnia::request {

/** @brief Settings of a simulation: policies, and which faults are injected. */
struct Scenario {
    OwnerSettings owner;
    HomeSettings home;
    bool hasLoss = true;
    bool killsEntries = true;
    bool pausesEntries = true;
    bool restartsUpstreams = true;
    bool turnsUpstreamsCold = true;
    int callers = 12;
};

/** @brief Outcomes seen by callers and upstreams, and violations found by comparing them with the executions. */
struct RunCounters {
    std::size_t requests = 0;
    std::size_t answered = 0;
    std::size_t notRun = 0;
    std::size_t unknown = 0;
    std::size_t cancelled = 0;
    /** Requests whose caller got no outcome. */
    std::size_t unanswered = 0;
    std::size_t doubleRuns = 0;
    std::size_t falseNotRun = 0;
    std::size_t falseNotRunIdempotent = 0;
    std::size_t misdirectedAnswers = 0;
    std::size_t slotOverruns = 0;
    std::size_t coldOverruns = 0;
    std::size_t endedTwice = 0;
    std::size_t neverEnded = 0;
    std::size_t notifications = 0;
    /** Requests that an entry sent to an upstream after its peers had removed it from their view. */
    std::size_t staleDispatches = 0;
    /** Refusals by upstreams that turned cold without a warning. */
    std::size_t silentColdRefusals = 0;
    /** Number of such changes to cold, and of detections of a cold upstream by homes. */
    std::size_t coldTurns = 0;
    std::size_t coldTurnsDetected = 0;
    /** Confirmable, non-idempotent requests whose caller got no outcome and had no retransmission left. */
    std::size_t unansweredNonIdempotent = 0;

    RunCounters& operator+=(const RunCounters& other);
};

/** @brief Deterministic simulation of a zone with three entries, four upstreams, callers and a network. */
class Simulation {
public:
    /** @param seed Seed of the only source of randomness; all parts run on one simulated clock. */
    Simulation(unsigned seed, const Scenario& scenario);
    [[nodiscard]] RunCounters run();

private:
    enum class NodeState : unsigned char { Running, Paused, Crashed };

    struct Node {
        PeerProcess self;
        std::unique_ptr<RequestOwner> owner;
        std::unique_ptr<RequestHome> home;
        NodeState state = NodeState::Running;
        bool joined = true;
        bool isDrainingInbox = false;
        /** Number of process pauses and crashes, so that a late detection of an earlier one is ignored. */
        int outageCount = 0;
        bool isRemoved = false;
        std::set<std::size_t> view;
        std::map<std::size_t, TimePoint> acknowledged;
        std::vector<std::function<void()>> inbox;
        std::map<UpstreamId, upstream::UpstreamInfo> upstreams;
        std::set<std::uint32_t> buckets;
        TimePoint viewChangedAt;
        std::map<UpstreamId, TimePoint> firstSeen;
    };

    struct CallerRequest {
        std::size_t caller = 0;
        CoapMessage message;
        bool idempotent = false;
        bool observes = false;
        bool sendsAge = true;
        bool done = false;
        bool retransmissionsStopped = false;
        TimePoint firstSent;
        int transmissions = 0;
    };

    void schedule(TimePoint time, std::function<void()> action);
    void sendDatagram(Milliseconds maxDelay, const std::function<void()>& deliver);
    void sendToNode(std::size_t node, Milliseconds maxDelay, const std::function<void()>& deliver);
    void perform(std::size_t node, const OwnerActions& actions);
    void perform(std::size_t node, const HomeActions& actions);
    void handleOwnerEvent(std::size_t node, const OwnerEvent& event);
    void handleHomeEvent(std::size_t node, const HomeEvent& event);
    void handlePeerMessage(std::size_t from, std::size_t to, const PeerMessage& message);
    void startProcess(std::size_t node);
    void tick();
    void extendLeases();
    void injectFault();
    void interruptNode(std::size_t node, NodeState state, Milliseconds duration);
    void rejoin(std::size_t node);
    void changeView(std::size_t node, const std::set<std::size_t>& view);
    void assignHomes(std::size_t node);
    void announceUpstream(std::size_t upstream, upstream::UpstreamState state);
    void updateUpstream(std::size_t node, const upstream::UpstreamInfo& info);
    void sendNewRequest(std::size_t caller);
    void transmit(std::size_t call);
    void receiveRequest(std::size_t node, std::size_t caller, const CoapMessage& message, int hops);
    void sendToUpstream(std::size_t node, const Endpoint& destination, const CoapMessage& message);
    void sendFromUpstream(std::size_t upstream, const std::vector<FakeUpstream::OutgoingMessage>& sent);
    void deliverToCaller(std::size_t node, std::size_t caller, const CoapMessage& message);
    [[nodiscard]] std::vector<std::size_t> rankedEntries(std::uint64_t key, const std::set<std::size_t>& view) const;
    [[nodiscard]] std::size_t randomBelow(std::size_t limit) { return this->random() % limit; }
    void countOutcomes();

    struct ScheduledEvent {
        TimePoint time;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const ScheduledEvent& other) const
        {
            return std::pair { other.time, other.order } < std::pair { this->time, this->order };
        }
    };

    Scenario scenario;
    std::mt19937 random;
    TimePoint now { Seconds { 1000 } };
    TimePoint faultsEndAt { Seconds { 1120 } };
    std::uint64_t nextEventOrder = 0;
    std::priority_queue<ScheduledEvent> eventQueue;
    std::vector<Node> nodes;
    std::vector<FakeUpstream> upstreams;
    std::vector<CallerRequest> requests;
    Executions executions;
    std::map<std::pair<PeerProcess, RequestId>, int> ended;
    std::shared_ptr<config::Configuration> configuration;
    RunCounters counters;
};

} // namespace zinnia::request
