#pragma once

namespace zinnia::flow {

struct BucketAssignment;
struct FlowRecord;
struct ForwardPacket;
struct ReplicateFlows;
struct ReplicateAck;
struct HandoverRequest;
struct HandoverRecords;
struct HandoverDone;
struct HandoverAck;
struct DeliverRequestPacket;
struct Settings;
struct Counters;
class FlowTable;
class UpstreamSet;
class RecordStream;
class FlowEngine;

} // namespace zinnia::flow
