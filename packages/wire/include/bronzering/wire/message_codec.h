#pragma once

#include <bronzering/base/errors.h>
#include <bronzering/coordination/messages.h>

#include <optional>
#include <string>
#include <string_view>

namespace bronzering {

/// Encodes a message as a single FlatBuffers buffer. Thread-safe.
[[nodiscard]] auto EncodeMessage(const peer_message& aMessage) -> std::string;

/// Verifies the buffer and decodes the message. Returns empty when the message kind, or a value
/// that it depends on, is unknown: it comes from a newer minor version and the receiver ignores it.
/// Fails with malformed_input. Thread-safe.
[[nodiscard]] auto DecodeMessage(std::string_view aBytes) -> outcome<std::optional<peer_message>>;

} // namespace bronzering
