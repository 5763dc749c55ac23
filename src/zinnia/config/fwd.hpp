#pragma once

namespace zinnia::config {

struct Configuration;
struct Service;
struct RequestKind;
struct Zone;
struct Entry;
struct Control;
struct Rules;
struct ConfigError;
struct CommandRequest;
struct ConfigState;
class ConfigStateMachine;

} // namespace zinnia::config
