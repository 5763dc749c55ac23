#include "zinnia/runtime/drill_report.hpp"

#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace zinnia::runtime {
namespace {

    const std::string golden = std::string { ZINNIA_SOURCE_DIR } + "/test/zinnia/runtime/golden/";

    std::string contentOf(const std::string& name)
    {
        std::ifstream stream { golden + name, std::ios::binary };
        std::ostringstream content;
        content << stream.rdbuf();
        return content.str();
    }

    // Guards against a report that changes unnoticed: golden files of both formats, made from a complete drill file.
    TEST(DrillReport, MatchesTheGoldenFiles)
    {
        const auto drill = parseDrill(contentOf("drill.jsonl"), "drill.jsonl");
        ASSERT_TRUE(drill) << drill.error().front().toString();
        EXPECT_EQ(textReport(drill.value()), contentOf("drill_report.txt"));
        EXPECT_EQ(htmlReport(drill.value()), contentOf("drill_report.html"));
    }

    DrillFile sampleDrill()
    {
        DrillFile drill;
        drill.start = { "<b>user</b>", "zone-withdraw-return", 1 };
        for (std::int64_t i = 1; i <= 120; ++i) {
            const bool withdrawn = i > 20 && i <= 90;
            drill.samples.push_back({ Milliseconds { i * 100 }, withdrawn ? 8U : 10U, 0, 0,
                { { "a", withdrawn && i != 25 && i != 70 ? 0U : 5U }, { "b", 5 } } });
        }
        drill.events
            = { { Milliseconds { 2000 }, "zone withdrawn", "a" }, { Milliseconds { 9000 }, "zone returned", "a" } };
        drill.totals.kinds = { { "x", 3.0, 100, 100 }, { "y", 1.0, 100, 60 } };
        return drill;
    }

    // Guards against losing a field between the load tool and the report.
    TEST(DrillFile, ReadsWhatItWrites)
    {
        DrillFile drill = sampleDrill();
        drill.totals.imbalance = 1.25;
        std::string text = drillLine(drill.start);
        for (const auto& sample : drill.samples)
            text += drillLine(sample);
        for (const auto& event : drill.events)
            text += drillLine(event);
        const auto read = parseDrill(text + drillLine(drill.totals), "f");
        ASSERT_TRUE(read) << read.error().front().toString();
        EXPECT_EQ(read.value(), drill);
        const auto truncated = parseDrill(text + "{\"type\":\"tot", "f");
        ASSERT_FALSE(truncated);
        EXPECT_EQ(truncated.error().front().line, 124U);
        EXPECT_EQ(truncated.error().size(), 2U);
    }

    // Guards against hiding packets to a withdrawn zone, and against a wrong delivery ratio.
    TEST(DrillMeasures, FindLatePacketsAndTheWorstSecond)
    {
        const DrillMeasures measures = measure(sampleDrill());
        EXPECT_DOUBLE_EQ(*measures.weightedDelivery, 360.0 / 400.0);
        ASSERT_EQ(measures.withdrawals.size(), 1U);
        const WithdrawalMeasures& withdrawal = measures.withdrawals[0];
        EXPECT_EQ(withdrawal.lastPacket, Milliseconds { 5000 });
        EXPECT_EQ(withdrawal.latePackets, 5U);
        EXPECT_DOUBLE_EQ(*withdrawal.worstSecond, 0.8);
        EXPECT_DOUBLE_EQ(*withdrawal.worstSecondAfterReturn, 1.0);
    }

    // Guards against text of a drill file that becomes markup, and against an empty file that breaks the plot.
    TEST(DrillReport, EscapesTextAndPlotsAnEmptyFile)
    {
        const std::string page = htmlReport(sampleDrill());
        EXPECT_EQ(page.find("<b>"), std::string::npos);
        EXPECT_NE(page.find("&lt;b&gt;user"), std::string::npos);
        EXPECT_EQ(htmlReport(DrillFile {}).find("nan"), std::string::npos);
    }

} // namespace
} // namespace zinnia::runtime
