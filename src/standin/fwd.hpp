#pragma once

namespace zinnia::standin {

struct Probe;
struct ProbeAnswer;
struct Outgoing;
class Retransmitter;
class DuplicateFilter;
class Warmth;
class EmulatedUpstream;
class Registrar;
class LinkTable;
class EntryChoice;
class DelayLine;
class InterruptionClassifier;
class LoadAccount;
class ControlPort;

} // namespace zinnia::standin
