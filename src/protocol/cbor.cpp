#include "protocol/cbor.h"

namespace fawnwheel::protocol {

namespace {

constexpr std::size_t maxDepth = 32;

// The library parses containers recursively, so a body of nothing but machine capacity bytes could
// exhaust the stack. This bounds the nesting before the library sees it.
bool depthBounded(const std::string& bytes) {
    struct Open {
        std::uint64_t left;
        bool indefinite;
    };
    std::vector<Open> stack;
    std::size_t at = 0;
    const auto closeFilled = [&stack] {
        while (!stack.empty() && !stack.back().indefinite && --stack.back().left == 0)
            stack.pop_back();
    };
    while (at < bytes.size()) {
        const auto head = static_cast<unsigned char>(bytes[at++]);
        const unsigned major = head >> 5U;
        const unsigned minor = head & 31U;
        if (head == 0xff) {
            if (stack.empty() || !stack.back().indefinite) return false;
            stack.pop_back();
            closeFilled();
            continue;
        }
        std::uint64_t argument = minor;
        if (minor >= 24 && minor <= 27) {
            const std::size_t length = std::size_t{1} << (minor - 24U);
            if (bytes.size() - at < length) return false;
            argument = 0;
            for (std::size_t i = 0; i < length; ++i)
                argument = (argument << 8U) | static_cast<unsigned char>(bytes[at++]);
        } else if (minor > 27 && minor != 31) {
            return false;
        }
        const bool indefinite = minor == 31;
        if (major == 2 || major == 3) {
            if (indefinite) {
                stack.push_back({0, true});
            } else {
                if (argument > bytes.size() - at) return false;
                at += argument;
                closeFilled();
            }
        } else if (major == 4 || major == 5) {
            if (!indefinite && argument > bytes.size()) return false;
            const std::uint64_t members = major == 5 ? 2 * argument : argument;
            if (indefinite)
                stack.push_back({0, true});
            else if (members > 0)
                stack.push_back({members, false});
            else
                closeFilled();
        } else if (major != 6) {
            closeFilled();
        }
        if (stack.size() > maxDepth) return false;
    }
    return stack.empty();
}

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

std::optional<Json> decodeCbor(const std::string& bytes) {
    if (!depthBounded(bytes)) return std::nullopt;
    Json value = Json::from_cbor(bytes, true, false, Json::cbor_tag_handler_t::ignore);
    if (value.is_discarded()) return std::nullopt;
    return value;
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
    // Some encoders write whole numbers as signed or as floats.
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
