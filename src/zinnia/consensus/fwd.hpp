#pragma once

namespace zinnia::consensus {

class Replica;
class Log;
struct ReplicaId;
struct Membership;
struct LogEntry;
struct HardState;
struct Snapshot;
struct DurableState;
struct Settings;
struct LossTolerance;
struct Status;
enum class Role : unsigned char;
enum class RefusalCause : unsigned char;
enum class CreateError : unsigned char;

} // namespace zinnia::consensus
