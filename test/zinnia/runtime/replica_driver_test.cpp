#include "zinnia/runtime/event_loop.hpp"
#include "zinnia/runtime/fake_folder.hpp"
#include "zinnia/runtime/replica_driver.hpp"
#include "zinnia/runtime/steady_clock.hpp"
#include "zinnia/runtime/stream_server.hpp"
#include "zinnia/wire/archive.hpp"

#include <gtest/gtest.h>

namespace zinnia::runtime::test {
namespace {

    using consensus::Committed;
    using consensus::Role;

    constexpr ClusterId cluster { 11 };
    constexpr wire::ClusterKey key { 7 };

    /** One control instance: server, driver and a folder that survives a restart. */
    struct Instance {
        FakeFolder folder;
        std::vector<std::uint8_t> applied;
        std::uint64_t starts {};
        std::unique_ptr<wire::Sealer> sealer;
        std::unique_ptr<wire::Opener> opener;
        std::unique_ptr<StreamServer> server;
        std::unique_ptr<ReplicaDriver> driver;
    };

    class Driver : public testing::Test {
    protected:
        Driver()
        {
            for (std::uint32_t id = 1; id <= 3; ++id) {
                Instance& instance = this->instances[id];
                instance.opener = std::make_unique<wire::Opener>(key, cluster);
                auto server = StreamServer::create(
                    *this->loop, Endpoint { 0x7f000001, 0 }, [&instance](BytesView body) -> std::optional<Bytes> {
                        const auto opened = instance.opener->open(body);
                        if (!opened || !instance.driver || instance.driver->receive(opened.value()))
                            return std::nullopt;
                        return Bytes {};
                    });
                instance.server = std::move(server).value();
            }
        }

        void start(std::uint32_t id)
        {
            Instance& instance = this->instances.at(id);
            ReplicaDriverSettings settings;
            settings.cluster = cluster;
            settings.replica.self = InstanceId { id };
            settings.replica.bootstrap = id == 1 && instance.starts == 0;
            settings.replica.entriesPerSnapshot = 50;
            settings.replica.trailingEntries = 5;
            for (const auto& [other, state] : this->instances) {
                settings.replica.instances.push_back(InstanceId { other });
                settings.peers.push_back({ InstanceId { other }, state.server->address() });
            }
            instance.sealer
                = std::make_unique<wire::Sealer>(key, cluster, InstanceId { id }, Epoch { ++instance.starts });
            instance.applied.clear();
            auto& applied = instance.applied;
            ReplicaDriver::Application application;
            application.apply = [&applied](auto, BytesView command) { applied.push_back(command[0]); };
            application.restore = [&applied](auto, BytesView state) { applied.assign(state.begin(), state.end()); };
            application.capture = [&applied] { return Bytes { applied }; };
            application.report = [](const consensus::Report&) {};
            auto driver = ReplicaDriver::create(
                *this->loop, instance.folder, *instance.sealer, settings, std::move(application));
            ASSERT_TRUE(driver.has_value());
            instance.driver = std::move(driver).value();
        }

        bool runUntil(const std::function<bool()>& condition)
        {
            const TimePoint end = this->clock.now() + Seconds { 30 };
            while (!condition()) {
                if (this->clock.now() > end)
                    return false;
                this->loop->runOnce(Milliseconds { 20 });
            }
            return true;
        }

        ReplicaDriver* leader()
        {
            for (const auto& [id, instance] : this->instances) {
                if (instance.driver && instance.driver->status().role == Role::Leader)
                    return instance.driver.get();
            }
            return nullptr;
        }

        bool hasThreeVoters()
        {
            return this->runUntil([this] {
                return std::all_of(this->instances.begin(), this->instances.end(), [](const auto& item) {
                    const auto status = item.second.driver->status();
                    return status.voters.size() == 3 && status.role != Role::Learner;
                });
            });
        }

        /** Proposes a byte to the leader until it is committed. */
        bool commit(std::uint8_t value)
        {
            bool waiting = false;
            bool done = false;
            return this->runUntil([&] {
                if (!waiting && !done && this->leader() != nullptr) {
                    waiting = true;
                    this->leader()->propose({ value }, [&](const consensus::ProposalResult& result) {
                        waiting = false;
                        done = std::holds_alternative<Committed>(result);
                    });
                }
                return done;
            });
        }

