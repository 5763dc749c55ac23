#pragma once

#include "zinnia/flow/messages.hpp"
#include "zinnia/membership/heartbeat.hpp"
#include "zinnia/request/messages.hpp"
#include "zinnia/upstream/messages.hpp"

#include <variant>

namespace zinnia::entry {

/** @brief All messages that entry instances exchange as datagrams. */
using PeerMessage = std::variant<membership::Heartbeat, flow::ForwardPacket, flow::ReplicateFlows, flow::ReplicateAck,
    flow::HandoverRequest, flow::HandoverRecords, flow::HandoverDone, flow::HandoverAck, request::RecordRequest,
    request::RecordRequestAck, request::DispatchRequest, request::RequestResult, request::CancelRequest,
    upstream::UpstreamUpdate, request::ObservationRecord, request::ObservationRecordAck>;

} // namespace zinnia::entry
