#pragma once

#include "zinnia/core/time.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace zinnia::standin {

/** @brief Known state of the upstreams, from their control ports and from the operator's marks. */
class UpstreamDirectory {
public:
    struct Known {
        std::string zone;
        std::string service;
        std::uint64_t generation {};
        bool answering = true;
    };

    void update(const std::string& name, Known known) { this->upstreams[name] = std::move(known); }
    /** @brief Marks an upstream whose process is gone, so that its control port cannot report the loss. */
    void markLost(const std::string& name) { this->upstreams[name].answering = false; }
    void withdrawZone(const std::string& zone) { this->everWithdrawn.insert(zone); }

    /** @return Zone of the upstream; empty if it is not known. */
    [[nodiscard]] std::string zoneOf(const std::string& name) const;
    /** @return True if the upstream is still running with that generation, as far as is known. */
    [[nodiscard]] bool isRunning(const std::string& name, std::uint64_t generation) const;
    [[nodiscard]] bool wasWithdrawn(const std::string& zone) const { return this->everWithdrawn.contains(zone); }
    /** @return Number of known upstreams of a service. */
    [[nodiscard]] std::size_t countOf(const std::string& service) const;

private:
    std::map<std::string, Known> upstreams;
    std::set<std::string> everWithdrawn;
};

} // namespace zinnia::standin
