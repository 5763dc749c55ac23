#include "zinnia/wire/peer_codec.hpp"

#include <array>
#include <utility>

namespace zinnia::wire {

namespace {

    /** Kinds in the order of the alternatives of `entry::PeerMessage`. */
    constexpr std::array kinds { MessageKind::Heartbeat, MessageKind::ForwardPacket, MessageKind::ReplicateFlows,
        MessageKind::ReplicateAck, MessageKind::HandoverRequest, MessageKind::HandoverRecords,
        MessageKind::HandoverDone, MessageKind::HandoverAck, MessageKind::RecordRequest, MessageKind::RecordRequestAck,
        MessageKind::DispatchRequest, MessageKind::RequestResult, MessageKind::CancelRequest,
        MessageKind::UpstreamUpdate, MessageKind::ObservationRecord, MessageKind::ObservationRecordAck };
    static_assert(kinds.size() == std::variant_size_v<entry::PeerMessage>);

    using Decoded = Result<entry::PeerMessage, RefusalReason>;
    using Decoder = Decoded (*)(BytesView);

    template <std::size_t Index> Decoded decodeAlternative(BytesView body)
    {
        auto decoded = decode<std::variant_alternative_t<Index, entry::PeerMessage>>(body);
        if (!decoded)
            return RefusalReason::Malformed;
        return entry::PeerMessage { std::in_place_index<Index>, std::move(decoded.value()) };
    }

    template <std::size_t... Indices>
    constexpr std::array<Decoder, sizeof...(Indices)> makeDecoders(std::index_sequence<Indices...>)
    {
        return { &decodeAlternative<Indices>... };
    }

    constexpr auto decoders = makeDecoders(std::make_index_sequence<kinds.size()> {});

} // namespace

MessageKind kindOf(const entry::PeerMessage& message) noexcept { return kinds[message.index()]; }

void encodePeerBody(Bytes& target, const entry::PeerMessage& message)
{
    std::visit([&target](const auto& alternative) { encodeTo(target, alternative); }, message);
}

Result<entry::PeerMessage, RefusalReason> decodePeerBody(MessageKind kind, BytesView body)
{
    for (std::size_t index = 0; index < kinds.size(); ++index) {
        if (kinds[index] == kind)
            return decoders[index](body);
    }
    return RefusalReason::UnknownKind;
}

} // namespace zinnia::wire
