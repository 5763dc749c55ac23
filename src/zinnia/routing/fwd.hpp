#pragma once

namespace zinnia::routing {

struct FlowId;
struct FlowPacket;
struct Upstream;
class UpstreamDirectory;
class FlowRouter;
class EgressQueue;
class LinkPacer;
class LoadView;
class SpillPolicy;
class UploadAdmission;
class UpstreamChooser;

} // namespace zinnia::routing
