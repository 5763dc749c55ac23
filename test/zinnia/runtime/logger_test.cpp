#include "zinnia/core/ids.hpp"
#include "zinnia/core/reasons.hpp"
#include "zinnia/runtime/log_limiter.hpp"
#include "zinnia/runtime/logger.hpp"

#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>

namespace zinnia::runtime {
namespace {

    std::vector<std::string> linesOf(const std::string& file)
    {
        std::ifstream stream { file };
        std::vector<std::string> lines;
        for (std::string line; std::getline(stream, line);)
            lines.push_back(line);
        return lines;
    }

    // Guards against forged lines (a line break in a value) and against ignoring the level.
    TEST(Logger, WritesOneEscapedLineForAnEnabledEvent)
    {
        const std::string file = testing::TempDir() + "zinnia_logger_test.log";
        std::remove(file.c_str());
        ASSERT_TRUE(startLog({ LogLevel::Info, file }));
        log(Event::CommandResent, Field { "dropped", true });
        log(Event::MessageRefused, Field { "reason", RefusalReason::BadTag }, Field { "from", InstanceId { 7 } },
            Field { "text", "a\nb \"c\"" });
        const auto lines = linesOf(file);
        ASSERT_TRUE(startLog({ LogLevel::Error, "" }));
        ASSERT_EQ(lines.size(), 1U);
        EXPECT_EQ(lines[0].substr(lines[0].find('Z')),
            R"(Z WARN 1700 MessageRefused reason=bad_tag from=7 text="a\x0ab \"c\"")");
    }

    // Guards against log lines as long as whatever another process has sent.
    TEST(Logger, ShortensLongFields)
    {
        const std::string file = testing::TempDir() + "zinnia_logger_test.log";
        std::remove(file.c_str());
        ASSERT_TRUE(startLog({ LogLevel::Info, file }));
        log(Event::MessageRefused, Field { "text", std::string(70000, 'x') }, Field { "from", InstanceId { 7 } });
        const auto lines = linesOf(file);
        ASSERT_TRUE(startLog({ LogLevel::Error, "" }));
        ASSERT_EQ(lines.size(), 1U);
        EXPECT_LT(lines[0].size(), 1200U);
        EXPECT_NE(lines[0].find("xxx... from=7"), std::string::npos);
    }

    // Guards against silently logging nowhere.
    TEST(Logger, ReportsAFileThatCannotBeWritten)
    {
        const auto started = startLog({ LogLevel::Error, "/nonexistent/zinnia.log" });
        ASSERT_FALSE(started);
        EXPECT_EQ(started.error(), LogError::FileNotWritable);
    }

    // Guards against a sender that fills the disk with warnings, and against hiding that lines were left out.
    TEST(LogLimiter, BoundsLinesOfEachWarningEvent)
    {
        ManualClock clock;
        LogLimiter limiter;
        const EventRow& warning = eventRowOf(Event::MessageRefused);
        for (std::uint32_t i = 0; i < maxWarningsPerSecond; ++i)
            EXPECT_EQ(limiter.admit(warning, clock.now()), 0U);
        EXPECT_FALSE(limiter.admit(warning, clock.now()));
        EXPECT_FALSE(limiter.admit(warning, clock.now()));
        EXPECT_EQ(limiter.admit(eventRowOf(Event::OperatorRefused), clock.now()), 0U);
        for (std::uint32_t i = 0; i < 2 * maxWarningsPerSecond; ++i)
            EXPECT_EQ(limiter.admit(eventRowOf(Event::CommandAccepted), clock.now()), 0U);
        clock.advance(Seconds { 1 });
        EXPECT_EQ(limiter.admit(warning, clock.now()), 2U);
        EXPECT_EQ(limiter.admit(warning, clock.now()), 0U);
    }

} // namespace
} // namespace zinnia::runtime
