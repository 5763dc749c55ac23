#include "zinnia/config/adoption.hpp"
#include "zinnia/config/config_state_machine.hpp"
#include "zinnia/config/sample.hpp"
#include "zinnia/wire/config_codec.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>
#include <set>

namespace zinnia::config {
namespace {

    CommandRequest request(std::string name, std::uint64_t id, std::uint64_t base, Command command)
    {
        return { std::move(name), CommandId { id }, ConfigVersion { base }, std::move(command) };
    }

    CommandOutcome apply(ConfigStateMachine& machine, const CommandRequest& request)
    {
        return machine.apply(request, wire::commandDigest(request));
    }

    ConfigStateMachine machineWithInventory()
    {
        ConfigStateMachine machine { sampleCluster };
        const auto outcome = apply(machine, request("ada", 1, 0, sampleInventory()));
        EXPECT_EQ(outcome, CommandOutcome { (Accepted { ConfigVersion { 1 }, true }) });
        return machine;
    }

    // Returns Undecodable, which no case expects, unless the command was rejected with exactly one error.
    ConfigErrorCode errorCodeOf(const CommandOutcome& outcome)
    {
        const auto* rejected = std::get_if<Rejected>(&outcome);
        return rejected && rejected->errors.size() == 1 ? rejected->errors[0].code : ConfigErrorCode::Undecodable;
    }

    // Guards against applying two commands with the same base version, and against a conflict that does not name the
    // command applied first.
    TEST(ConfigStateMachine, OneOfTwoConcurrentCommandsIsApplied)
    {
        ConfigStateMachine machine = machineWithInventory();
        const auto first = apply(machine, request("ada", 2, 1, WithdrawZone { "zone-a" }));
        const auto second = apply(machine, request("bela", 2, 1, WithdrawZone { "zone-b" }));
        EXPECT_EQ(first, CommandOutcome { (Accepted { ConfigVersion { 2 }, true }) });
        EXPECT_EQ(
            second, CommandOutcome { (Conflict { "ada", CommandId { 2 }, ConfigVersion { 2 }, ConfigVersion { 2 } }) });
        EXPECT_EQ(machine.configuration().zones[1].state, ZoneState::InService);
    }

    // Guards against applying a command twice when it is resent after a lost answer, with other commands in between.
    TEST(ConfigStateMachine, ResendGetsTheFirstResult)
    {
        ConfigStateMachine machine = machineWithInventory();
        const auto withdraw = request("ada", 2, 1, WithdrawZone { "zone-a" });
        const auto first = apply(machine, withdraw);
        (void)apply(machine, request("bela", 1, 2, ReturnZone { "zone-a" }));
        const Configuration before = machine.configuration();
        EXPECT_EQ(apply(machine, withdraw), first);
        EXPECT_EQ(machine.configuration(), before);
        const auto other = request("ada", 2, 3, WithdrawZone { "zone-b" });
        EXPECT_EQ(apply(machine, other), CommandOutcome { (ReusedCommandId { "ada", CommandId { 2 } }) });
        EXPECT_EQ(machine.configuration(), before);
    }

    // Guards against withdrawing the last zone, accepting unknown targets and applying part of an invalid command.
    TEST(ConfigStateMachine, InvalidCommandChangesNothing)
    {
        ConfigStateMachine machine = machineWithInventory();
        (void)apply(machine, request("ada", 2, 1, WithdrawZone { "zone-a" }));
        (void)apply(machine, request("ada", 3, 2, WithdrawZone { "zone-b" }));
        const Configuration before = machine.configuration();
        const auto last = apply(machine, request("ada", 4, 3, WithdrawZone { "zone-c" }));
        ASSERT_TRUE(std::holds_alternative<Rejected>(last));
        EXPECT_EQ(std::get<Rejected>(last).errors.front().code, ConfigErrorCode::NoZoneInService);
        EXPECT_EQ(errorCodeOf(apply(machine, request("ada", 5, 3, ReturnZone { "x" }))), ConfigErrorCode::UnknownZone);
        EXPECT_EQ(errorCodeOf(apply(machine, request("ada", 6, 3, DrainUpstream { "x", "u" }))),
            ConfigErrorCode::UnknownService);
        EXPECT_EQ(errorCodeOf(apply(machine, request("ada", 7, 9, ReturnZone { "zone-a" }))),
            ConfigErrorCode::BaseVersionAhead);
        EXPECT_EQ(errorCodeOf(apply(machine, request("a a", 8, 3, ReturnZone { "zone-a" }))), ConfigErrorCode::BadName);
        ApplyInventory inventory = sampleInventory();
        inventory.cluster = ClusterId { 1 };
        EXPECT_EQ(errorCodeOf(apply(machine, request("ada", 9, 3, inventory))), ConfigErrorCode::WrongCluster);
        inventory = sampleInventory();
        inventory.services[0].buckets = 2048;
        EXPECT_EQ(errorCodeOf(apply(machine, request("ada", 10, 3, inventory))), ConfigErrorCode::FixedValue);
        EXPECT_EQ(machine.configuration(), before);
    }

