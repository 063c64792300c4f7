/// @file
/// CBOR encoding and decoding of message bodies, on nlohmann::json. No function here throws.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace fawnwheel::protocol {

using Json = nlohmann::json;

/// Encodes the value as CBOR.
std::string encodeCbor(const Json& value);
/// Decodes one CBOR value; empty if the bytes are malformed or nested too deeply.
std::optional<Json> decodeCbor(const std::string& bytes);

/// Field readers that return the fallback if the field is missing or has another type. They are for
/// messages from components that are trusted to send valid values.
std::string textOf(const Json& map, const char* field, const std::string& fallback = {});
double numberOf(const Json& map, const char* field, double fallback = 0.0);
std::uint64_t countOf(const Json& map, const char* field, std::uint64_t fallback = 0);
bool flagOf(const Json& map, const char* field, bool fallback = false);
const Json& listOf(const Json& map, const char* field);

}  // namespace fawnwheel::protocol
