#include "currantstack/build_info.h"

namespace currantstack
{

auto buildName() -> std::string_view
{
    return CURRANTSTACK_BUILD;
}

} // namespace currantstack
