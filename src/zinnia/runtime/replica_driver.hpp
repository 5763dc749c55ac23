#pragma once

#include "zinnia/consensus/replica.hpp"
#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/ids.hpp"
#include "zinnia/core/reasons.hpp"
#include "zinnia/runtime/log_storage.hpp"
#include "zinnia/runtime/poller.hpp"
#include "zinnia/runtime/stream_client.hpp"
#include "zinnia/wire/envelope.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace zinnia::runtime {

/** @brief Another control instance and the address of its stream server. */
struct ReplicaPeer {
    InstanceId instance;
    Endpoint address;
    /** Availability zone; empty if it is not known. */
    std::string zone {};
};

struct ReplicaDriverSettings {
    /** Seed 0 is replaced by a random one. */
    consensus::Settings replica;
    ClusterId cluster;
    /** Availability zone of this instance; empty if it is not known. */
    std::string zone {};
    /** One for each other instance of `replica.instances`. */
    std::vector<ReplicaPeer> peers;
    Milliseconds tick { 20 };
    StreamClientSettings streams;
};

/** @brief Why a driver could not be created: a storage or replica error, or a peer without an address. */
struct ReplicaDriverError {
    enum class Cause : unsigned char { Storage, Replica, MissingPeer };

    Cause cause {};
    StorageError storage {};
    consensus::CreateError replica {};
    InstanceId peer;
};

/**
 * @brief Drives a `consensus::Replica` with storage and streams on the loop thread.
 *
 * After a failed write the replica no longer takes part in consensus, until the program destroys this driver and
 * creates a new one, which recovers the data folder.
 */
class ReplicaDriver {
public:
    using ResultCallback = std::function<void(const consensus::ProposalResult&)>;

    /** @brief Callbacks of the application. They may call the driver, but must not destroy it. */
    struct Application {
        /** Applies a committed command; called once per index, in order, after the last `restore`. */
        std::function<void(consensus::LogIndex index, BytesView command)> apply;
        /** Replaces the complete state. */
        std::function<void(consensus::LogIndex index, BytesView state)> restore;
        /** @return The complete state, for a snapshot. */
        std::function<Bytes()> capture;
        std::function<void(const consensus::Report& report)> report;
        /** Receives the duration of each write and sync; may be empty. */
        std::function<void(Microseconds duration)> synced {};
    };

    /**
     * @brief Recovers the data folder and starts the replica in the next iteration of the loop.
     * @param poller, files, sealer Must outlive the driver. The process may have only this sealer, as receivers
     *        reject repeated sequence numbers.
     */
    [[nodiscard]] static Result<std::unique_ptr<ReplicaDriver>, ReplicaDriverError> create(Poller& poller,
        FileSystem& files, wire::Sealer& sealer, ReplicaDriverSettings settings, Application application);

    ~ReplicaDriver();
    ReplicaDriver(const ReplicaDriver&) = delete;
    ReplicaDriver& operator=(const ReplicaDriver&) = delete;

    /**
     * @brief Proposes a command; the callback is called once, after `apply` if it was committed.
     *
     * If the driver is destroyed first, the callback is not called and the outcome is unknown.
     */
    void propose(Bytes command, ResultCallback callback);
    /** @brief Confirms leadership; on `Committed` the application's state includes all acknowledged commands. */
    void read(ResultCallback callback);
    /** @brief Updates the replica's set of instances and their zones; for groups with changing membership. */
    void setPeers(const std::vector<ReplicaPeer>& peers);
    /** @return Why a message of kind `Consensus` was refused, or nothing. */
    [[nodiscard]] std::optional<RefusalReason> receive(const wire::OpenedMessage& message);
    /** @brief Refuses new proposals; pending ones may still be committed. */
    void stop();

    [[nodiscard]] consensus::Status status() const { return this->replica.status(); }
    /** @return True while a stopped replica waits for a learner to take its place among the voters. */
    [[nodiscard]] bool isLeaving() const { return this->replica.isLeaving(); }
    /** @return The number of proposals and reads without a result. */
    [[nodiscard]] std::size_t pendingCount() const noexcept { return this->callbacks.size(); }

private:
    ReplicaDriver(Poller& poller, wire::Sealer& sealer, ReplicaDriverSettings settings, Application application,
        LogStorage storage, consensus::Replica replica);

    void tick();
    void enqueue(consensus::Event event);
    void sync();
    [[nodiscard]] consensus::RequestId registerCallback(ResultCallback callback);
    void finish(consensus::RequestId id, const consensus::ProposalResult& result);

    void perform(const consensus::Send& action);
    void perform(consensus::Persist& action);
    void perform(const consensus::Apply& action);
    void perform(const consensus::Restore& action);
    void perform(const consensus::TakeSnapshot& action);
    void perform(const consensus::ProposalDone& action);
    void perform(const consensus::ReadDone& action);
    void perform(const consensus::Report& action);

    Poller* poller;
    wire::Sealer* sealer;
    ReplicaDriverSettings settings;
    Application application;
    LogStorage storage;
    consensus::Replica replica;
    std::map<InstanceId, std::unique_ptr<StreamClient>> clients;
    /** Queue of events that arrive while actions are performed, so that actions stay in order. */
    std::deque<consensus::Event> events;
    bool performing {};
    std::vector<consensus::Persist> writes;
    TimerId tickTimer;
    std::optional<TimerId> syncTimer;
    std::uint64_t nextRequest = 1;
    std::map<consensus::RequestId, ResultCallback> callbacks;
};

} // namespace zinnia::runtime
