#pragma once

namespace zinnia::routing {

struct FlowPacket;
struct Upstream;
class UpstreamDirectory;
class FlowRouter;

} // namespace zinnia::routing
