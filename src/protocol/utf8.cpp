#include "protocol/utf8.h"

#include <boost/locale/utf.hpp>

namespace fawnwheel::protocol {

bool isValidUtf8(std::string_view text) {
    namespace utf = boost::locale::utf;
    const char* at = text.data();
    const char* const end = at + text.size();
    while (at != end)
        if (!utf::is_valid_codepoint(utf::utf_traits<char>::decode(at, end))) return false;
    return true;
}

}  // namespace fawnwheel::protocol
