#pragma once

#include <cstdint>
#include <string>

namespace zinnia::standin {

/** @brief Payload of a request or datagram of a caller; identifies it in all counts. */
struct Probe {
    /** Unique among all callers of a run. */
    std::uint64_t id {};
    /** Service that the caller addressed, so that an upstream detects a packet of another service. */
    std::string service;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.id, self.service);
    }
};

/** @brief Payload of an answer of an emulated upstream. */
struct ProbeAnswer {
    std::uint64_t id {};
    std::string service;
    std::string upstream;
    /** Increases when the upstream loses its state. */
    std::uint64_t generation {};

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.id, self.service, self.upstream, self.generation);
    }
};

} // namespace zinnia::standin
