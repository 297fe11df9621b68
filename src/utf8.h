/// @file
/// Validation of UTF-8 text. Pure.
#pragma once

#include <string_view>

namespace fireflycrank {

/// Whether bytes are well-formed UTF-8 as RFC 3629 defines it: no overlong forms, no surrogates,
/// nothing above U+10FFFF.
bool is_utf8(std::string_view bytes);

} // namespace fireflycrank
