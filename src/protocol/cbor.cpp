#include "protocol/cbor.h"

namespace fawnwheel::protocol {

namespace {

constexpr std::size_t maxDepth = 32;

constexpr unsigned char breakByte = 0xff;

// Checks the nesting of one CBOR value before the library parses it. The library parses containers
// recursively, so a body that consists only of container heads could exhaust the stack.
class NestingCheck {
  public:
    explicit NestingCheck(const std::string& bytes) : bytes_(bytes) {}

    // True if the bytes are complete CBOR and nested no deeper than `maxDepth`.
    bool run() {
        while (position_ < bytes_.size())
            if (!readItem() || open_.size() > maxDepth) return false;
        return open_.empty();
    }

  private:
    struct Container {
        std::uint64_t remaining;
        bool indefinite;
    };

    bool readItem() {
        const auto head = static_cast<unsigned char>(bytes_[position_++]);
        if (head == breakByte) return closeIndefinite();
        const unsigned majorType = head >> 5U;
        const unsigned additionalInfo = head & 31U;
        std::uint64_t argument = additionalInfo;
        if (!readArgument(additionalInfo, argument)) return false;
        const bool indefinite = additionalInfo == 31;
        switch (majorType) {
            case 2:
            case 3:
                return readString(argument, indefinite);
            case 4:
                return openContainer(argument, argument, indefinite);
            case 5:
                return openContainer(argument, 2 * argument, indefinite);
            case 6:  // a tag: the tagged value follows
                return true;
            default:
                closeFilled();
                return true;
        }
    }

    bool readArgument(unsigned additionalInfo, std::uint64_t& argument) {
        if (additionalInfo < 24 || additionalInfo == 31) return true;
        if (additionalInfo > 27) return false;
        const std::size_t length = std::size_t{1} << (additionalInfo - 24U);
        if (bytes_.size() - position_ < length) return false;
        argument = 0;
        for (std::size_t i = 0; i < length; ++i)
            argument = (argument << 8U) | static_cast<unsigned char>(bytes_[position_++]);
        return true;
    }

    bool readString(std::uint64_t length, bool indefinite) {
        if (indefinite) {
            open_.push_back({0, true});
            return true;
        }
        if (length > bytes_.size() - position_) return false;
        position_ += length;
        closeFilled();
        return true;
    }

    bool openContainer(std::uint64_t length, std::uint64_t members, bool indefinite) {
        if (!indefinite && length > bytes_.size()) return false;
        if (indefinite)
            open_.push_back({0, true});
        else if (members > 0)
            open_.push_back({members, false});
        else
            closeFilled();
        return true;
    }

    bool closeIndefinite() {
        if (open_.empty() || !open_.back().indefinite) return false;
        open_.pop_back();
        closeFilled();
        return true;
    }

    // Counts one item as read and closes the containers that this item completes.
    void closeFilled() {
        while (!open_.empty() && !open_.back().indefinite && --open_.back().remaining == 0)
            open_.pop_back();
    }

    const std::string& bytes_;
    std::size_t position_ = 0;
    std::vector<Container> open_;
};

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
    if (!NestingCheck(bytes).run()) return std::nullopt;
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
