#include "zinnia/runtime/inventory.hpp"

#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace zinnia::runtime {
namespace {

    const std::string examples = std::string { ZINNIA_SOURCE_DIR } + "/examples/";

    std::string printed(const SettingsErrors& errors)
    {
        std::string text;
        for (const auto& error : errors)
            text += error.toString() + "\n";
        return text;
    }

    // Guards against examples that do not have the users' sizes or that leave the loopback network.
    TEST(Inventory, ExamplesHaveTheSizesOfTheUsers)
    {
        for (const char* name : { "veenherstel.toml", "agency.toml" }) {
            const auto inventory = loadInventory(examples + name);
            ASSERT_TRUE(inventory) << printed(inventory.error());
            const auto& value = inventory.value();
            EXPECT_EQ(value.zones.size(), 3U);
            EXPECT_EQ(value.services.size(), 2U);
            EXPECT_EQ(value.services[0].kinds.size(), 3U);
            EXPECT_EQ(value.controls.size(), 3U);
            EXPECT_TRUE(value.entries.size() >= 7 && value.entries.size() <= 9);
            for (const auto& entry : value.entries)
                EXPECT_EQ(entry.peerAddress.address >> 24U, 127U);
        }
    }

    // Guards against an inventory with one error that is accepted, or whose error does not name the key of the file.
    TEST(Inventory, NamesTheKeyOfTheError)
    {
        std::ifstream stream { examples + "agency.toml" };
        std::ostringstream content;
        content << stream.rdbuf();
        struct Broken {
            std::string from;
            std::string to;
            std::string error;
        };
        const std::vector<Broken> cases {
            { "cluster = 7002\n", "", "f: cluster: missing; allowed: an integer from 1 to 9223372036854775807\n" },
            { "mode = \"request\"", "mode = \"stream\"",
                "f:21: service[0].mode: not_allowed: 'stream'; allowed: datagram, request\n" },
            { "id = 102\n", "id = 101\n",
                "f: entry[1].id: not_allowed: '101'; allowed: duplicate_id; an id that no other has\n" },
            { "zone = \"budapest-a\"", "zone = \"buda\"",
                "f:65: entry[0].zone: not_allowed: 'buda'; allowed: the name of a zone: budapest-a, budapest-b, "
                "budapest-c\n" },
            { "name = \"stop-list\"", "name = \"stop list\"",
                "f: service[0].kind[0].name: not_allowed: 'stop list'; allowed: bad_name; 1 to 64 letters, digits, "
                "'.', '_' and '-'\n" },
            { "127.2.1.100:7100", "127.2.1.100",
                "f:115: control[0].stream_address: not_allowed: '127.2.1.100'; allowed: an address of the form "
                "a.b.c.d:port\n" },
        };
        for (const Broken& broken : cases) {
            std::string text = content.str();
            text.replace(text.find(broken.from), broken.from.size(), broken.to);
            const auto inventory = parseInventory(text, "f");
            ASSERT_FALSE(inventory) << broken.to;
            EXPECT_EQ(printed(inventory.error()), broken.error);
        }
    }

    // Guards against rules that lose the difference between "not given" and zero.
    TEST(Inventory, ReadsRules)
    {
        const auto rules = parseRules(
            "[[kind]]\nservice = \"a\"\nkind = \"b\"\npriority = 0\n[[zone]]\nzone = \"z\"\nweight = 2\n", "f");
        ASSERT_TRUE(rules);
        const config::Rules expected { { { "a", "b", 0, {} } }, { { "z", 2.0 } }, {} };
        EXPECT_EQ(rules.value().rules, expected);
        EXPECT_EQ(parseRules("[[kind]]\nservice = \"a\"\npriority = 300\n", "f").error().size(), 2U);
    }

} // namespace
} // namespace zinnia::runtime
