#include "zinnia/runtime/background_file.hpp"
#include "zinnia/runtime/fake_folder.hpp"

#include <gtest/gtest.h>

namespace zinnia::runtime {
namespace {

    // Guards against content that is lost in a restart, and against an older version that overwrites a newer one.
    TEST(BackgroundFile, ReadsTheLastWrittenVersionAfterARestart)
    {
        test::FakeFolder folder;
        {
            BackgroundFile file { folder, "memory" };
            EXPECT_FALSE(file.read());
            for (std::uint8_t version = 1; version <= 50; ++version)
                file.write(Bytes(100, version));
        }
        BackgroundFile again { folder, "memory" };
        EXPECT_EQ(again.read(), (Bytes(100, 50)));
    }

    // Guards against loading routes and upstreams from a damaged file.
    TEST(BackgroundFile, RefusesADamagedFile)
    {
        test::FakeFolder folder;
        {
            BackgroundFile file { folder, "memory" };
            file.write(Bytes(100, 7));
        }
        auto& bytes = folder.names.at("memory")->bytes;
        bytes[50] ^= 1U;
        EXPECT_FALSE((BackgroundFile { folder, "memory" }.read()));
        bytes.resize(4);
        EXPECT_FALSE((BackgroundFile { folder, "memory" }.read()));
    }

    // Guards against write failures that are not counted.
    TEST(BackgroundFile, CountsFailedWritesAndKeepsTheEarlierVersion)
    {
        test::FakeFolder folder;
        {
            BackgroundFile file { folder, "memory" };
            file.write(Bytes(10, 1));
        }
        folder.freeBytes = 0;
        BackgroundFile file { folder, "memory" };
        file.write(Bytes(10, 2));
        while (file.failures() == 0)
            std::this_thread::yield();
        EXPECT_EQ(file.read(), (Bytes(10, 1)));
    }

} // namespace
} // namespace zinnia::runtime
