#include "event_order.h"

namespace currantstack
{

auto eventField(std::optional<std::int64_t> id) -> LogFields
{
    return id ? LogFields(*id) : LogFields(nullptr);
}

} // namespace currantstack
