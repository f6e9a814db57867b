#include "event_order.h"

#include <fmt/format.h>

namespace currantstack
{

auto eventField(std::optional<std::int64_t> id) -> LogFields
{
    return id ? LogFields(*id) : LogFields(nullptr);
}

auto logDisorder(EdgeContext &context, std::string_view component, EventPlace place, std::string_view outcome, LogFields fields) -> void
{
    context.counters.at(fmt::format("events_out_of_order{{place=\"{}\",outcome=\"{}\"}}", name(place), outcome)).add();
    fields["place"] = name(place);
    fields["outcome"] = outcome;
    context.log.write(component, "event_out_of_order", std::move(fields));
}

} // namespace currantstack
