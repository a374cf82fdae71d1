#pragma once

#include <bronzering/base/errors.h>
#include <bronzering/base/time.h>
#include <bronzering/config/fleet_config.h>
#include <bronzering/coordination/entry_node.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzering {

/// Whether a header field is hop-by-hop and must not be forwarded. Names are compared
/// case-insensitively. Thread-safe.
[[nodiscard]] auto IsHopByHop(std::string_view aName) -> bool;

/// Whether the comma-separated list contains the token, ignoring case. Thread-safe.
[[nodiscard]] auto ListContains(std::string_view aList, std::string_view aToken) -> bool;

/// Whether a field has no characters that could inject other fields into a message head.
/// Thread-safe.
[[nodiscard]] auto IsSafeField(const header_field& aField) -> bool;

/// SHA-256 in lower-case hexadecimal digits. Thread-safe.
[[nodiscard]] auto Sha256Hex(std::string_view aText) -> std::string;

/// Parses a Request-Timeout value: positive seconds, optionally with decimals. Thread-safe.
[[nodiscard]] auto ParseTimeout(std::string_view aText) -> outcome<duration>;

/// Removes the optional double quotes around an Idempotency-Key value. Thread-safe.
[[nodiscard]] auto Unquote(std::string_view aText) -> std::string_view;

/// Returns the problem document of a refusal (RFC 9457). Thread-safe.
[[nodiscard]] auto ProblemDocument(const refuse_request& aRefusal) -> std::string;

/// Returns the response body of GET /v1/models for the caller with this token digest; empty when
/// the token is unknown. Thread-safe.
[[nodiscard]] auto ModelList(const fleet_config& aConfig, std::string_view aTokenDigest)
  -> std::optional<std::string>;

} // namespace bronzering
