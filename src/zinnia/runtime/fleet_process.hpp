#pragma once

#include "zinnia/feed/control_peer_table.hpp"
#include "zinnia/feed/state_transfer.hpp"
#include "zinnia/load/load_watch.hpp"
#include "zinnia/load/zone_load_table.hpp"
#include "zinnia/runtime/background_file.hpp"
#include "zinnia/runtime/event_loop.hpp"
#include "zinnia/runtime/fleet_link.hpp"
#include "zinnia/runtime/fleet_log.hpp"
#include "zinnia/runtime/fleet_service.hpp"
#include "zinnia/runtime/fleet_settings.hpp"
#include "zinnia/runtime/http_listener.hpp"
#include "zinnia/runtime/metrics.hpp"
#include "zinnia/runtime/replica_driver.hpp"
#include "zinnia/runtime/stream_server.hpp"
#include "zinnia/upstream/announcement_table.hpp"
#include "zinnia/upstream/suspicion_table.hpp"

#include <map>
#include <memory>

namespace zinnia::runtime {

/** @brief Why a control instance of a fleet could not be started. */
enum class FleetError : unsigned char {
    Folder,
    Replica,
    Storage,
    FeedAddress,
    StreamAddress,
    HttpAddress,
    MetricsAddress
};

inline constexpr NameTable<FleetError, 7> fleetErrorNames { {
    { FleetError::Folder, "folder" },
    { FleetError::Replica, "replica" },
    { FleetError::Storage, "storage" },
    { FleetError::FeedAddress, "feed_address" },
    { FleetError::StreamAddress, "stream_address" },
    { FleetError::HttpAddress, "http_address" },
    { FleetError::MetricsAddress, "metrics_address" },
} };
static_assert(isDense(fleetErrorNames));

[[nodiscard]] constexpr std::string_view nameOf(FleetError error) noexcept { return nameIn(fleetErrorNames, error); }

/** @brief Makes the handler of HTTP requests for a service. */
using HttpApi = std::function<HttpRequestHandler(FleetService& service, std::uint16_t httpPort)>;

/** @brief Decodes the document of a route table; nothing if it cannot be decoded. */
using RouteDocumentReader = std::function<std::optional<config::RouteTable>(const std::string& document)>;

/** @brief Calls that a control instance serves, and the documents that it stores, in the form of its surroundings. */
struct FleetApi {
    HttpApi http;
    /** Reads properties of routes that are not part of the log format; only used if load is shared. */
    RouteDocumentReader readDocument;
    /** Maximum size of the body that belongs to a head. Unit: bytes. */
    std::size_t (*bodyLimit)(const HttpRequest& head) = nullptr;
};

/**
 * @brief One control instance of a fleet: the replicated log of routes and withdrawn zones, and the announcements.
 *
 * Routes and withdrawals are durable at a majority before they are acknowledged. Announcements are soft state:
 * every control instance keeps all of them, and upstreams repeat them periodically.
 */
class FleetProcess final : public FleetService {
public:
    /** @param loop Must outlive the process. */
    [[nodiscard]] static Result<std::unique_ptr<FleetProcess>, FleetError> create(
        const FleetSettings& settings, const FleetApi& api, Epoch epoch, EventLoop& loop);
    ~FleetProcess() override;
    FleetProcess(const FleetProcess&) = delete;
    FleetProcess& operator=(const FleetProcess&) = delete;

    void change(config::FleetCommand command, CallDone done) override;
    void readRoutes(ReadDone done) override;
    void announce(const upstream::Announcement& announcement, CallDone done) override;
    void depart(upstream::UpstreamNumber number, CallDone done) override;

    /** @brief Applies reloaded settings; only the seeds can change. */
    void reload(const FleetSettings& changed);
    /**
     * @brief Refuses new changes and stops the loop once pending ones have a result and a learner, if there is one, has
     *        taken this instance's place in the group; at the latest after 2 s.
     */
    void stop();

private:
    /** @brief A drain or departure that is pending until a second instance confirms it. */
    struct PendingConfirmation {
        upstream::UpstreamNumber number;
        CallDone done;
        TimerId timer;
    };

    FleetProcess(const FleetSettings& settings, const FleetApi& api, Epoch epoch, EventLoop& loop);

