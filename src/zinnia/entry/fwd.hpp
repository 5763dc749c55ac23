#pragma once

namespace zinnia::entry {

class CoapCodec;
class EntryNode;
struct NodeSettings;

} // namespace zinnia::entry
