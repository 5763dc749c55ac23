#pragma once

#include "standin/entry_choice.hpp"
#include "standin/link_table.hpp"
#include "zinnia/runtime/log_settings.hpp"
#include "zinnia/runtime/settings.hpp"

#include <optional>
#include <string>
#include <vector>

namespace zinnia::standin {

/** @brief An address range that belongs to a zone. */
struct ZoneNetwork {
    std::string zone;
    std::uint32_t address {};
    unsigned prefixBits {};

    /** @return The network of a text such as "127.0.1.0/24". */
    [[nodiscard]] static std::optional<ZoneNetwork> parse(const std::string& zone, const std::string& text);
    [[nodiscard]] bool contains(std::uint32_t candidate) const noexcept;
};

struct FabricService {
    std::string name;
    Endpoint address;
};

/** @brief Forwards datagrams or TCP connections from `listen` to `target`. */
struct FabricRelay {
    Endpoint listen;
    Endpoint target;
    /** Zone of the target. */
    std::string to;
    /** Zone of the senders; if empty, it is looked up by the sender's address. */
    std::string from;
};

struct FabricLink {
    LinkTable::Key key;
    LinkRule rule;
};

struct FabricSettings {
    Endpoint control;
    /** Entries may send answers here; packets to entries leave from the same IP address. */
    Endpoint entryListen;
    ChoiceRule choice {};
    std::uint64_t seed = 1;
    std::vector<FabricService> services;
    std::vector<FabricEntry> entries;
    std::vector<ZoneNetwork> networks;
    std::vector<FabricRelay> relays;
    std::vector<FabricRelay> streamRelays;
    std::vector<FabricLink> links;
    runtime::LogSettings log;
};

[[nodiscard]] FabricSettings readFabricSettings(runtime::TableReader& root);

} // namespace zinnia::standin
