#pragma once

#include <cstddef>
#include <string_view>

namespace knapweedchute {

/// \brief Every event that an instance counts.
enum class counter
{
    queries_received,
    queries_answered,
    queries_partial,
    queries_refused,
    queries_without_route,
    queries_restarted,
    queries_shed,
    queries_waited,
    parts_sent,
    parts_hedged,
    parts_retried,
    parts_failed,
    parts_cancelled,
    answers_rejected,
    answers_evicted,
    targets_ejected,
    runs_sent,
    runs_refused,
    bad_requests,
    datagrams_sent,
    datagrams_received,
    datagrams_refused,
    datagram_bytes_sent,
    datagram_bytes_received,
    peer_fetches,
    platform_calls,
    platform_failures,
    configurations_adopted,
    configurations_refused,
    callers_left,
    log_lines_held_back,
    store_reads,
    store_watches,
    store_writes,
    store_calls_lost,
    store_calls_refused,
    store_answers_unusable,
    keys_refused,
    keys_unproved,
    usage_windows_sent,
    usage_windows_late,
    usage_runs_late,
    usage_rows_dropped,
    last ///< Number of counters, not a counter.
};

/// \brief Number of counters.
inline constexpr auto counter_count = static_cast<std::size_t>(counter::last);

/// \brief Name of a counter as shown in metrics and dumps.
[[nodiscard]] auto to_string(counter which) noexcept -> std::string_view;

} // namespace knapweedchute
