/// @file
/// Validation of text received from outside.
#pragma once

#include <string_view>

namespace fawnwheel::protocol {

/// Whether the bytes are valid UTF-8 (RFC 3629): no overlong forms, surrogates or code points above
/// U+10FFFF.
[[nodiscard]] bool isValidUtf8(std::string_view text);

}  // namespace fawnwheel::protocol
