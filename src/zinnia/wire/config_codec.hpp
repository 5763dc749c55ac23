#pragma once

#include "zinnia/config/config_state.hpp"
#include "zinnia/core/bytes.hpp"
#include "zinnia/wire/archive.hpp"

namespace zinnia::wire {

/** @return The encoding of a command as content of a log entry. */
[[nodiscard]] Bytes encodeCommand(const config::CommandRequest& request);
[[nodiscard]] Result<config::CommandRequest, DecodeError> decodeCommand(BytesView bytes);

/** @return Hash of base version and command, which detects a resent command with different content. */
[[nodiscard]] std::uint64_t commandDigest(const config::CommandRequest& request);

[[nodiscard]] Bytes encodeState(const config::ConfigState& state);
[[nodiscard]] Result<config::ConfigState, DecodeError> decodeState(BytesView bytes);

[[nodiscard]] Bytes encodeConfiguration(const config::Configuration& configuration);
[[nodiscard]] Result<config::Configuration, DecodeError> decodeConfiguration(BytesView bytes);

} // namespace zinnia::wire
