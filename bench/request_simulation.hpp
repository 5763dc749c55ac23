#pragma once

#include "zinnia/request/home.hpp"
#include "zinnia/request/owner.hpp"

#include <cstdint>
#include <queue>
#include <random>
#include <set>
#include <vector>

namespace zinnia::bench {

/** @brief How the order of candidates of a request is chosen. */
enum class Choice : unsigned char { FlowHash, Random, RoundRobin, TwoRandom };

/** @brief One run: load, policies and faults. */
struct Load {
    double share = 1.0;
    std::uint32_t upstreams = 15;
    std::uint32_t slots = 2;
    Choice choice = Choice::FlowHash;
    request::OwnerSettings owner;
    request::HomeSettings home;
    /** Number of upstreams that restart after a third of the run. */
    std::uint32_t restarting = 0;
    /** The restarting upstreams keep their incarnation and do not announce that they are cold. */
    bool isRestartUnannounced = false;
};

/** @brief Totals of one run. */
struct Outcome {
    std::size_t offered = 0;
    double offeredWeight = 0;
    double deliveredWeight = 0;
    std::size_t refused = 0;
    /** Answered after the deadline, with an unknown outcome, or not at all. */
    std::size_t late = 0;
    std::size_t retries = 0;
    /** Requests that reached an upstream beyond its capacity. */
    std::size_t overload = 0;
    std::size_t coldOverload = 0;
};

/** @brief One entry with owner and home, upstreams and callers, on simulated time. */
class RequestSimulation {
public:
    RequestSimulation(const Load& load, unsigned seed);
    [[nodiscard]] Outcome run();

private:
    struct Upstream {
        UpstreamId id;
        Endpoint address;
        std::uint64_t incarnation = 1;
        TimePoint coldSince;
        bool isCold = false;
        std::multiset<TimePoint> running;
    };

    struct Caller {
        std::size_t kind = 0;
        TimePoint sentAt;
        bool done = false;
    };

    struct Event {
        TimePoint time;
        std::uint64_t order = 0;
        enum class Kind : unsigned char { Request, Answer, Tick, Restart } kind {};
        std::size_t upstream = 0;
        CoapMessage message;
        bool operator<(const Event& other) const
        {
            return std::pair { other.time, other.order } < std::pair { this->time, this->order };
        }
    };

    void push(TimePoint time, Event::Kind kind, std::size_t upstream = 0, CoapMessage message = {});
    void announce(Upstream& upstream);
    void offerRequest();
    void answer(const CoapMessage& message);
    void deliverToUpstream(const request::SendToUpstream& action);
    void perform(const request::OwnerActions& actions);
    void perform(const request::HomeActions& actions);
    [[nodiscard]] std::vector<UpstreamId> candidates(std::size_t flow);
    [[nodiscard]] std::uint32_t capacityOf(const Upstream& upstream) const;

    Load load;
    std::mt19937_64 random;
    request::RequestOwner owner;
    request::RequestHome home;
    std::vector<Upstream> upstreams;
    std::vector<Caller> callers;
    std::priority_queue<Event> events;
    TimePoint now { Seconds { 1000 } };
    std::uint64_t order = 0;
    std::size_t rotation = 0;
    Outcome outcome;
};

} // namespace zinnia::bench
