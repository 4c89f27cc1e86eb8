#include <knapweedchute/relay/relay_metrics.hpp>

#include <algorithm>

namespace knapweedchute {
namespace {

/// Routes that have a label of their own; all others share one.
constexpr auto most_routes = std::size_t{24};
constexpr auto status_not_run = 503U;
constexpr auto status_client_error = 400U;
constexpr auto status_server_error = 500U;

auto kind_of(const route& way) -> std::string
{
    if (way.is_query()) {
        return "query";
    }
    return way.idempotent ? "repeatable" : "at_most_once";
}

auto outcome_of(const impl::relay_call& of, unsigned status) -> std::string
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
    const auto whole = std::all_of(of.parts.begin(), of.parts.end(),
                                   [](const auto& one) { return one.answer.has_value(); });
    return whole || !of.way->is_query() ? "whole" : "partial";
}

} // namespace

auto relay_metrics::on_request(const impl::relay_call& of, unsigned status, time_point now) -> void
{
    const auto labels =
        "route=\"" + label_of(of.way->name) + "\",kind=\"" + kind_of(*of.way) + "\"";
    requests_[{labels, outcome_of(of, status)}].add(now - of.started);
}

auto relay_metrics::on_exchange(exchange_end end, duration elapsed) -> void
{
    exchanges_[std::string{to_string(end)}].add(elapsed);
}

auto relay_metrics::label_of(const std::string& route) -> std::string
{
    const auto known = route_labels_.find(route);
    if (known != route_labels_.end()) {
        return known->second;
    }
    if (route_labels_.size() >= most_routes) {
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
    for (const auto& [end, times] : exchanges_) {
        text += times.prometheus_text("knapweedchute_exchange_seconds", "end=\"" + end + "\"");
    }
    text += "# TYPE knapweedchute_wait_seconds histogram\n";
    return text + waited_.prometheus_text("knapweedchute_wait_seconds", "");
}

} // namespace knapweedchute