    // Guards against a new inventory that puts a withdrawn zone back into service, ends a drain or drops rules.
    TEST(ConfigStateMachine, InventoryKeepsOperatorsChanges)
    {
        ConfigStateMachine machine = machineWithInventory();
        const Rules rules { { { "logger", "export", 0, 9.0 } }, { { "zone-b", 2.0 } },
            { { "archive", Milliseconds { 5000 } } } };
        (void)apply(machine, request("ada", 2, 1, WithdrawZone { "zone-a" }));
        (void)apply(machine, request("ada", 3, 2, DrainUpstream { "logger", "u1" }));
        (void)apply(machine, request("ada", 4, 3, DrainUpstream { "archive", "u2" }));
        (void)apply(machine, request("ada", 5, 4, ApplyRules { rules }));
        ApplyInventory inventory = sampleInventory();
        inventory.services.pop_back();
        inventory.zones[0].name = "zone-renamed";
        const auto outcome = apply(machine, request("ada", 6, 5, inventory));
        ASSERT_EQ(outcome, CommandOutcome { (Accepted { ConfigVersion { 6 }, true }) });
        const Configuration& configuration = machine.configuration();
        EXPECT_EQ(configuration.zones[0].state, ZoneState::Withdrawn);
        EXPECT_EQ(configuration.drained, (std::vector<DrainedUpstream> { { ServiceId { 1 }, "u1" } }));
        EXPECT_EQ(configuration.services[0].kinds[1].priority, 0);
        EXPECT_EQ(configuration.services[0].kinds[1].weight, 9.0);
        EXPECT_EQ(configuration.zones[1].weight, 2.0);
        EXPECT_TRUE(configuration.rules.idle.empty());
        (void)apply(machine, request("ada", 7, 6, ApplyRules {}));
        EXPECT_EQ(machine.configuration().services, inventory.services);
    }

    // Guards against a snapshot that loses state, and a restore that lowers the version or changes the cluster.
    TEST(ConfigStateMachine, SnapshotRestoresTheCompleteState)
    {
        ConfigStateMachine machine = machineWithInventory();
        (void)apply(machine, request("ada", 2, 1, WithdrawZone { "zone-a" }));
        const ConfigState earlierState = machine.snapshot();
        (void)apply(machine, request("bela", 1, 1, WithdrawZone { "zone-b" }));
        (void)apply(machine, request("bela", 2, 2, DrainUpstream { "logger", "u" }));
        const auto state = wire::decodeState(wire::encodeState(machine.snapshot()));
        ASSERT_TRUE(state);
        ConfigStateMachine copy { sampleCluster };
        ASSERT_TRUE(copy.restore(state.value()));
        EXPECT_EQ(copy.snapshot(), machine.snapshot());
        EXPECT_EQ(copy.restore(earlierState).error(), RestoreError::OlderVersion);
        ConfigStateMachine other { ClusterId { 1 } };
        EXPECT_EQ(other.restore(earlierState).error(), RestoreError::WrongCluster);
    }

    // Guards against unbounded growth of the results, and applying a command again whose result is no longer retained.
    TEST(ConfigStateMachine, KeepsTheNewestResults)
    {
        ConfigStateMachine machine = machineWithInventory();
        // Commands for an unknown zone are rejected, and their results are retained.
        for (std::uint64_t i = 0; i < maxRetainedResults; ++i)
            (void)apply(machine, request("bela", i, 1, WithdrawZone { "unknown" }));
        EXPECT_EQ(machine.snapshot().records.size(), maxRetainedResults);
        EXPECT_FALSE(machine.resultOf("ada", CommandId { 1 }));
        EXPECT_EQ(apply(machine, request("ada", 1, 0, sampleInventory())),
            CommandOutcome { (Conflict { "ada", CommandId { 1 }, ConfigVersion { 1 }, ConfigVersion { 1 } }) });
    }

    // Guards against an entry instance that returns to an older configuration or accepts that of another cluster.
    TEST(Adoption, AcceptsOnlyAHigherVersionOfTheSameCluster)
    {
        const Configuration current = sampleConfiguration();
        Configuration offered = current;
        EXPECT_EQ(adopt(current, offered).error(), RefusalReason::StaleVersion);
        offered.version = ConfigVersion { 2 };
        EXPECT_EQ(adopt(current, offered).value(), offered);
        EXPECT_EQ(adopt(offered, current).error(), RefusalReason::StaleVersion);
        offered.cluster = ClusterId { 1 };
        EXPECT_EQ(adopt(current, offered).error(), RefusalReason::WrongCluster);
    }

