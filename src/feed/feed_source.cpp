#include <knapweedchute/core/enum_names.hpp>
#include <knapweedchute/feed/feed_source.hpp>

namespace knapweedchute {
namespace {

constexpr auto names = enum_names<feed_failure, 8>{{
    {feed_failure::no_answer, "no_answer"},
    {feed_failure::refused, "refused"},
    {feed_failure::too_large, "too_large"},
    {feed_failure::cut_short, "cut_short"},
    {feed_failure::unreadable, "unreadable"},
    {feed_failure::too_old, "too_old"},
    {feed_failure::no_advance, "no_advance"},
    {feed_failure::older_era, "older_era"},
}};
static_assert(is_complete(names, feed_failure::older_era));

} // namespace

auto to_string(feed_failure failure) noexcept -> std::string_view
{
    return name_of(names, failure);
}

auto failure_of(const exchange_result& result) noexcept -> feed_failure
{
    if (result.status == exchange_status::answered) {
        return feed_failure::refused;
    }
    if (result.oversized) {
        return feed_failure::too_large;
    }
    return result.answer_begun ? feed_failure::cut_short : feed_failure::no_answer;
}

} // namespace knapweedchute
