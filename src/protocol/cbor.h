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

/// The bytes that text strings of a CBOR value may consist of.
enum class TextEncoding {
    utf8,  ///< valid UTF-8, as RFC 8949, section 3.1, requires
    any,   ///< any bytes; for records, which versions that did not check may have written
};
/// Decodes one CBOR value; empty if the bytes are malformed or nested too deeply, or if a text
/// string has another encoding.
std::optional<Json> decodeCbor(const std::string& bytes,
                               TextEncoding encoding = TextEncoding::utf8);

/// Size of the value as compact JSON, in bytes. This is the form in which the state service
/// measures its limits. A byte that is not valid UTF-8 counts as U+FFFD, three bytes.
[[nodiscard]] std::size_t jsonSize(const Json& value);

/// Field readers that return the fallback if the field is missing or has another type. They are for
/// messages from components that are trusted to send valid values.
std::string textOf(const Json& map, const char* field, const std::string& fallback = {});
double numberOf(const Json& map, const char* field, double fallback = 0.0);
std::uint64_t countOf(const Json& map, const char* field, std::uint64_t fallback = 0);
bool flagOf(const Json& map, const char* field, bool fallback = false);
const Json& listOf(const Json& map, const char* field);

}  // namespace fawnwheel::protocol
