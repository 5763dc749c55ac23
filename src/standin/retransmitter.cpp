#include "standin/retransmitter.hpp"

#include "zinnia/wire/coap_codec.hpp"

namespace zinnia::standin {
namespace {

    // RFC 7252, section 4.8.
    constexpr Microseconds ackTimeout { 2'000'000 };
    constexpr double ackRandomFactor = 1.5;
    constexpr unsigned maxRetransmit = 4;

} // namespace

Outgoing toDatagram(const Endpoint& destination, const CoapMessage& message)
{
    auto bytes = wire::encodeCoap(message);
    return { destination, bytes.has_value() ? std::move(bytes.value()) : Bytes {} };
}

Retransmitter::Retransmitter(std::uint64_t seed, Ageing ageing)
    : random { seed }
    , ageing { ageing }
{
}

Outgoing Retransmitter::start(const Endpoint& peer, CoapMessage message, TimePoint now)
{
    std::uniform_real_distribution<double> factor { 1.0, ackRandomFactor };
    Pending entry;
    entry.timeout
        = Microseconds { static_cast<std::int64_t>(static_cast<double>(ackTimeout.count()) * factor(this->random)) };
    entry.firstSent = now;
    entry.due = now + entry.timeout;
    entry.message = std::move(message);
    const auto key = std::pair { peer, entry.message.messageId };
    return this->encoded(peer, this->pending.insert_or_assign(key, std::move(entry)).first->second, now);
}

bool Retransmitter::acknowledge(const Endpoint& peer, std::uint16_t messageId)
{
    return this->pending.erase({ peer, messageId }) != 0;
}

Retransmitter::Due Retransmitter::tick(TimePoint now)
{
    Due result;
    for (auto at = this->pending.begin(); at != this->pending.end();) {
        Pending& entry = at->second;
        if (entry.due > now) {
            ++at;
            continue;
        }
        if (entry.copies > maxRetransmit) {
            result.expired.push_back({ at->first.first, at->first.second, entry.message.token });
            at = this->pending.erase(at);
            continue;
        }
        ++entry.copies;
        ++this->retransmissionCount;
        entry.timeout *= 2;
        entry.due = now + entry.timeout;
        result.retransmissions.push_back(this->encoded(at->first.first, entry, now));
        ++at;
    }
    return result;
}

Outgoing Retransmitter::encoded(const Endpoint& peer, const Pending& entry, TimePoint now) const
{
    if (this->ageing == Ageing::Without)
        return toDatagram(peer, entry.message);
    CoapMessage message = entry.message;
    message.addUint(coap::age, static_cast<std::uint64_t>((now - entry.firstSent) / Milliseconds { 1 }));
    return toDatagram(peer, message);
}

} // namespace zinnia::standin
