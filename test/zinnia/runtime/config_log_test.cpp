#include "zinnia/config/sample.hpp"
#include "zinnia/runtime/config_log.hpp"
#include "zinnia/wire/config_codec.hpp"

#include <gtest/gtest.h>

namespace zinnia::runtime {
namespace {

    const config::CommandRequest first { "ada", config::CommandId { 1 }, {}, config::sampleInventory() };

    // Guards against an undecodable log entry that stops or changes a replica, and against a lossy command encoding.
    TEST(ConfigLog, AppliesRecordsAndIgnoresOthers)
    {
        ConfigLog log { config::sampleCluster };
        Bytes record = wire::encodeCommand(first);
        EXPECT_EQ(wire::decodeCommand(record).value(), first);
        for (std::size_t size = 0; size < record.size(); ++size) {
            const auto outcome = log.apply(BytesView { record }.first(size));
            ASSERT_TRUE(std::holds_alternative<config::Rejected>(outcome)) << size;
            ASSERT_EQ(std::get<config::Rejected>(outcome).errors.front().code, config::ConfigErrorCode::Undecodable);
        }
        EXPECT_EQ(log.state().configuration().version, ConfigVersion {});
        EXPECT_EQ(log.apply(record), (config::CommandOutcome { config::Accepted { ConfigVersion { 1 }, true } }));
        EXPECT_EQ(log.apply(record), (config::CommandOutcome { config::Accepted { ConfigVersion { 1 }, true } }));
        EXPECT_EQ(log.state().configuration(), config::sampleConfiguration());
    }

    // Guards against a replica that restores a snapshot that is damaged, older or of another cluster.
    TEST(ConfigLog, RestoresOnlyANewerSnapshotOfTheCluster)
    {
        ConfigLog log { config::sampleCluster };
        const Bytes empty = log.snapshot();
        (void)log.apply(wire::encodeCommand(first));
        const Bytes snapshot = log.snapshot();
        EXPECT_EQ(log.restore(empty).error(), SnapshotError::OlderVersion);
        ConfigLog other { ClusterId { 1 } };
        EXPECT_EQ(other.restore(snapshot).error(), SnapshotError::WrongCluster);
        ConfigLog copy { config::sampleCluster };
        EXPECT_EQ(copy.restore(BytesView { snapshot }.first(snapshot.size() - 1)).error(), SnapshotError::Undecodable);
        ASSERT_TRUE(copy.restore(snapshot));
        EXPECT_EQ(copy.snapshot(), snapshot);
    }

} // namespace
} // namespace zinnia::runtime
