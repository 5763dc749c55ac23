#pragma once

#include "zinnia/consensus/replica.hpp"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace zinnia::consensus::test {

/** @brief In-memory disk; a crash loses writes that are not synced. */
struct FakeDisk {
    DurableState durable;
    std::vector<Persist> unsynced;
    bool full {};

    void sync();
    /** @brief Makes the first `kept` unsynced writes durable and loses the others. */
    void crash(std::size_t kept);
};

/** @brief A control instance: replica, disk and an application whose state is the list of applied commands. */
struct FakeNode {
    Settings settings;
    FakeDisk disk;
    std::unique_ptr<Replica> replica;
    std::vector<std::string> applied;
    bool paused {};
    bool removed {};
    std::vector<std::function<void()>> deferredWork;
    std::uint64_t startCount {};
};

/** @brief Replicas on a simulated network with one simulated clock; deterministic for a given seed. */
class Cluster {
public:
    Cluster(std::uint32_t size, std::uint64_t seed, SafetyChecks safetyChecks = {},
        const std::function<void(Settings&)>& adjustSettings = {});

    /** @brief Bootstraps instance 1, starts the others and waits until all are voters. */
    [[nodiscard]] bool form();
    void start(std::uint32_t id, bool bootstrap = false);
    /** @brief Tells all running instances the zones, and those that start later. */
    void setZones(const ZoneTable& table);
    void crash(std::uint32_t id);
    void loseDisk(std::uint32_t id);
    /** @brief Ends an instance for good. */
    void remove(std::uint32_t id);
    void pause(std::uint32_t id);
    void resume(std::uint32_t id);
    /** @brief Drops all messages from `from` to `to`, until `unblockLinks`. */
    void blockLink(std::uint32_t from, std::uint32_t to) { this->blockedLinks.insert({ from, to }); }
    void isolate(std::uint32_t id);
    void unblockLinks() { this->blockedLinks.clear(); }

    void runFor(Milliseconds duration);
    /** @return True if the condition became true within the timeout. */
    bool runUntil(const std::function<bool()>& condition, Milliseconds timeout = Milliseconds { 20000 });

    /** @return The leader with the highest term, or 0 if there is none. */
    [[nodiscard]] std::uint32_t leader() const;
    [[nodiscard]] Status status(std::uint32_t id) const { return this->nodes.at(id).replica->status(); }
    /** @return The number of the proposal, which is its key in `results`. */
    std::uint64_t propose(std::uint32_t id);
    /**
     * @brief Proposes commands to the leader until one is committed.
     * @return True if one was committed within the timeout.
     */
    bool commitOne();
    [[nodiscard]] std::size_t acknowledged() const;
    /** @return Empty if every acknowledged command was applied on all replicas, once and in the same order; those
     *         of removed instances do not count. */
    [[nodiscard]] std::string findInconsistency() const;

    std::map<std::uint32_t, FakeNode> nodes;
    std::map<std::uint64_t, ProposalResult> results;
    std::map<std::uint64_t, ProposalResult> reads;
    std::multiset<zinnia::Event> reports;
    std::mt19937_64 random;
    /** Probabilities that a message is dropped or duplicated. Unit: 1/1000. */
    unsigned dropPerMille {};
    unsigned duplicatePerMille {};
    Milliseconds maxDelay { 5 };
    /** Whether replicas drop requests to take over, as those of the previous release do. */
    bool ignoresTransfers {};
    /** Additional delay of messages to and from an instance. */
    std::map<std::uint32_t, Milliseconds> delays;
    /** Size to which commands and snapshots are padded. Unit: bytes. */
    std::size_t commandBytes {};
    /** Rate of each link; 0 if it takes no time to send. Unit: bytes per second. */
    std::size_t linkRate {};
    /** Bytes sent from an instance to another one. */
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::size_t> sentBytes;
    TimePoint now { Seconds { 1000 } };

    void handle(std::uint32_t id, const Event& event);

private:
    void schedule(Microseconds delay, std::function<void()> work);
    void perform(std::uint32_t id, const Action& action);
    void deliver(const Send& send);
    /** @return Time to send a message; large ones wait for each other, and small ones overtake them. */
    [[nodiscard]] Microseconds transmissionTime(std::pair<std::uint32_t, std::uint32_t> link, std::size_t size);
    void reportEnd(const Header& header, TransferNumber transfer, bool delivered, Microseconds delay);
    void tick(std::uint32_t id, std::uint64_t start);

    std::set<std::pair<std::uint32_t, std::uint32_t>> blockedLinks;
    /** When the last large message on a link will have been sent. */
    std::map<std::pair<std::uint32_t, std::uint32_t>, TimePoint> linkBusyUntil;
    std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> queue;
    ZoneTable zones;
    std::uint64_t nextWorkNumber {};
    std::uint64_t nextProposal {};
};

} // namespace zinnia::consensus::test
