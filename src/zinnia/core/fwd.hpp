#pragma once

namespace zinnia {

class Clock;
class ManualClock;
struct Endpoint;
enum class RefusalReason : unsigned char;
enum class RetryReason : unsigned char;

} // namespace zinnia
