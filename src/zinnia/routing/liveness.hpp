#pragma once

#include <optional>

namespace zinnia::routing {

/**
 * @brief What a router knows about an upstream when it decides on the open flows there.
 *
 * This is the only place that says what may end a flow. Anyone can send an announcement or a departure, so neither is a
 * proof that an upstream is dead. A router that sees a sign of it checks the upstream itself:
 *
 * | evidence | open flows |
 * | --- | --- |
 * | a health check of this router failed, and nothing has answered since | end |
 * | a health check succeeded | stay, whatever has been announced |
 * | it has left or is silent, and an upstream of a named service that started later announces its address: a connection
 *   reaches the other one and says nothing | end once callers retransmit without an answer, or if it has left |
 * | it has left (a departure, or a drain whose announcements have ended) | stay until a health check fails |
 * | another upstream announces its address, and it announces itself too | stay |
 * | announced as silent; reported by another router; openings without an answer; retransmissions | stay; each requests
 * a health check |
 */
struct LivenessEvidence {
    /** Result of a health check of this router that no answer has made obsolete; empty if there is none. */
    std::optional<bool> connected {};
    /** Control instances no longer receive its announcements. */
    bool isSilent {};
    /** It has announced its departure. */
    bool hasLeft {};
    /** An upstream of a named service that started later announces its address. */
    bool isAddressClaimed {};
    /** Its callers retransmit, and none of them has got an answer. */
    bool isStalled {};
};

/** @brief Conclusion from the evidence. Unknown changes nothing. */
enum class Liveness : unsigned char { Unknown, Alive, Dead };

[[nodiscard]] constexpr Liveness assess(const LivenessEvidence& evidence) noexcept
{
    if (evidence.connected == false)
        return Liveness::Dead;
    const bool reachesAnother = evidence.isAddressClaimed && (evidence.isSilent || evidence.hasLeft);
    if (reachesAnother && (evidence.isStalled || evidence.hasLeft))
        return Liveness::Dead;
    if (evidence.connected == true && !evidence.isAddressClaimed)
        return Liveness::Alive;
    return Liveness::Unknown;
}

} // namespace zinnia::routing
