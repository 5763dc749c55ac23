#include "zinnia/runtime/log_settings.hpp"
#include "zinnia/runtime/settings.hpp"

#include <gtest/gtest.h>

namespace zinnia::runtime {
namespace {

    struct Sample {
        std::string name;
        Endpoint address;
        Milliseconds period;
        LogSettings log;
        std::vector<std::int64_t> sizes;
    };

    Sample readSample(TableReader& root)
    {
        Sample sample;
        sample.name = root.text("name");
        sample.address = root.endpoint("address");
        sample.period
            = root.milliseconds("period_ms", { Milliseconds { 1 }, Milliseconds { 1000 } }, Milliseconds { 250 });
        sample.log = readLogSettings(root);
        for (TableReader& item : root.tables("item"))
            sample.sizes.push_back(item.integer("size", { 1, 9 }));
        return sample;
    }

    const std::string validText
        = "name = \"a\"\naddress = \"127.0.0.1:80\"\n[log]\nlevel = \"debug\"\n[[item]]\nsize = 3\n";

    // Guards against a reader that loses values or defaults.
    TEST(Settings, ReadsAValidFile)
    {
        const auto sample = parseSettings(validText, "f.toml", readSample);
        ASSERT_TRUE(sample);
        EXPECT_EQ(sample.value().name, "a");
        EXPECT_EQ(sample.value().address.port, 80);
        EXPECT_EQ(sample.value().period, Milliseconds { 250 });
        EXPECT_EQ(sample.value().log.level, LogLevel::Debug);
        EXPECT_EQ(sample.value().sizes, std::vector<std::int64_t> { 3 });
    }

    struct Broken {
        std::string from;
        std::string to;
        SettingsFault fault;
        std::string key;
    };

    // Guards against accepting a file with one error, and against an error that does not name its key.
    TEST(Settings, NamesTheKeyOfTheError)
    {
        const std::vector<Broken> cases {
            { "name = \"a\"", "name = 3", SettingsFault::WrongType, "name" },
            { "name = \"a\"", "", SettingsFault::Missing, "name" },
            { "name = \"a\"", "nam = \"b\"\nname = \"a\"", SettingsFault::UnknownKey, "nam" },
            { "name = \"a\"", "name = ", SettingsFault::Syntax, "" },
            { "127.0.0.1:80", "127.0.0.1", SettingsFault::NotAllowed, "address" },
            { "level = \"debug\"", "level = \"loud\"", SettingsFault::NotAllowed, "log.level" },
            { "level = \"debug\"", "colour = true", SettingsFault::UnknownKey, "log.colour" },
            { "[log]", "period_ms = 0\n[log]", SettingsFault::NotAllowed, "period_ms" },
            { "[log]", "period_ms = 2.5\n[log]", SettingsFault::WrongType, "period_ms" },
            { "size = 3", "size = 10", SettingsFault::NotAllowed, "item[0].size" },
            { "size = 3", "size = 3\nwidth = 1", SettingsFault::UnknownKey, "item[0].width" },
            { "[[item]]", "[item]", SettingsFault::WrongType, "item" },
        };
        for (const Broken& broken : cases) {
            std::string text = validText;
            text.replace(text.find(broken.from), broken.from.size(), broken.to);
            const auto sample = parseSettings(text, "f.toml", readSample);
            ASSERT_FALSE(sample) << text;
            ASSERT_EQ(sample.error().size(), 1U) << text;
            EXPECT_EQ(sample.error().front().fault, broken.fault) << text;
            EXPECT_EQ(sample.error().front().key, broken.key) << text;
            EXPECT_EQ(sample.error().front().file, "f.toml");
        }
    }

    // Guards against stopping at the first error, and pins the text an operator sees.
    TEST(Settings, CollectsEveryError)
    {
        const auto sample = parseSettings("name = 1\naddress = \"x\"\nextra = 1\n", "f.toml", readSample);
        ASSERT_FALSE(sample);
        std::string text;
        for (const auto& error : sample.error())
            text += error.toString() + "\n";
        EXPECT_EQ(text,
            "f.toml:1: name: wrong_type: '1'; allowed: a text\n"
            "f.toml:2: address: not_allowed: 'x'; allowed: an address of the form a.b.c.d:port\n"
            "f.toml:3: extra: unknown_key; allowed: address, item, log, name, period_ms\n");
    }

    // Guards against a crash or an empty value when the file does not exist.
    TEST(Settings, ReportsAnUnreadableFile)
    {
        const auto sample = loadSettings("/nonexistent/file.toml", readSample);
        ASSERT_FALSE(sample);
        EXPECT_EQ(sample.error().front().fault, SettingsFault::Unreadable);
    }

    // Guards against keys of the command line that are ignored, that remove other keys, or that bypass the checks.
    TEST(Settings, OverridesReplaceSingleKeys)
    {
        const std::string text = "[group]\nlost = 1\nname = \"a\"\n";
        std::int64_t lost = 0;
        std::string name;
        const auto read = [&](TableReader& root) {
            TableReader group = root.table("group");
            lost = group.integer("lost", { 0, 9 });
            name = group.text("name");
        };
        EXPECT_TRUE(readSettingsText(text, "f.toml", read, { "group.lost=4" }).empty());
        EXPECT_EQ(lost, 4);
        EXPECT_EQ(name, "a");
        EXPECT_EQ(readSettingsText(text, "f.toml", read, { "group.lost=10" }).size(), 1U);
        EXPECT_EQ(readSettingsText(text, "f.toml", read, { "group.other=1" }).size(), 1U);
        EXPECT_EQ(readSettingsText(text, "f.toml", read, { "group.lost=" }).size(), 1U);
    }

} // namespace
} // namespace zinnia::runtime
