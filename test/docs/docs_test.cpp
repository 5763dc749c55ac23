#include "zinnia/core/event.hpp"
#include "zinnia/core/reasons.hpp"

#include <Poco/RegularExpression.h>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <set>
#include <string>
#include <vector>

namespace zinnia {
namespace {

    /** @return The lines of a page of docs/ that begin with `prefix`. */
    std::string linesOf(const std::string& page, const std::string& prefix)
    {
        std::ifstream stream { std::string { ZINNIA_SOURCE_DIR } + "/docs/" + page };
        std::string lines;
        for (std::string line; std::getline(stream, line);) {
            if (line.starts_with(prefix))
                lines += line + "\n";
        }
        return lines;
    }

    // Guards against an event that docs/events.md does not list, a row without an event, and a reused number.
    TEST(Docs, EventsPageListsTheCatalogue)
    {
        std::string expected;
        std::set<Event> numbers;
        std::set<std::string_view> names;
        for (const EventRow& row : eventCatalogue) {
            expected += "| " + std::to_string(static_cast<unsigned>(row.event)) + " | ";
            expected.append(nameIn(logLevelNames, row.level)).append(" | ").append(row.name);
            expected.append(" | ").append(row.text).append(" |\n");
            EXPECT_TRUE(numbers.insert(row.event).second) << row.name;
            EXPECT_TRUE(names.insert(row.name).second) << row.name;
        }
        EXPECT_EQ(linesOf("events.md", "| 1"), expected);
    }

    // Guards against an event without a row in the catalogue, which would be logged as another event.
    TEST(Docs, EveryEventHasARow)
    {
        std::ifstream stream { std::string { ZINNIA_SOURCE_DIR } + "/src/zinnia/core/event.hpp" };
        std::size_t events = 0;
        for (std::string line; std::getline(stream, line);)
            events += line.starts_with("    ") && line.ends_with(",") && line.find(" = 1") != std::string::npos ? 1 : 0;
        EXPECT_EQ(events, eventCatalogue.size());
    }

    // Guards against a refusal or retry reason that docs/operators.md does not explain.
    TEST(Docs, OperatorsPageExplainsEveryReason)
    {
        const std::string rows = linesOf("operators.md", "| `");
        for (const auto& reason : refusalReasonNames)
            EXPECT_NE(rows.find("| `" + std::string { reason.name } + "` |"), std::string::npos) << reason.name;
        for (const auto& reason : retryReasonNames)
            EXPECT_NE(rows.find("| `" + std::string { reason.name } + "` |"), std::string::npos) << reason.name;
    }

    /** @return Group `group` of every match of the pattern in the text. */
    std::vector<std::string> matchesOf(const std::string& text, const std::string& pattern, std::size_t group)
    {
        const Poco::RegularExpression expression { pattern };
        std::vector<std::string> found;
        std::size_t offset = 0;
        for (Poco::RegularExpression::MatchVec match; expression.match(text, offset, match) > 0;) {
            found.push_back(text.substr(match[group].offset, match[group].length));
            offset = match[0].offset + match[0].length;
        }
        return found;
    }

    // Guards against a promise whose test was renamed or removed.
    TEST(Docs, PromisesNameTestsThatExist)
    {
        std::set<std::string> known;
        const std::filesystem::path folder { std::string { ZINNIA_SOURCE_DIR } + "/test" };
        for (const auto& file : std::filesystem::recursive_directory_iterator { folder }) {
            if (file.path().extension() != ".cpp")
                continue;
            std::ifstream stream { file.path() };
            const std::string text { std::istreambuf_iterator<char> { stream }, {} };
            const std::string pattern { "TEST(?:_F)?\\(([A-Za-z]+), *([A-Za-z0-9]+)\\)" };
            const auto suites = matchesOf(text, pattern, 1);
            const auto names = matchesOf(text, pattern, 2);
            for (std::size_t i = 0; i < suites.size(); ++i)
                known.insert(suites[i] + "." + names[i]);
        }
        const auto named = matchesOf(linesOf("promises.md", "| "), "`([A-Z][A-Za-z]+\\.[A-Za-z]+)`", 1);
        for (const std::string& name : named)
            EXPECT_TRUE(known.contains(name)) << name;
        EXPECT_GE(named.size(), 10U) << "each of the ten promises names a test";
    }

} // namespace
} // namespace zinnia