    /** @brief Reference model of zones and drained upstreams, without validation of inventories. */
    struct ReferenceModel {
        std::uint64_t version = 1;
        std::set<std::string> withdrawn;
        std::set<std::string> drained;
        std::map<std::pair<std::string, std::uint64_t>, CommandOutcome> results;
        std::map<std::uint64_t, std::pair<std::string, std::uint64_t>> appliedChanges;

        bool applyChange(const Command& command)
        {
            if (const auto* c = std::get_if<WithdrawZone>(&command))
                return this->withdrawn.insert(c->zone).second;
            if (const auto* c = std::get_if<ReturnZone>(&command))
                return this->withdrawn.erase(c->zone) > 0;
            if (const auto* c = std::get_if<DrainUpstream>(&command))
                return this->drained.insert(c->name).second;
            return this->drained.erase(std::get<UndrainUpstream>(command).name) > 0;
        }

        CommandOutcome evaluate(const CommandRequest& commandRequest)
        {
            if (commandRequest.baseVersion.value != this->version) {
                const auto& [name, id] = this->appliedChanges[commandRequest.baseVersion.value + 1];
                return Conflict { name, CommandId { id }, { commandRequest.baseVersion.value + 1 }, { this->version } };
            }
            const ReferenceModel before = *this;
            const bool changes = this->applyChange(commandRequest.command);
            if (this->withdrawn.size() == 3) {
                *this = before;
                return Rejected {};
            }
            if (changes)
                this->appliedChanges[++this->version] = { commandRequest.operatorName, commandRequest.id.value };
            return Accepted { { this->version }, changes };
        }

        CommandOutcome apply(const CommandRequest& commandRequest)
        {
            const auto key = std::pair { commandRequest.operatorName, commandRequest.id.value };
            if (const auto found = this->results.find(key); found != this->results.end())
                return found->second;
            const CommandOutcome outcome = this->evaluate(commandRequest);
            return this->results[key] = outcome;
        }
    };

    Command randomCommand(std::mt19937& random)
    {
        const std::string zone { "zone-" + std::string(1, static_cast<char>('a' + random() % 3)) };
        const std::string upstream = "u" + std::to_string(random() % 4);
        const std::array<Command, 4> commands { WithdrawZone { zone }, ReturnZone { zone },
            DrainUpstream { "logger", upstream }, UndrainUpstream { "logger", upstream } };
        return commands[random() % commands.size()];
    }

    // Guards against results that differ from the reference model under random conflicts, resent commands and restores.
    TEST(ConfigStateMachine, AgreesWithReferenceModel)
    {
        for (unsigned seed = 1; seed <= 40; ++seed) {
            std::mt19937 random { seed };
            ConfigStateMachine machine = machineWithInventory();
            ReferenceModel model;
            model.results[{ "ada", 1 }] = Accepted { { 1 }, true };
            model.appliedChanges[1] = { "ada", 1 };
            std::vector<CommandRequest> sent;
            for (std::uint64_t step = 0; step < 300; ++step) {
                const bool resend = !sent.empty() && random() % 4 == 0;
                const std::uint64_t base = model.version - std::min<std::uint64_t>(random() % 3, model.version - 1);
                if (!resend)
                    sent.push_back(request(random() % 2 ? "ada" : "bela", 100 + step, base, randomCommand(random)));
                const CommandRequest next = resend ? sent[random() % sent.size()] : sent.back();
                const CommandOutcome expected = model.apply(next);
                const CommandOutcome outcome = apply(machine, next);
                ASSERT_EQ(outcome.index(), expected.index()) << "seed " << seed << " step " << step;
                if (!std::holds_alternative<Rejected>(expected)) {
                    ASSERT_EQ(outcome, expected) << "seed " << seed << " step " << step;
                }
                if (random() % 50 == 0) {
                    ConfigStateMachine copy { sampleCluster };
                    ASSERT_TRUE(copy.restore(machine.snapshot()));
                    machine = std::move(copy);
                }
            }
            std::set<std::string> withdrawn;
            for (const Zone& zone : machine.configuration().zones) {
                if (zone.state == ZoneState::Withdrawn)
                    withdrawn.insert(zone.name);
            }
            EXPECT_EQ(withdrawn, model.withdrawn);
            EXPECT_EQ(machine.configuration().drained.size(), model.drained.size());
            EXPECT_EQ(machine.configuration().version.value, model.version);
        }
    }

} // namespace
} // namespace zinnia::config
