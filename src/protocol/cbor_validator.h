/// @file
/// Validation of CBOR bytes before the JSON library parses them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "protocol/cbor.h"

namespace fawnwheel::protocol {

/// Checks one CBOR value for complete items, its nesting depth and the encoding of its text. The
/// library parses containers recursively, so a body that consists only of container heads could
/// exhaust the stack, and it does not check text.
class CborValidator {
  public:
    /// `bytes` must outlive the validator.
    CborValidator(const std::string& bytes, TextEncoding encoding)
        : bytes_(bytes), encoding_(encoding) {}

    /// True if the bytes are complete CBOR within the limits.
    [[nodiscard]] bool run();

  private:
    struct Container {
        std::uint64_t remaining;
        bool indefinite;
    };

    bool readItem();
    bool readArgument(unsigned additionalInfo, std::uint64_t& argument);
    bool readString(unsigned majorType, std::uint64_t length, bool indefinite);
    bool openContainer(std::uint64_t length, std::uint64_t members, bool indefinite);
    bool closeIndefinite();
    /// Counts one item as read and closes the containers that this item completes.
    void closeFilled();

    const std::string& bytes_;
    TextEncoding encoding_;
    std::size_t position_ = 0;
    std::vector<Container> open_;
};

}  // namespace fawnwheel::protocol
