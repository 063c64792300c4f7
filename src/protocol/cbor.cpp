#include "protocol/cbor.h"

#include "protocol/cbor_validator.h"

namespace fawnwheel::protocol {

namespace {

const Json* member(const Json& map, const char* field) {
    if (!map.is_object()) return nullptr;
    const auto found = map.find(field);
    return found == map.end() ? nullptr : &*found;
}

}  // namespace

std::string encodeCbor(const Json& value) {
    std::string out;
    Json::to_cbor(value, out);
    return out;
}

std::optional<Json> decodeCbor(const std::string& bytes, TextEncoding encoding) {
    if (!CborValidator(bytes, encoding).run()) return std::nullopt;
    Json value = Json::from_cbor(bytes, true, false, Json::cbor_tag_handler_t::ignore);
    if (value.is_discarded()) return std::nullopt;
    return value;
}

std::size_t jsonSize(const Json& value) {
    // By default, `dump` throws on text that is not UTF-8.
    return value.dump(-1, ' ', false, Json::error_handler_t::replace).size();
}

std::string textOf(const Json& map, const char* field, const std::string& fallback) {
    const Json* found = member(map, field);
    return found != nullptr && found->is_string() ? found->get<std::string>() : fallback;
}

double numberOf(const Json& map, const char* field, double fallback) {
    const Json* found = member(map, field);
    return found != nullptr && found->is_number() ? found->get<double>() : fallback;
}

std::uint64_t countOf(const Json& map, const char* field, std::uint64_t fallback) {
    const Json* found = member(map, field);
    if (found == nullptr) return fallback;
    if (found->is_number_unsigned()) return found->get<std::uint64_t>();
    // Some encoders write whole numbers as signed integers or as floats.
    if (found->is_number_integer() && found->get<std::int64_t>() >= 0)
        return static_cast<std::uint64_t>(found->get<std::int64_t>());
    if (found->is_number_float() && found->get<double>() >= 0 && found->get<double>() < 9e15)
        return static_cast<std::uint64_t>(found->get<double>());
    return fallback;
}

bool flagOf(const Json& map, const char* field, bool fallback) {
    const Json* found = member(map, field);
    return found != nullptr && found->is_boolean() ? found->get<bool>() : fallback;
}

const Json& listOf(const Json& map, const char* field) {
    static const Json none = Json::array();
    const Json* found = member(map, field);
    return found != nullptr && found->is_array() ? *found : none;
}

}  // namespace fawnwheel::protocol
