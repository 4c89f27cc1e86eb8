#include <knapweedchute/config/configuration_store.hpp>
#include <knapweedchute/config/object_reader.hpp>
#include <knapweedchute/core/log.hpp>
#include <knapweedchute/query/caller_codec.hpp>
#include <knapweedchute/runtime/admin_api.hpp>

#include <limits>
#include <utility>

namespace knapweedchute {
namespace {

const auto log_line = logger{"admin"};

auto describe(const member& known) -> nlohmann::json
{
    return {{"instance", known.instance},
            {"availability_zone", known.availability_zone},
            {"state", to_string(known.state)},
            {"incarnation", known.incarnation},
            {"peer_address", to_string(known.peer_address)},
            {"caller_address", to_string(known.caller_address)},
            {"admin_address", to_string(known.admin_address)}};
}

} // namespace

const std::vector<admin_api::route> admin_api::routes = {
    {"GET", "/v1/dump", false, &admin_api::dump},
    {"GET", "/metrics", false, &admin_api::metrics},
    {"GET", "/v1/status", false, &admin_api::status},
    {"POST", "/v1/configuration", true, &admin_api::adopt_configuration},
};

admin_api::admin_api(const settings& values, query_engine& engine, peer_agent& peers,
                     configuration_holder& holder, rollout_agent& rollouts, counter_set& counters)
    : settings_{values}, engine_{&engine}, peers_{&peers}, holder_{&holder}, rollouts_{&rollouts},
      counters_{&counters}
{
}

auto admin_api::handle(const http_call& call, const http_server::responder& respond) -> void
{
    for (const auto& entry : routes) {
        if (call.method != entry.method || call.path != entry.path) {
            continue;
        }
        if (entry.needs_key && call.operator_key != settings_.operator_key) {
            respond(refuse({error_code::not_permitted, call.path, "wrong operator key"}));
            return;
        }
        respond((this->*entry.handle)(call));
        return;
    }
    respond(refuse({error_code::not_found, call.path, "no such method and path"}));
}

auto admin_api::refuse(const error& reason) -> http_reply
{
    counters_->add(counter::bad_requests);
    log_line.warning("Request refused.", {{"reason", to_string(reason)}});
    return {status_of(reason.code), encode_refusal({}, {reason, outcome::not_run}),
            "application/json", false};
}

auto admin_api::dump(const http_call& /*call*/) -> http_reply
{
    auto members = nlohmann::json::array();
    for (const auto& known : peers_->members()) {
        members.push_back(describe(known));
    }
    auto counters = nlohmann::json::object();
    for (auto index = std::size_t{0}; index < counter_count; ++index) {
        const auto which = static_cast<counter>(index);
        counters[std::string{to_string(which)}] = counters_->value(which);
    }
    const auto now = steady_clock::now();
    const auto age = holder_->proof_age(now);
    const auto age_ms =
        age ? std::chrono::duration_cast<milliseconds>(*age).count() : std::int64_t{-1};
    const auto json = nlohmann::json{{"instance", settings_.instance},
                                     {"availability_zone", settings_.availability_zone},
                                     {"configuration_version", holder_->version()},
                                     {"proof_age_ms", age_ms},
                                     {"fresh", holder_->fresh_until() >= now},
                                     {"reads_store", peers_->reads_store()},
                                     {"local_health", peers_->local_health()},
                                     {"queries_in_progress", engine_->in_progress()},
                                     {"members", members},
                                     {"moves", rollouts_->dump()},
                                     {"counters", counters},
                                     {"services", engine_->dump()}};
    return {200U, json.dump(2), "application/json", false};
}

auto admin_api::metrics(const http_call& /*call*/) -> http_reply
{
    return {200U, counters_->prometheus_text(), "text/plain; version=0.0.4", false};
}

auto admin_api::status(const http_call& /*call*/) -> http_reply
{
    const auto accepted = holder_->current();
    auto members = nlohmann::json::array();
    for (const auto& known : peers_->members()) {
        members.push_back(describe(known));
    }
    const auto json = nlohmann::json{{"instance", settings_.instance},
                                     {"configuration_version", accepted ? accepted->version : 0},
                                     {"change", accepted ? accepted->change : std::string{}},
                                     {"fresh", holder_->fresh_until() >= steady_clock::now()},
                                     {"members", members}};
    return {200U, json.dump(), "application/json", false};
}

auto admin_api::adopt_configuration(const http_call& call) -> http_reply
{
    auto reason = error{};
    const auto head = decode_object(call.body, reason, [](auto& reader) {
        constexpr auto max_version = std::numeric_limits<std::int64_t>::max();
        auto submitted = configuration{};
        submitted.version = static_cast<std::uint64_t>(reader.integer("version", 1, max_version));
        submitted.change = reader.text("change");
        submitted.text = reader.text("text");
        reader.finish();
        return submitted;
    });
    auto submitted =
        head ? decode_configuration(head->version, head->change, head->text, reason) : std::nullopt;
    if (!submitted) {
        return refuse(reason);
    }
    const auto result = holder_->adopt(std::move(*submitted));
    if (result == adoption::adopted) {
        peers_->publish_configuration();
    }
    return {200U, nlohmann::json{{"configuration_version", holder_->version()}}.dump(),
            "application/json", false};
}

} // namespace knapweedchute
