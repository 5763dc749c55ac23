#pragma once

namespace zinnia::feed {

struct FeedRequest;
struct FeedReply;
struct RoutingState;
struct Gossip;
struct GossipAck;
struct StatePartsRequest;
struct StatePart;
class FeedClient;
class StateArchive;
class StateTransfer;

} // namespace zinnia::feed
