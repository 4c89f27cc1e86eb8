#include <knapweedchute/core/log.hpp>
#include <knapweedchute/query/caller_codec.hpp>
#include <knapweedchute/runtime/caller_api.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace knapweedchute {
namespace {

const auto log_line = logger{"caller"};

auto make_completion(const std::string& id, const http_server::responder& respond,
                     const std::atomic<bool>& closing) -> query_engine::completion
{
    return [id, respond, &closing](request_result result) {
        auto reply = http_reply{};
        if (const auto* answer = std::get_if<query_answer>(&result)) {
            reply.body = encode_answer(id, *answer);
        } else if (const auto* body = std::get_if<std::string>(&result)) {
            reply.body = encode_run_answer(id, *body);
        } else {
            const auto& refused = std::get<refusal>(result);
            reply.status = status_of(refused.reason.code);
            reply.body = encode_refusal(id, refused);
        }
        reply.close = closing;
        respond(std::move(reply));
    };
}

} // namespace

const std::vector<caller_api::route> caller_api::routes = {
    {"GET", "/v1/addresses", &caller_api::addresses},
    {"POST", "/v1/query", &caller_api::search},
    {"POST", "/v1/request-ids", &caller_api::issue_id},
    {"POST", "/v1/run", &caller_api::run},
};

caller_api::caller_api(const settings& values, query_engine& engine, peer_agent& peers,
                       configuration_holder& holder, counter_set& counters)
    : settings_{values}, engine_{&engine}, peers_{&peers}, holder_{&holder}, counters_{&counters},
      selector_{static_cast<std::uint64_t>(steady_clock::now().time_since_epoch().count())}
{
}

auto caller_api::handle(const http_call& call, const http_server::responder& respond) -> void
{
    for (const auto& entry : routes) {
        if (call.method == entry.method && call.path == entry.path) {
            (this->*entry.handle)(call, respond);
            return;
        }
    }
    respond(refuse({error_code::not_found, call.path, "no such method and path"}));
}

auto caller_api::refuse(const error& reason) -> http_reply
{
    counters_->add(counter::bad_requests);
    log_line.warning("Request refused.", {{"reason", to_string(reason)}});
    return {status_of(reason.code), encode_refusal({}, {reason, outcome::not_run}),
            "application/json", false};
}

auto caller_api::addresses(const http_call& call, const http_server::responder& respond) -> void
{
    const auto accepted = holder_->current();
    const auto excluded_zones =
        accepted ? accepted->file.excluded_zones() : std::set<std::string>{};
    const auto zone_argument = call.arguments.find("availability_zone");
    const auto preferred_zone =
        zone_argument == call.arguments.end() ? std::string{} : zone_argument->second;
    auto chosen = std::vector<member>{};
    {
        const auto lock = std::lock_guard{selector_mutex_};
        chosen = selector_.select(peers_->members(), excluded_zones, preferred_zone);
    }
    auto list = nlohmann::json::array();
    for (const auto& instance : chosen) {
        list.push_back({{"address", to_string(instance.caller_address)},
                        {"availability_zone", instance.availability_zone}});
    }
    respond({200U,
             nlohmann::json{{"addresses", list}, {"keep_ms", settings_.address_lifetime.count()}}
                 .dump(),
             "application/json", closing_});
}

auto caller_api::search(const http_call& call, const http_server::responder& respond) -> void
{
    auto reason = error{};
    const auto decoded = decode_search_call(call.body, reason);
    if (!decoded) {
        respond(refuse(reason));
        return;
    }
    auto request = search_request{decoded->request_id,
                                  decoded->service,
                                  decoded->text,
                                  decoded->top,
                                  static_cast<double>(decoded->answer_value),
                                  deadline_of(decoded->deadline_ms, decoded->service)};
    engine_->search(std::move(request), make_completion(decoded->request_id, respond, closing_));
}

auto caller_api::issue_id(const http_call& /*call*/, const http_server::responder& respond) -> void
{
    respond({200U,
             nlohmann::json{{"request_id", engine_->issue_id()},
                            {"address", to_string(settings_.caller_address)}}
                 .dump(),
             "application/json", closing_});
}

auto caller_api::run(const http_call& call, const http_server::responder& respond) -> void
{
    auto reason = error{};
    const auto decoded = decode_run_call(call.body, reason);
    if (!decoded) {
        respond(refuse(reason));
        return;
    }
    auto request =
        run_request{decoded->request_id, decoded->service, decoded->key, decoded->document,
                    deadline_of(decoded->deadline_ms, decoded->service)};
    engine_->run(std::move(request), make_completion(decoded->request_id, respond, closing_));
}

auto caller_api::deadline_of(std::int64_t deadline_ms, const std::string& service) const
    -> time_point
{
    auto allowed = milliseconds{deadline_ms};
    if (deadline_ms == 0) {
        const auto accepted = holder_->current();
        const auto* spec = accepted ? accepted->file.find_service(service) : nullptr;
        allowed = spec == nullptr ? milliseconds{1'000} : spec->default_deadline;
    }
    return steady_clock::now() + allowed;
}

} // namespace knapweedchute
