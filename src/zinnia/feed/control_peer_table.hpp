#pragma once

#include "zinnia/core/ids.hpp"
#include "zinnia/core/time.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace zinnia::feed {

/** @brief Timeouts of the peer table. */
struct PeerTableSettings {
    /** A peer from which a message arrived within this time is live. */
    Milliseconds liveTimeout { 1500 };
    /** A peer that is not a seed is removed after this time without a message. */
    Milliseconds retention { 60000 };
};

/** @brief State change of a peer, detected by a message from it. */
enum class PeerChange : unsigned char {
    /** No change: the peer was live, and its process is the same. */
    Known,
    /** First message of the peer. */
    Appeared,
    /** The process epoch of the peer has changed. */
    Restarted,
    /** The peer was not live before the message; its process is the same. */
    Returned,
};

/** @brief The other control instances known to one of them: the seeds, the voters, and those that peers report. */
class ControlPeerTable {
public:
    ControlPeerTable(
        const PeerTableSettings& settings, InstanceId self, const std::vector<InstanceId>& seeds, TimePoint now);

    /** @brief Replaces the seeds; former seeds are kept as ordinary peers. */
    void setSeeds(const std::vector<InstanceId>& seeds, TimePoint now);
    /**
     * @brief Replaces the voters of the replicated log, which are known from the log even if no seed names them.
     * @return True if any of them was unknown.
     */
    bool setVoters(const std::vector<InstanceId>& voters, TimePoint now);
    /** @brief Records that a message of a peer arrived. @return The state change that it shows. */
    PeerChange recordMessage(InstanceId instance, Epoch epoch, TimePoint now);
    /** @brief Adds instances that a peer reports as live. @return True if any of them was unknown. */
    bool addPeers(const std::vector<InstanceId>& instances, TimePoint now);
    /** @brief Records which instances a peer reports as live. */
    void recordLiveReport(InstanceId instance, const std::vector<InstanceId>& live);
    /** @brief Records the availability zone of a peer. @return True if it was not known, or has changed. */
    bool recordZone(InstanceId instance, const std::string& zone);
    /** @return The availability zone of a peer; empty if it is not known. */
    [[nodiscard]] std::string zoneOf(InstanceId instance) const;
    /** @return True if a peer has reported, in its last message, that it receives messages of another instance. */
    [[nodiscard]] bool reportsLive(InstanceId instance, InstanceId other) const;
    /**
     * @brief Removes peers without a message for the retention time, except seeds and voters.
     * @return True if any was removed.
     */
    bool removeExpired(TimePoint now);

    /** @return All known peers, live or not. */
    [[nodiscard]] std::vector<InstanceId> peers() const;
    /** @return This instance, followed by the live peers. */
    [[nodiscard]] std::vector<InstanceId> live(TimePoint now) const;

private:
    struct Peer {
        bool seed {};
        bool voter {};
        TimePoint learnedAt;
        /** Zero before the first message. */
        TimePoint lastMessageAt;
        Epoch epoch;
        std::string zone;
        /** Instances that this peer reports as live. */
        std::set<InstanceId> reportedLive;
    };

    PeerTableSettings settings;
    InstanceId self;
    std::map<InstanceId, Peer> knownPeers;
};

} // namespace zinnia::feed
