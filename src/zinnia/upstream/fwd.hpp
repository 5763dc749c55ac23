#pragma once

namespace zinnia::upstream {

struct UpstreamInfo;
struct UpstreamRecord;
struct UpstreamUpdate;
struct ColdStartSettings;
struct RegistrySettings;
class ColdStartLimiter;
class ColdDetector;
class UpstreamRegistry;
enum class UpstreamState : unsigned char;
enum class HealthSignal : unsigned char;

} // namespace zinnia::upstream
