#pragma once

#include "zinnia/core/bytes.hpp"
#include "zinnia/core/ids.hpp"
#include "zinnia/core/name_table.hpp"
#include "zinnia/core/time.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace zinnia::feed {

/** @brief Size of a part of a state; a datagram with one is not fragmented. Unit: bytes. */
inline constexpr std::size_t statePartBytes = 1200;
/**
 * @brief Maximum size of an encoded routing state. A link of 2 Mbit/s takes 2.1 s for it, and routers have to follow a
 * change within about 3 s. Unit: bytes.
 */
inline constexpr std::size_t maxRoutingStateBytes = 512U << 10U;

/** @brief Maximum size of anything that is received in parts. Unit: bytes. */
inline constexpr std::size_t maxTransferBytes = 1U << 20U;

/** @brief What a router requests in parts. The values are part of the protocol. */
enum class StateSubject : std::uint8_t {
    /** `feed::RoutingState`; revisions are those of the state. */
    Routing,
    /** `load::RouteFacts`; revisions are the versions of the route table. */
    RouteFacts,
};

inline constexpr NameTable<StateSubject, 2> stateSubjectNames { {
    { StateSubject::Routing, "routing" },
    { StateSubject::RouteFacts, "route_facts" },
} };
static_assert(isDense(stateSubjectNames));

/** @brief Request of a router for parts of a state that does not fit into a reply. */
struct StatePartsRequest {
    StateSubject subject {};
    /** The revision wanted, or a later one. */
    std::uint64_t revision {};
    /** Numbers of the parts; the first one has the number 0. */
    std::vector<std::uint32_t> parts;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.subject, self.revision, self.parts);
    }
};

/** @brief A part of an encoded state. All parts but the last one have `statePartBytes`. */
struct StatePart {
    StateSubject subject {};
    /** Revision of the state; newer than the requested one if the sender no longer has that. */
    std::uint64_t revision {};
    /** Size of the encoded state. Unit: bytes. */
    std::uint32_t stateBytes {};
    /** Hash of the encoded state; the same on all control instances of one release. */
    std::uint64_t digest {};
    std::uint32_t part {};
    Bytes bytes;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.subject, self.revision, self.stateBytes, self.digest, self.part, self.bytes);
    }
};

/** @return The number of parts of an encoded state. */
[[nodiscard]] constexpr std::uint32_t partCountOf(std::size_t stateBytes) noexcept
{
    return static_cast<std::uint32_t>((stateBytes + statePartBytes - 1) / statePartBytes);
}

/**
 * @brief The encoded states of one subject that a control instance has sent recently.
 *
 * Earlier states are kept for a while: a router that would have to start again with each change could fall behind for
 * as long as changes follow each other closely.
 */
class StateArchive {
public:
    using Encoder = std::function<Bytes()>;

    /** @return Size of the encoded state of a revision, the newest one. @param encode Called if it is not kept yet. */
    [[nodiscard]] std::size_t sizeOf(std::uint64_t revision, const Encoder& encode);

    /**
     * @return The requested parts of the requested state, or of the newest one if that state is not kept; empty if the
     *         newest one is older than the requested one. Call `sizeOf` for the newest one first.
     */
    [[nodiscard]] std::vector<StatePart> answer(const StatePartsRequest& request) const;

private:
    struct Entry {
        std::uint64_t revision {};
        std::uint64_t digest {};
        Bytes bytes;
    };

    /** The newest last. */
    std::deque<Entry> entries;
};

/** @brief Time limits and limits of a `StateTransfer`. */
struct StateTransferSettings {
    /** Maximum number of parts of one request. */
    std::size_t partsPerRequest = 32;
    /** Time without a part after which missing parts are requested again, from another control instance if one offers
     * the state. */
    Milliseconds retryDelay { 150 };
};

/** @brief Requests that a router has to send. */
struct OutgoingPartsRequest {
    InstanceId control;
    StatePartsRequest request;
};

/**
 * @brief A router's transfer of a state in parts.
 *
 * A transfer is finished although a newer state is offered meanwhile, and goes on with another control instance if the
 * first one no longer answers. Parts may be lost, repeated and out of order.
 */
class StateTransfer {
public:
    explicit StateTransfer(StateSubject subject, const StateTransferSettings& settings = {})
        : subject { subject }
        , settings { settings }
    {
    }

    /**
     * @brief A control instance has a newer state than this router, and has not sent it.
     * @return The request to send, unless a transfer is in progress that does not need it.
     */
    [[nodiscard]] std::optional<OutgoingPartsRequest> offer(InstanceId control, std::uint64_t revision, TimePoint now);

    /** @brief Processes a part. @return The next request, if there is one to send now. */
    [[nodiscard]] std::optional<OutgoingPartsRequest> receive(InstanceId control, const StatePart& part, TimePoint now);

    /** @return The request for missing parts if none has arrived for `retryDelay`. */
    [[nodiscard]] std::optional<OutgoingPartsRequest> tick(TimePoint now);

    /** @return The encoded state once all of its parts have arrived, and their hash is the announced one; once. */
    [[nodiscard]] std::optional<Bytes> takeState();

    /** @brief Ends the transfer of a state that is not newer than the router's own one. */
    void discardUpTo(std::uint64_t revision);

    [[nodiscard]] bool isInProgress() const noexcept { return this->revision > 0; }

private:
    void start(std::uint64_t newRevision, TimePoint now);
    void reset();
    /** @return A request for the first missing parts. */
    [[nodiscard]] OutgoingPartsRequest nextRequest(TimePoint now);

    StateSubject subject;
    StateTransferSettings settings;
    /** Control instance that is asked. */
    InstanceId source;
    /** Revision that is transferred; 0 for none. */
    std::uint64_t revision {};
    std::uint64_t digest {};
    /** The encoded state, with gaps where parts are missing; empty until the first part arrives. */
    Bytes bytes;
    std::vector<bool> received;
    std::size_t missing {};
    /** The last part of the newest request. */
    std::uint32_t lastRequested {};
    /** Time of the last part, or of the start of the transfer. */
    TimePoint lastPartAt;
    TimePoint lastRequestAt;
};

} // namespace zinnia::feed
