#include <knapweedchute/core/counter.hpp>
#include <knapweedchute/core/enum_names.hpp>

namespace knapweedchute {
namespace {

constexpr auto names = enum_names<counter, counter_count>{{
    {counter::queries_received, "queries_received"},
    {counter::queries_answered, "queries_answered"},
    {counter::queries_partial, "queries_partial"},
    {counter::queries_refused, "queries_refused"},
    {counter::queries_without_route, "queries_without_route"},
    {counter::queries_restarted, "queries_restarted"},
    {counter::queries_shed, "queries_shed"},
    {counter::queries_waited, "queries_waited"},
    {counter::parts_sent, "parts_sent"},
    {counter::parts_hedged, "parts_hedged"},
    {counter::parts_retried, "parts_retried"},
    {counter::parts_failed, "parts_failed"},
    {counter::parts_cancelled, "parts_cancelled"},
    {counter::answers_rejected, "answers_rejected"},
    {counter::answers_evicted, "answers_evicted"},
    {counter::targets_ejected, "targets_ejected"},
    {counter::runs_sent, "runs_sent"},
    {counter::runs_refused, "runs_refused"},
    {counter::bad_requests, "bad_requests"},
    {counter::datagrams_sent, "datagrams_sent"},
    {counter::datagrams_received, "datagrams_received"},
    {counter::datagrams_refused, "datagrams_refused"},
    {counter::datagram_bytes_sent, "datagram_bytes_sent"},
    {counter::datagram_bytes_received, "datagram_bytes_received"},
    {counter::peer_fetches, "peer_fetches"},
    {counter::platform_calls, "platform_calls"},
    {counter::platform_failures, "platform_failures"},
    {counter::configurations_adopted, "configurations_adopted"},
    {counter::configurations_refused, "configurations_refused"},
    {counter::callers_left, "callers_left"},
    {counter::log_lines_held_back, "log_lines_held_back"},
    {counter::store_reads, "store_reads"},
    {counter::store_watches, "store_watches"},
    {counter::store_writes, "store_writes"},
    {counter::store_calls_lost, "store_calls_lost"},
    {counter::store_calls_refused, "store_calls_refused"},
    {counter::store_answers_unusable, "store_answers_unusable"},
    {counter::keys_refused, "keys_refused"},
    {counter::keys_unproved, "keys_unproved"},
    {counter::usage_windows_sent, "usage_windows_sent"},
    {counter::usage_windows_late, "usage_windows_late"},
    {counter::usage_runs_late, "usage_runs_late"},
    {counter::usage_rows_dropped, "usage_rows_dropped"},
}};
static_assert(is_complete(names, counter::usage_rows_dropped));

} // namespace

auto to_string(counter which) noexcept -> std::string_view
{
    return name_of(names, which);
}

} // namespace knapweedchute
