#include "protocol/cbor_validator.h"

#include <string_view>

#include "protocol/utf8.h"

namespace fawnwheel::protocol {

namespace {

constexpr std::size_t maxDepth = 32;
constexpr unsigned char breakByte = 0xff;

// Major types of CBOR items.
constexpr unsigned byteString = 2;
constexpr unsigned textString = 3;
constexpr unsigned arrayType = 4;
constexpr unsigned mapType = 5;
constexpr unsigned tag = 6;

}  // namespace

bool CborValidator::run() {
    while (position_ < bytes_.size())
        if (!readItem() || open_.size() > maxDepth) return false;
    return open_.empty();
}

bool CborValidator::readItem() {
    const auto head = static_cast<unsigned char>(bytes_[position_++]);
    if (head == breakByte) return closeIndefinite();
    const unsigned majorType = head >> 5U;
    const unsigned additionalInfo = head & 31U;
    std::uint64_t argument = additionalInfo;
    if (!readArgument(additionalInfo, argument)) return false;
    const bool indefinite = additionalInfo == 31;
    switch (majorType) {
        case byteString:
        case textString:
            return readString(majorType, argument, indefinite);
        case arrayType:
            return openContainer(argument, argument, indefinite);
        case mapType:
            return openContainer(argument, 2 * argument, indefinite);
        case tag:  // the tagged value follows
            return true;
        default:
            closeFilled();
            return true;
    }
}

bool CborValidator::readArgument(unsigned additionalInfo, std::uint64_t& argument) {
    if (additionalInfo < 24 || additionalInfo == 31) return true;
    if (additionalInfo > 27) return false;
    const std::size_t length = std::size_t{1} << (additionalInfo - 24U);
    if (bytes_.size() - position_ < length) return false;
    argument = 0;
    for (std::size_t i = 0; i < length; ++i)
        argument = (argument << 8U) | static_cast<unsigned char>(bytes_[position_++]);
    return true;
}

bool CborValidator::readString(unsigned majorType, std::uint64_t length, bool indefinite) {
    // The chunks of an indefinite string follow as strings of their own. Each chunk of a text has
    // to be valid by itself (RFC 8949, section 3.2.3).
    if (indefinite) {
        open_.push_back({0, true});
        return true;
    }
    if (length > bytes_.size() - position_) return false;
    const std::string_view content(bytes_.data() + position_, length);
    if (majorType == textString && encoding_ == TextEncoding::utf8 && !isValidUtf8(content))
        return false;
    position_ += length;
    closeFilled();
    return true;
}

bool CborValidator::openContainer(std::uint64_t length, std::uint64_t members, bool indefinite) {
    if (!indefinite && length > bytes_.size()) return false;
    if (indefinite)
        open_.push_back({0, true});
    else if (members > 0)
        open_.push_back({members, false});
    else
        closeFilled();
    return true;
}

bool CborValidator::closeIndefinite() {
    if (open_.empty() || !open_.back().indefinite) return false;
    open_.pop_back();
    closeFilled();
    return true;
}

void CborValidator::closeFilled() {
    while (!open_.empty() && !open_.back().indefinite && --open_.back().remaining == 0)
        open_.pop_back();
}

}  // namespace fawnwheel::protocol
