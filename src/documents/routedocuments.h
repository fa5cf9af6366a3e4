//! Encodings of an operator's question where a request would go, and of the answer.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/findings.h"
#include "gateway/explanation.h"

namespace gypsumcroft {

//! Question as a JSON object: "host" and "path", and where they matter "key" or "organisation",
//! "promptTokens", "outputTokens", "lengthHint", "timeoutMs" and "promptParts" (a list of ids).
//! Returns nullopt if there is any finding.
std::optional<RouteQuestion> decodeRouteQuestion(std::string_view text, Findings &findings);
std::string encodeRouteQuestion(const RouteQuestion &question);

//! Answer as JSON. Times are in ms, work in tokens. It names no key.
std::string encodeRouteExplanation(const RouteExplanation &explanation);
//! The same as lines of text.
std::string formatRouteExplanation(const RouteExplanation &explanation);

} // namespace gypsumcroft
