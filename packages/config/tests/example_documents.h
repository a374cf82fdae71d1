#pragma once

#include <bronzering/config.h>

#include <string>

namespace bronzering {

/// Returns the text of docs/examples/aName.
[[nodiscard]] auto ReadExample(const std::string& aName) -> std::string;

/// Replaces the only occurrence of aFrom by aTo. Fails the test unless there is exactly one.
[[nodiscard]] auto Replace(const std::string& aText,
                           const std::string& aFrom,
                           const std::string& aTo) -> std::string;

/// Returns a small valid document with the sections base, model and shop. model and shop refer to
/// base, and shop refers to model.
[[nodiscard]] auto SmallDocument() -> std::string;

/// Formats all problems, one per line.
[[nodiscard]] auto Join(const std::vector<config_problem>& aProblems) -> std::string;

} // namespace bronzering