    [[nodiscard]] std::optional<FleetError> start(const FleetApi& api);
    /** @return `Storage` if a file could not be read or written, which may succeed later; otherwise `Replica`. */
    [[nodiscard]] std::optional<FleetError> startReplica();
    /**
     * @brief Clears a damaged data folder: a learner with a new identity receives the log from the other instances.
     * @return True if the folder has been cleared.
     */
    [[nodiscard]] bool abandonFolder(StorageError cause);
    [[nodiscard]] std::vector<ReplicaPeer> replicaPeers() const;
    [[nodiscard]] std::optional<Bytes> answerStream(BytesView sealed);
    void receive(const wire::OpenedMessage& message, const Endpoint& source);
    void receive(InstanceId sender, const feed::Gossip& message, const Endpoint& source);
    void receive(InstanceId sender, const feed::GossipAck& message, const Endpoint& source);
    void receive(InstanceId sender, const feed::FeedRequest& message, const Endpoint& source);
    void receive(InstanceId sender, const feed::StatePartsRequest& message, const Endpoint& source);
    void receive(InstanceId sender, const load::LoadReport& message, const Endpoint& source);
    void receive(InstanceId sender, const load::ZoneSummary& message, const Endpoint& source);
    /** @brief Merges an announcement within its bounds into the table and logs a change. */
    upstream::MergeResult observe(
        const upstream::Announcement& announcement, Milliseconds age, InstanceId receivedFrom);
    /** @brief Sends gossip, in several messages if it does not fit into one. */
    void sendGossip(InstanceId peer, const feed::Gossip& message);
    /** @return Why a change must not be proposed: it could never be sent to routers. Nothing if it can be. */
    [[nodiscard]] std::optional<CallResult> refusalOf(const config::FleetCommand& command) const;
    void requestConfirmation(upstream::UpstreamNumber number, CallDone done);
    void finishConfirmation(std::uint64_t number, CallStatus status);
    void gossip();
    /** @brief Updates the upstreams and route facts of the load table. */
    void refreshLoadTable(TimePoint now);
    /** @brief Forgets all reports and summaries, as after a process pause. */
    void clearLoadTable();
    void sendZoneSummary();
    /** @brief Writes changes of the load to the log. */
    void publish(const std::vector<load::LoadChange>& changes);
    /** @brief Writes the figures of a reply to the metrics. */
    void publishLoad(const load::LoadReply& reply, TimePoint now);
    [[nodiscard]] std::vector<load::UsableUpstream> usableUpstreams(TimePoint now);
    void loadSnapshot();
    void saveSnapshot(TimePoint now);
    [[nodiscard]] feed::StateArchive& archiveOf(feed::StateSubject subject)
    {
        return this->stateArchives[static_cast<std::size_t>(subject)];
    }
    /** @return Size of `routing` if it is encoded. Unit: bytes. */
    [[nodiscard]] std::size_t routingBytes();
    /** @return The newest known committed state: the log's, or the saved snapshot's while the log is replayed. */
    [[nodiscard]] const feed::RoutingState& routing() const;
    void refresh();
    void restartReplica();
    void setPeers();
    /** @brief Keeps contact with the voters: after a restart the seeds may name none of them any more. */
    void rememberVoters(const consensus::Status& status);
    /** @return The largest number of voters of one zone, as far as zones are known. */
    [[nodiscard]] std::size_t votersInOneZone(const consensus::Status& status) const;
    void continueStop(int turnsLeft);
    [[nodiscard]] bool hasLeader() const;
    /** @return True if this instance leads, or follows a leader closely: its routing state is at most about 1 s old. */
    [[nodiscard]] bool isCurrent() const;
    [[nodiscard]] CallResult resultOf(const consensus::ProposalResult& result) const;

    FleetSettings settings;
    Epoch epoch;
    EventLoop* loop;
    MetricsRegistry metrics;
    wire::Sealer sealer;
    wire::Opener opener;
    std::unique_ptr<FileSystem> files;
    std::unique_ptr<BackgroundFile> snapshotFile;
    feed::RoutingState savedState;
    std::uint64_t savedChange {};
    TimePoint nextSaveAt;
    FleetLog log;
    /** What routers request in parts, by subject. */
    std::array<feed::StateArchive, feed::stateSubjectNames.size()> stateArchives;
    std::unique_ptr<ReplicaDriver> replica;
    std::unique_ptr<StreamServer> streams;
    std::unique_ptr<FleetLink> link;
    std::unique_ptr<HttpListener> http;
    std::unique_ptr<HttpListener> metricsServer;
    feed::ControlPeerTable peerTable;
    upstream::AnnouncementTable announcementTable;
    upstream::SuspicionTable suspicions;
    RouteDocumentReader readDocument;
    load::ZoneLoadTable loadTable;
    load::LoadWatch loadWatch;
    /** Change number of the announcements, revision of the withdrawn zones, and version of the routes, that the load
     * table has. */
    std::uint64_t loadedChange {};
    std::uint64_t loadedRevision {};
    ConfigVersion loadedVersion;
    /** Size of the route facts that the load table has. Unit: bytes. */
    std::size_t factsBytes {};
    TimePoint nextLoadRefreshAt;
    TimePoint nextLoadGaugesAt;
    TimePoint lastLoadReportAt;
    /** Starts at the epoch, so that an acknowledgement for an earlier start of this process confirms nothing. */
    std::uint64_t nextConfirmation;
    std::map<std::uint64_t, PendingConfirmation> pendingConfirmations;
    /** The last drain or departure of each upstream that a second instance has confirmed. */
    std::map<upstream::UpstreamNumber, upstream::Announcement> confirmed;
    TimePoint lastRefresh;
    /** Start of the current uninterrupted period with a known leader. */
    std::optional<TimePoint> leaderSince;
    /** When a leader was last known. */
    TimePoint leaderLastSeenAt;
    TimePoint nextRestartAt;
    bool stopping {};
};

} // namespace zinnia::runtime