        bool allApplied(std::size_t size)
        {
            return this->runUntil([this, size] {
                return std::all_of(this->instances.begin(), this->instances.end(), [this, size](const auto& item) {
                    return item.second.applied.size() == size && item.second.applied == this->instances.at(1).applied;
                });
            });
        }

        SteadyClock clock;
        std::unique_ptr<EventLoop> loop = std::move(EventLoop::create(this->clock)).value();
        std::map<std::uint32_t, Instance> instances;
    };

    // Guards against commands that are lost or applied twice after a restart and a lost disk, with real sockets.
    TEST_F(Driver, ReplicatesAcrossRestartsAndALostDisk)
    {
        for (const std::uint32_t id : { 1U, 2U, 3U })
            this->start(id);
        ASSERT_TRUE(this->hasThreeVoters());
        for (std::uint8_t value = 0; value < 120; ++value)
            ASSERT_TRUE(this->commit(value));
        this->instances.at(2).driver.reset();
        this->instances.at(2).folder.crash(3);
        this->instances.at(3).driver.reset();
        this->instances.at(3).folder.crash(0);
        this->start(2);
        ASSERT_TRUE(this->commit(120));
        this->instances.at(3).folder = FakeFolder {};
        this->start(3);
        ASSERT_TRUE(this->hasThreeVoters());
        ASSERT_TRUE(this->commit(121));
        ASSERT_TRUE(this->allApplied(122));
        bool confirmed = false;
        this->leader()->read([&](const auto& result) { confirmed = std::holds_alternative<Committed>(result); });
        EXPECT_TRUE(this->runUntil([&] { return confirmed; }));
    }

    // Guards against an acknowledgement by a replica whose disk is full.
    TEST_F(Driver, AcknowledgesNothingOnAFullDisk)
    {
        for (const std::uint32_t id : { 1U, 2U, 3U })
            this->start(id);
        ASSERT_TRUE(this->hasThreeVoters() && this->commit(1));
        ReplicaDriver* const old = this->leader();
        for (auto& [id, instance] : this->instances) {
            if (instance.driver.get() == old)
                instance.folder.freeBytes = 5;
        }
        std::optional<consensus::ProposalResult> result;
        old->propose({ 2 }, [&](const auto& outcome) { result = outcome; });
        ASSERT_TRUE(this->runUntil([&] { return result.has_value(); }));
        EXPECT_TRUE(std::holds_alternative<consensus::OutcomeUnknown>(*result));
        EXPECT_EQ(old->status().role, Role::StorageFailed);
        EXPECT_TRUE(this->commit(3));
        const std::uint32_t id = old->status().self.instance.value;
        this->instances.at(id).driver.reset();
        this->instances.at(id).folder.freeBytes = 1U << 20U;
        this->start(id);
        EXPECT_TRUE(this->hasThreeVoters() && this->commit(4));
        ASSERT_NE(this->leader(), nullptr);
        const std::uint32_t leading = this->leader()->status().self.instance.value;
        EXPECT_TRUE(this->allApplied(this->instances.at(leading).applied.size()));
    }

    // Guards against a message whose sender claims to be another replica.
    TEST_F(Driver, RefusesAForgedSender)
    {
        this->start(1);
        const consensus::Message hello
            = consensus::JoinRequest { { {}, { InstanceId { 2 }, 1 }, { InstanceId { 1 }, 0 }, 0 } };
        const Bytes body = wire::encode(hello);
        wire::OpenedMessage message { InstanceId { 3 }, Epoch { 1 }, 1, wire::MessageKind::Consensus, body };
        EXPECT_EQ(this->instances.at(1).driver->receive(message), RefusalReason::Malformed);
        message.sender = InstanceId { 2 };
        EXPECT_EQ(this->instances.at(1).driver->receive(message), std::nullopt);
    }

} // namespace
} // namespace zinnia::runtime::test
