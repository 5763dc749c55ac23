#pragma once

#include "zinnia/upstream/registration.hpp"
#include "zinnia/upstream/registry_events.hpp"

#include <cstddef>
#include <unordered_map>
#include <unordered_set>

namespace zinnia::upstream {

/** @brief Limits and timeouts of the registry. */
struct RegistrySettings {
    ColdStartSettings coldStart;
    /** Maximum number of registrations, including ended ones. */
    std::size_t maxRegistrations = 4096;
    /** Longer than the maximum lease, so that no entry still maps the address to the earlier service. */
    Seconds quarantine { 35 };
    /** An ended registration is kept this long, so that a late registration message does not bring it back. */
    Seconds retention { 35 };
    /** If false, registrations of every incarnation are accepted; for tests of the mechanism only. */
    bool checkIncarnations = true;
    /** A changed record is sent again after these delays, because updates are not acknowledged. */
    std::array<Milliseconds, 3> resendDelays { Milliseconds { 250 }, Milliseconds { 1000 }, Milliseconds { 2500 } };
    /** Maximum number of records in one update, so that it fits into a datagram. */
    std::size_t recordsPerUpdate = 200;
};

/**
 * @brief The registrations of the upstreams of one zone, as one entry has received them.
 *
 * Upstreams register with any entry of their zone, and the entries send each other the registrations. The home of an
 * upstream is the entry of its zone that sends requests to it; the home alone decides the upstream's health (the step
 * of the cold-start ramp, and whether it answers).
 */
class UpstreamRegistry {
public:
    UpstreamRegistry(const RegistrySettings& settings, InstanceId self, ZoneId zone);

    [[nodiscard]] RegistryActions handle(const RegistryEvent& event, TimePoint now);

    /** @return Every registration that has not been removed from the registry, in no particular order. */
    [[nodiscard]] std::vector<UpstreamInfo> upstreams() const;
    [[nodiscard]] std::size_t size() const noexcept { return this->entries.size(); }
    /** @return The number of refused registrations with that reason. */
    [[nodiscard]] std::uint64_t refusals(RefusalReason reason) const noexcept;

private:
    struct Entry {
        UpstreamRecord record;
        TimePoint leaseEnd;
        TimePoint quarantineEnd;
        /** When an ended registration is removed from the registry. */
        TimePoint removeAt;
        /** End of the lease that the other entries of the zone were last sent. */
        TimePoint sharedLeaseEnd;
        TimePoint changedAt;
        std::size_t resendCount = 0;
        bool drainedByOperator = false;
        /** A newer registration uses its address. */
        bool replaced = false;
        bool expired = false;
        std::optional<ColdStartLimiter> limiter;
        /** The properties that the other modules were last given. */
        UpstreamInfo published;
    };

    /** @brief The latest accepted registration of an address. */
    struct AddressRegistration {
        UpstreamId upstream;
        Incarnation incarnation;
    };

    void on(const ConfigurationAdopted& event, TimePoint now);
    void on(const RegistrationReceived& event, TimePoint now);
    void on(const UpdateReceived& event, TimePoint now);
    void on(const PeerStarted& event, TimePoint now);
    void on(const HomesAssigned& event, TimePoint now);
    void on(const HealthSignalReceived& event, TimePoint now);
    void on(const RegistryTick& event, TimePoint now);

    /** @param isDirect True if the upstream itself sent the registration, false if a peer did. */
    [[nodiscard]] RefusalReason apply(const UpstreamRecord& record, bool isDirect, TimePoint now);
    /** @return The entry of a registration, created if it is acceptable; null, with the reason set, otherwise. */
    [[nodiscard]] Entry* findOrCreate(
        UpstreamId id, const UpstreamRecord& record, TimePoint now, RefusalReason& reason);
    [[nodiscard]] RefusalReason applyRenewal(const DirectoryRequest& request, TimePoint now);
    void processRenewal(Entry& entry, TimePoint now);
    /** @brief Marks a registration as lost because a newer one uses its address. */
    void markReplaced(UpstreamId id, TimePoint now);
    /** @brief Advances the cold start of an upstream whose home is this entry. */
    void advanceRamp(Entry& entry, TimePoint now);
    void setHealth(Entry& entry, std::uint32_t step, bool unresponsive, TimePoint now);
    void markChanged(Entry& entry, TimePoint now);
    void queueUpdate(Entry& entry);
    void sendQueuedUpdates(TimePoint now);
    void sendAll(const std::vector<UpstreamRecord>& records, std::optional<InstanceId> peer);
    void publish(Entry& entry, TimePoint now);
    void log(Event event, const Entry& entry, RefusalReason reason = RefusalReason::None);
    [[nodiscard]] bool isDrainedByOperator(const UpstreamRecord& record) const;
    [[nodiscard]] bool hasService(ServiceId service) const;
    [[nodiscard]] static UpstreamRecord recordForPeers(const Entry& entry, TimePoint now);
    [[nodiscard]] UpstreamInfo infoOf(const Entry& entry, TimePoint now) const;

    RegistrySettings settings;
    InstanceId self;
    ZoneId zone;
    std::shared_ptr<const config::Configuration> configuration;
    std::unordered_map<UpstreamId, Entry> entries;
    std::unordered_map<Endpoint, AddressRegistration> addresses;
    std::unordered_set<UpstreamId> homes;
    std::unordered_map<RefusalReason, std::uint64_t> refusalCounts;
    /** Collected while an event is handled. */
    std::vector<UpstreamId> queuedUpdates;
    UpstreamsChanged changes;
    RegistryActions actions;
};

} // namespace zinnia::upstream
