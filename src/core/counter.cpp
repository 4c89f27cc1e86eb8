#include <knapweedchute/core/counter.hpp>

#include <array>

namespace knapweedchute {
namespace {

constexpr auto names = std::array<std::string_view, counter_count>{"queries_received",
                                                                   "queries_answered",
                                                                   "queries_partial",
                                                                   "queries_refused",
                                                                   "queries_restarted",
                                                                   "queries_shed",
                                                                   "parts_sent",
                                                                   "parts_hedged",
                                                                   "parts_retried",
                                                                   "parts_failed",
                                                                   "parts_cancelled",
                                                                   "answers_rejected",
                                                                   "targets_ejected",
                                                                   "runs_sent",
                                                                   "runs_refused",
                                                                   "bad_requests",
                                                                   "datagrams_sent",
                                                                   "datagrams_received",
                                                                   "datagrams_refused",
                                                                   "datagram_bytes_sent",
                                                                   "datagram_bytes_received",
                                                                   "peer_fetches",
                                                                   "platform_calls",
                                                                   "platform_failures",
                                                                   "configurations_adopted",
                                                                   "configurations_refused",
                                                                   "callers_left",
                                                                   "log_lines_held_back",
                                                                   "store_reads",
                                                                   "store_watches",
                                                                   "store_writes",
                                                                   "store_calls_lost"};

} // namespace

auto to_string(counter which) noexcept -> std::string_view
{
    return names.at(static_cast<std::size_t>(which));
}

} // namespace knapweedchute
