// The member functions of entry_instance that serve readiness, addresses, metrics and state.
#include <knapweedchute/core/boot_time.hpp>
#include <knapweedchute/core/gauge_text.hpp>
#include <knapweedchute/core/log.hpp>
#include <knapweedchute/entry/entry_instance.hpp>
#include <knapweedchute/relay/refusal_answer.hpp>

#include <nlohmann/json.hpp>
#include <sys/resource.h>

#include <utility>

namespace knapweedchute {
namespace {

constexpr auto status_ok = 200U;
/// Fixed, because an instance that is not ready cannot predict when it will be. The delay is an
/// open question to the users.
constexpr auto retry_after = milliseconds{250};

} // namespace

auto entry_instance::answer_readiness() const -> relayed_answer
{
    const auto ready = view_.ready() && !stopping_;
    return ready ? error_answer(status_ok, "")
                 : not_run_answer(stopping_ ? "stopping" : "no configuration yet", retry_after);
}

auto entry_instance::answer_addresses() -> relayed_answer
{
    const auto chosen = address_selector_.select(peers_.members(), {}, {});
    if (chosen.empty()) {
        return not_run_answer("no instance is ready", retry_after);
    }
    return {status_ok,
            {{"Content-Type", "application/json"}},
            interface_.encode_addresses(chosen, settings_.address_lifetime)};
}

auto entry_instance::answer_metrics() const -> relayed_answer
{
    const auto now = timers_.now();
    const auto seconds_of = [](duration time) {
        return std::chrono::duration<double>(time).count();
    };
    auto usage = rusage{};
    getrusage(RUSAGE_SELF, &usage);
    auto text = counters_.prometheus_text() + coordinator_.metrics().prometheus_text();
    const auto& table = view_.table();
    text += gauge_text("config_version", "", table ? static_cast<double>(table->version()) : 0.0);
    text += gauge_text("config_in_force_seconds", "",
                       table ? seconds_of(now - view_.adopted_at()) : 0.0);
    text += gauge_text("config_behind_seconds", "",
                       seconds_of(configuration_lag_.behind_for(configuration_version(), now)));
    const auto age = subscriber_ ? subscriber_->age() : std::nullopt;
    text += gauge_text("feed_age_seconds", "", age ? seconds_of(*age) : -1.0);
    text += gauge_text("store_era", "",
                       subscriber_ ? static_cast<double>(subscriber_->position().era) : 0.0);
    text += gauge_text("store_restorations", "",
                       subscriber_ ? static_cast<double>(subscriber_->restorations()) : 0.0);
    text += gauge_text("feed_follows_peer", "", subscriber_ && subscriber_->follows_peer() ? 1 : 0);
    const auto* const workspaces = table ? table->workspaces() : nullptr;
    const auto known = [&](auto count) {
        return workspaces == nullptr ? 0.0 : static_cast<double>((workspaces->*count)());
    };
    text += gauge_text("workspaces", "", known(&workspace_directory::size));
    text += gauge_text("workspace_keys", "", known(&workspace_directory::key_count));
    text += gauge_text("keys_accepted", "", key_authority_.accepts() ? 1 : 0);
    text += gauge_text("usage_holder", "", usage_ && usage_->holds() ? 1 : 0);
    text += gauge_text("usage_windows_open", "",
                       usage_ ? static_cast<double>(usage_->open_windows()) : 0.0);
    text += gauge_text("targets", "", static_cast<double>(view_.targets().size()));
    text += gauge_text("instances", "", static_cast<double>(instance_count_));
    const auto room = [&](auto part) { return share_ ? ((*share_).*part)(boot_time()) : 0.0; };
    text += gauge_text("room_fraction", "", share_ ? shared_fraction() : limit_share());
    text += gauge_text("room_borrowed_fraction", "", room(&demand_share::borrowed));
    text += gauge_text("room_lent_fraction", "", room(&demand_share::lent));
    text += gauge_text("connections", "", static_cast<double>(pool_.open_connections()));
    text += gauge_text("requests_in_progress", "", static_cast<double>(coordinator_.in_progress()));
    text += gauge_text("zone_leaving_share", "", coordinator_.leaving_share());
    text += gauge_text("requests_waiting", "", static_cast<double>(coordinator_.waiting()));
    text += gauge_text("loop_lag_seconds", "", seconds_of(recent_max_lag_));
    text += gauge_text("memory_peak_bytes", "", static_cast<double>(usage.ru_maxrss) * 1024.0);
    text += gauge_text("answer_memory_bytes", "", static_cast<double>(answer_memory_.held()));
    text +=
        gauge_text("answer_memory_peak_bytes", "", static_cast<double>(answer_memory_.highest()));
    text +=
        gauge_text("answer_memory_limit_bytes", "", static_cast<double>(answer_memory_.limit()));
    text += caller_guard_.metrics();
    text += gauge_text("log_lines_lost", "", static_cast<double>(lost_log_lines()));
    return {status_ok, {{"Content-Type", "text/plain; version=0.0.4"}}, std::move(text)};
}

auto entry_instance::answer_counts(const relayed_request& request) -> relayed_answer
{
    constexpr auto status_bad_request = 400U;
    constexpr auto status_not_found = 404U;
    if (!usage_) {
        return error_answer(status_not_found, "no such page");
    }
    auto text = usage_->accept(request.body);
    return text ? relayed_answer{status_ok, {{"Content-Type", "text/plain"}}, std::move(*text)}
                : error_answer(status_bad_request, "counts not understood");
}

auto entry_instance::answer_state() const -> relayed_answer
{
    auto members = nlohmann::json::array();
    for (const auto& peer : peers_.members()) {
        members.push_back({{"instance", peer.instance},
                           {"zone", peer.availability_zone},
                           {"state", std::string{to_string(peer.state)}}});
    }
    const auto body = nlohmann::json{{"instance", settings_.instance},
                                     {"version", view_.table() ? view_.table()->version() : 0},
                                     {"targets", view_.targets().size()},
                                     {"members", members},
                                     {"connections", pool_.open_connections()},
                                     {"in_progress", coordinator_.in_progress()}};
    return {status_ok, {{"Content-Type", "application/json"}}, body.dump()};
}

} // namespace knapweedchute
