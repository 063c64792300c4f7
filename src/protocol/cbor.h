/// @file
/// CBOR bodies, on nlohmann::json; nothing here throws.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace fawnwheel::protocol {

using Json = nlohmann::json;

/// CBOR bytes of the value.
std::string encodeCbor(const Json& value);
/// Empty on anything that is not one well-formed, moderately nested CBOR value.
std::optional<Json> decodeCbor(const std::string& bytes);

/// Readers that fall back instead of failing: for messages from components we trust to be sane.
std::string textOf(const Json& map, const char* field, const std::string& fallback = {});
double numberOf(const Json& map, const char* field, double fallback = 0.0);
std::uint64_t countOf(const Json& map, const char* field, std::uint64_t fallback = 0);
bool flagOf(const Json& map, const char* field, bool fallback = false);
const Json& listOf(const Json& map, const char* field);

}  // namespace fawnwheel::protocol
