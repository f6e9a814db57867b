// The version and the commit that this program was built from.
#pragma once

#include <string_view>

namespace currantstack
{

/// Returns the version, and the commit if the build knew it, such as "0.1.0-4ab6637".
auto buildName() -> std::string_view;

} // namespace currantstack
