#include "zinnia/runtime/command_line.hpp"

#include <gtest/gtest.h>

namespace zinnia::runtime {
namespace {

    // Guards against a program that starts with wrong arguments, or fails on --help and --version.
    TEST(CommandLine, ParsesTheSharedOptions)
    {
        const ProgramDescription description { "sample", "A sample." };
        const auto parse = [&](const std::vector<std::string>& arguments) {
            CommandLineParser parser { description };
            return parser.parse(arguments);
        };
        const auto line = parse({ "--config", "f.toml", "--check-config" });
        ASSERT_TRUE(line);
        EXPECT_EQ(line.value().configFile, "f.toml");
        EXPECT_TRUE(line.value().checkConfig);
        const auto withKeys = parse({ "--config", "f.toml", "--set", "a.b=1", "--set", "c='x'" });
        ASSERT_TRUE(withKeys);
        EXPECT_EQ(withKeys.value().overrides, (SettingsOverrides { "a.b=1", "c='x'" }));
        testing::internal::CaptureStdout();
        EXPECT_EQ(parse({ "--version" }).error().code, 0);
        EXPECT_EQ(testing::internal::GetCapturedStdout(), "sample 0.1.0\n");
        testing::internal::CaptureStdout();
        EXPECT_EQ(parse({ "--help" }).error().code, 0);
        EXPECT_NE(testing::internal::GetCapturedStdout().find("--check-config"), std::string::npos);
        testing::internal::CaptureStderr();
        EXPECT_EQ(parse({}).error().code, exit_code::usage);
        EXPECT_EQ(parse({ "--config" }).error().code, exit_code::usage);
        EXPECT_EQ(parse({ "--config", "f", "--colour" }).error().code, exit_code::usage);
        EXPECT_EQ(parse({ "--config", "f", "extra" }).error().code, exit_code::usage);
        EXPECT_FALSE(testing::internal::GetCapturedStderr().empty());
    }

} // namespace
} // namespace zinnia::runtime
