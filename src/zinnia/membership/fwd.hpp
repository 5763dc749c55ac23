#pragma once

namespace zinnia::membership {

struct Member;
struct View;
struct Heartbeat;
struct Peer;
struct Settings;
class Membership;
enum class MemberState : unsigned char;

} // namespace zinnia::membership
