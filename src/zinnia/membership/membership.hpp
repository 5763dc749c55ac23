#pragma once

#include "zinnia/core/event.hpp"
#include "zinnia/core/time.hpp"
#include "zinnia/membership/heartbeat.hpp"
#include "zinnia/membership/view.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace zinnia::membership {

/**
 * @brief Intervals of the failure detector and the home lease.
 *
 * The home of an upstream acts only while it holds the home lease; see `Membership::holdsHomeLease`. "Remote" settings
 * apply to peers in other zones.
 */
struct Settings {
    Milliseconds zoneHeartbeatInterval { 250 };
    Milliseconds remoteHeartbeatInterval { 500 };
    Milliseconds zoneFailureTimeout { 1000 };
    Milliseconds remoteFailureTimeout { 1500 };
    /** Less than `zoneFailureTimeout`, so that a home stops acting before its successor becomes the home. */
    Milliseconds homeLease { 800 };
    /** At least the longest failure timeout: by then a joining entry has received a heartbeat of every live peer. */
    Milliseconds joiningDuration { 1500 };
    /** A longer gap between two events means that this process was paused. */
    Milliseconds pauseThreshold { 500 };
    /** If false, a pause of this process can make it declare peers dead; for tests only. */
    bool graceAfterPause = true;
};

/** @brief An entry instance from the configuration or from the seed list. */
struct Peer {
    InstanceId id;
    ZoneId zone;

    [[nodiscard]] friend bool operator==(const Peer&, const Peer&) = default;
};

struct HeartbeatReceived {
    Heartbeat heartbeat;
};
/** @brief The entries to exchange heartbeats with; this instance itself is ignored. */
struct PeersChanged {
    std::vector<Peer> peers;
};
/** @brief This instance has adopted a configuration. */
struct VersionAdopted {
    ConfigVersion version;
};
/** @brief This instance is about to stop; it stays `Leaving` until it exits. */
struct LeaveRequested { };
struct Tick { };
using Input = std::variant<HeartbeatReceived, PeersChanged, VersionAdopted, LeaveRequested, Tick>;

struct SendHeartbeat {
    InstanceId to;
    Heartbeat heartbeat;
};
struct ViewChanged {
    View view;
};
/** @brief Fetch the configuration of a higher version from the peer that has it. */
struct FetchConfiguration {
    InstanceId from;
    ConfigVersion version;
};
struct ReportEvent {
    Event event;
    InstanceId instance;
};
using Action = std::variant<SendHeartbeat, ViewChanged, FetchConfiguration, ReportEvent>;
using Actions = std::vector<Action>;

/** @brief Failure detector, view of the live entries and home lease of one entry instance. */
class Membership {
public:
    /** @param epoch Grows with each start of the same instance; at least 1. */
    Membership(InstanceId self, ZoneId zone, Epoch epoch, TimePoint now, const Settings& settings = {});

    [[nodiscard]] Actions handle(const Input& input, TimePoint now);

    /**
     * @return True if this entry may act as the home of upstreams.
     *
     * The lease is held while this entry is active and each peer of its zone in the view has acknowledged a heartbeat
     * that this entry sent as an active member less than `Settings::homeLease` ago.
     */
    [[nodiscard]] bool holdsHomeLease(TimePoint now) const noexcept;

    [[nodiscard]] const View& view() const noexcept { return this->currentView; }
    [[nodiscard]] MemberState state() const noexcept { return this->ownState; }
    /** @return The memory of the tables, which is bounded by the number of peers. Unit: bytes. */
    [[nodiscard]] std::size_t memoryBytes() const noexcept;

private:
    /** Number of heartbeats with a known send time; 8 at 250 ms span 2 s, longer than the home lease. */
    static constexpr std::size_t heartbeatHistory = 8;

    struct PeerState {
        Peer peer;
        Epoch epoch;
        MemberState state {};
        bool alive {};
        TimePoint lastReceived;
        TimePoint nextSend;
        std::uint64_t receivedSequence {};
        std::uint64_t sentSequence {};
        /** First sequence number sent to this peer since the state of this instance last changed. */
        std::uint64_t firstSequenceOfState = 1;
        std::array<TimePoint, heartbeatHistory> sendTimes {};
        /** Send time of the newest heartbeat that this peer has acknowledged. */
        TimePoint ackedSendTime {};
    };

    void on(const HeartbeatReceived& input, TimePoint now, Actions& actions);
    void on(const PeersChanged& input, TimePoint now, Actions& actions);
    void on(const VersionAdopted& input, TimePoint now, Actions& actions);
    void on(const LeaveRequested& input, TimePoint now, Actions& actions);
    void on(const Tick& input, TimePoint now, Actions& actions);
    void resetTimersAfterPause(TimePoint now, Actions& actions);
    void changeState(MemberState state, TimePoint now, Actions& actions);
    void recordAcknowledgement(PeerState& peerState, const Heartbeat& heartbeat);
    void send(PeerState& peerState, TimePoint now, Actions& actions);
    void publishView(Actions& actions);
    [[nodiscard]] bool isInZone(const PeerState& peerState) const noexcept { return peerState.peer.zone == this->zone; }
    [[nodiscard]] PeerState* find(InstanceId id) noexcept;

    InstanceId self;
    ZoneId zone;
    Epoch epoch;
    Settings settings;
    MemberState ownState = MemberState::Joining;
    ConfigVersion version;
    /** Highest version that was requested from a peer, and when. */
    ConfigVersion requestedVersion;
    TimePoint requestedAt;
    /** When the peers became known: without peers an entry receives no heartbeat and must not become active. */
    std::optional<TimePoint> peersKnownSince;
    TimePoint lastEvent;
    std::vector<PeerState> peers;
    View currentView;
};

} // namespace zinnia::membership
