#pragma once

namespace zinnia::feed {

struct FeedRequest;
struct FeedReply;
struct RoutingState;
struct Gossip;
struct GossipAck;
class FeedClient;

} // namespace zinnia::feed
