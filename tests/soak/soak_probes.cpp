// The callers that ask each instance which version of the configuration is in force.
#include "soak_world.hpp"

#include <algorithm>
#include <csignal>
#include <utility>

namespace knapweedchute::soak {
namespace {

constexpr auto lasting_time = milliseconds{2'500};
constexpr auto least_lasting_targets = std::size_t{4};
constexpr auto most_lasting_targets = std::size_t{12};
constexpr auto probe_pause = milliseconds{55};
constexpr auto probe_waits_ms = 1'000;
constexpr auto timed_waits_ms = 3'000;
constexpr auto call_timeout = milliseconds{1'500};
constexpr auto timed_call_timeout = milliseconds{4'000};
constexpr auto usual_entries = std::size_t{4};
constexpr auto pulse_interval = milliseconds{20};
const auto quick_kinds =
    std::vector<probe_kind>{probe_kind::newest,  probe_kind::relocated, probe_kind::removed,
                            probe_kind::newest,  probe_kind::older,     probe_kind::split,
                            probe_kind::removed, probe_kind::relocated, probe_kind::never};

/// Finds the service whose records a body is.
auto service_of(const std::string& body, const std::string& id) -> std::string
{
    for (const auto* service :
         {configuration_history::first_service, configuration_history::second_service,
          configuration_history::lasting_service}) {
        if (body == records_of(service, id)) {
            return service;
        }
    }
    return "";
}

} // namespace

auto soak_world::add_probe_services() -> void
{
    for (const auto* service :
         {configuration_history::first_service, configuration_history::second_service}) {
        add_target(service, "a", "v1");
        add_target(service, "b", "v1");
        add_target(service, "c", "v1");
    }
    const auto lasting = std::clamp(options_.entries, least_lasting_targets, most_lasting_targets);
    for (auto index = std::size_t{0}; index < lasting; ++index) {
        add_target(configuration_history::lasting_service, index % 2 == 0 ? "b" : "c", "v1")
            .target->set_usual_time(lasting_time);
    }
}

auto soak_world::start_probes() -> void
{
    const auto add = [this](std::size_t instance, std::vector<probe_kind> kinds, bool keeps) {
        auto client = std::make_unique<call_client>(loop_, timers_, caller_addresses_.at(instance));
        probe_callers_.push_back({std::move(client), std::move(kinds), instance, 0, keeps});
        later(probe_pause,
              [this, index = probe_callers_.size() - 1] { probe_configuration(index); });
    };
    for (auto instance = std::size_t{0}; instance < entries_.size(); ++instance) {
        add(instance, quick_kinds, true);
        add(instance, quick_kinds, false);
        add(instance, {probe_kind::timed}, true);
        add(instance, {probe_kind::timed}, false);
    }
}

auto soak_world::probe_configuration(std::size_t index) -> void
{
    if (ending_) {
        return;
    }
    auto& from = probe_callers_.at(index);
    const auto kind = from.kinds.at(from.asked++ % from.kinds.size());
    const auto number = next_probe_++;
    const auto again = [this, index] {
        later(probe_pause * options_.entries / usual_entries,
              [this, index] { probe_configuration(index); });
    };
    const auto now = timers_.now();
    const auto asked = probe{kind,
                             choose_route(configuration_, kind, number),
                             "p" + std::to_string(number),
                             from.instance,
                             lifetimes_.at(from.instance),
                             now,
                             touch_.in_touch(from.instance, now)};
    if (asked.route.empty()) {
        again();
        return;
    }
    const auto timed = kind == probe_kind::timed;
    const auto text =
        "GET /" + asked.route + "/x HTTP/1.1\r\nHost: soak\r\nRequest-Id: " + asked.id +
        "\r\nDeadline-Ms: " + std::to_string(timed ? timed_waits_ms : probe_waits_ms) + "\r\n\r\n";
    if (!from.keeps_connection) {
        from.client->renew_connection();
    }
    from.client->call(text, timed ? timed_call_timeout : call_timeout,
                      [this, asked, again](const auto& result) {
                          on_probe_answer(asked, result);
                          again();
                      });
}

auto soak_world::on_probe_answer(const probe& asked, const exchange_result& result) -> void
{
    auto answer = probe_answer{};
    answer.ended = timers_.now();
    answer.undisturbed = touch_.undisturbed(asked.instance, asked.sent, answer.ended);
    if (result.status == exchange_status::answered) {
        answer.status = result.answer.status;
        answer.service = service_of(result.answer.body, asked.id);
    }
    judge_.judge(asked, answer);
}

auto soak_world::write_pulse() -> void
{
    touch_.on_pulse(timers_.now());
    later(pulse_interval, [this] { write_pulse(); });
}

auto soak_world::signal(std::size_t instance, int number) -> void
{
    entries_.at(instance)->signal(number);
    const auto now = timers_.now();
    if (number == SIGKILL || number == SIGTERM) {
        touch_.set(instance, touch_trouble::ended, true, now);
    } else if (number == SIGSTOP || number == SIGCONT) {
        touch_.set(instance, touch_trouble::frozen, number == SIGSTOP, now);
    }
}

auto soak_world::set_gate(std::size_t index, gate_mode mode) -> void
{
    store_accesses_.at(index)->gate.set_mode(mode);
    const auto refused = mode != gate_mode::open;
    for (auto instance = std::size_t{0}; instance < entries_.size(); ++instance) {
        if (instance == index || !has_gates()) {
            touch_.set(instance, touch_trouble::refused, refused, timers_.now());
        }
    }
}

auto soak_world::set_resetting(std::size_t instance, bool resetting) -> void
{
    if (store_proxy_) {
        store_proxy_->set_resetting(instance, resetting);
        touch_.set(instance, touch_trouble::reset, resetting, timers_.now());
    }
}

auto soak_world::set_store_mode(store_mode mode) -> void
{
    store_.set_mode(mode);
    touch_.set_store_impaired(store_.impaired(), timers_.now());
}

auto soak_world::set_store_deaf(bool deaf) -> void
{
    store_.set_deaf(deaf);
    touch_.set_store_impaired(store_.impaired(), timers_.now());
}

} // namespace knapweedchute::soak
