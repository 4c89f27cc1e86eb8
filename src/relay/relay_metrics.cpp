#include <knapweedchute/relay/relay_metrics.hpp>

#include <algorithm>

namespace knapweedchute {
namespace {

/// Routes with a label of their own; all others share one.
constexpr auto max_route_labels = std::size_t{24};
constexpr auto status_not_run = 503U;
constexpr auto status_client_error = 400U;
constexpr auto status_server_error = 500U;

auto kind_of(const route& matched_route) -> std::string
{
    if (matched_route.is_query()) {
        return "query";
    }
    return matched_route.idempotent ? "repeatable" : "at_most_once";
}

auto outcome_of(const impl::relay_call& call, unsigned status) -> std::string
{
    if (status == status_not_run) {
        return "refused";
    }
    if (status >= status_server_error) {
        return "failed";
    }
    if (status >= status_client_error) {
        return "target_refused";
    }
    const auto complete = std::all_of(call.parts.begin(), call.parts.end(),
                                      [](const auto& part) { return part.answer.has_value(); });
    return complete || !call.matched_route->is_query() ? "whole" : "partial";
}

} // namespace

auto relay_metrics::on_request(const impl::relay_call& call, unsigned status, time_point now)
    -> void
{
    const auto labels = "route=\"" + label_of(call.matched_route->name) + "\",kind=\"" +
                        kind_of(*call.matched_route) + "\"";
    requests_[{labels, outcome_of(call, status)}].add(now - call.started);
}

auto relay_metrics::on_exchange(exchange_status status, duration elapsed) -> void
{
    exchanges_[std::string{to_string(status)}].add(elapsed);
}

auto relay_metrics::label_of(const std::string& route) -> std::string
{
    const auto found = route_labels_.find(route);
    if (found != route_labels_.end()) {
        return found->second;
    }
    if (route_labels_.size() >= max_route_labels) {
        return "other";
    }
    auto label = route;
    std::erase_if(label,
                  [](char letter) { return letter == '"' || letter == '\\' || letter == '\n'; });
    return route_labels_[route] = label;
}

auto relay_metrics::prometheus_text() const -> std::string
{
    auto text = std::string{"# TYPE knapweedchute_request_seconds histogram\n"};
    for (const auto& [labels, times] : requests_) {
        text += times.prometheus_text("knapweedchute_request_seconds",
                                      labels.first + ",outcome=\"" + labels.second + "\"");
    }
    text += "# TYPE knapweedchute_exchange_seconds histogram\n";
    for (const auto& [status, times] : exchanges_) {
        text += times.prometheus_text("knapweedchute_exchange_seconds", "end=\"" + status + "\"");
    }
    text += "# TYPE knapweedchute_wait_seconds histogram\n";
    text += waited_.prometheus_text("knapweedchute_wait_seconds", "");
    text += "# TYPE knapweedchute_zone_parts_total counter\n";
    text += "knapweedchute_zone_parts_total{zone=\"own\"} " + std::to_string(parts_to_own_zone_) +
            "\nknapweedchute_zone_parts_total{zone=\"other\"} " +
            std::to_string(parts_to_other_zones_) + "\n";
    return text;
}

} // namespace knapweedchute
