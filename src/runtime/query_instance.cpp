#include <knapweedchute/core/log.hpp>
#include <knapweedchute/runtime/query_instance.hpp>

#include <xxhash.h>

#include <future>
#include <thread>
#include <utility>

namespace knapweedchute {
namespace {

constexpr auto max_admin_body_bytes = std::size_t{17'000'000};
constexpr auto poll_interval = milliseconds{20};
constexpr auto periodic_interval = milliseconds{100};
constexpr auto target_discovery_time = milliseconds{1'000};
constexpr auto leave_propagation_time = milliseconds{1'000};
constexpr auto drain_time = milliseconds{200};
constexpr auto search_grace = milliseconds{50};
const auto log_line = logger{"instance"};

auto make_source_id(const settings& values, std::uint64_t incarnation) -> std::uint64_t
{
    return XXH3_64bits_withSeed(values.instance.data(), values.instance.size(), incarnation);
}

auto make_envelope(const settings& values) -> envelope
{
    return {values.deployment, message_key{values.key}};
}

} // namespace

query_instance::query_instance(const settings& values, std::uint64_t incarnation,
                               const network_filter& filter)
    : settings_{values}, codec_{make_envelope(values)}, holder_{values.freshness_limit},
      caller_{codec_, filter, counters_}, forwarder_{caller_}, engine_{values, incarnation, holder_,
                                                                       forwarder_, counters_},
      rollouts_{holder_, engine_, make_source_id(values, incarnation)},
      peers_{values,  incarnation, codec_,    holder_,
             caller_, filter,      counters_, [this] { reconfigure(); }},
      store_{values, holder_, peers_, rollouts_, counters_, incarnation},
      caller_api_{values, engine_, peers_, holder_, counters_}, admin_api_{values,    engine_,
                                                                           peers_,    holder_,
                                                                           rollouts_, counters_}
{
    holder_.add_listener([this](const auto& accepted) {
        counters_.add(counter::configurations_adopted);
        log_line.info("Configuration adopted.", {{"version", std::to_string(accepted->version)},
                                                 {"change", accepted->change}});
        reconfigure();
    });
}

query_instance::~query_instance()
{
    destroying_ = true;
    if (periodic_thread_.joinable()) {
        periodic_thread_.join();
    }
    caller_server_.reset();
    admin_server_.reset();
    peer_server_.reset();
    forwarder_.stop();
}

auto query_instance::start(error& reason) -> bool
{
    peer_server_ =
        std::make_unique<peer_server>(settings_.peer_address, codec_, counters_,
                                      [this](const auto& call) { return serve_peer(call); });
    const auto threads = static_cast<unsigned>(settings_.http_threads);
    caller_server_ = std::make_unique<http_server>(
        settings_.caller_address,
        http_server_options{threads, static_cast<std::size_t>(settings_.max_body_bytes)},
        [this](const auto& call, auto respond) { caller_api_.handle(call, respond); },
        [this](const auto& fault) { return caller_api_.refuse(fault); });
    admin_server_ = std::make_unique<http_server>(
        settings_.admin_address, http_server_options{1U, max_admin_body_bytes},
        [this](const auto& call, auto respond) { admin_api_.handle(call, respond); },
        [this](const auto& fault) { return admin_api_.refuse(fault); });
    const auto check = [&](bool open, const address& where, const char* key) {
        if (!open) {
            reason = {error_code::invalid_value, key, "can not open " + to_string(where)};
        }
        return open;
    };
    const auto open =
        check(peers_.is_open() && peer_server_->listening(), settings_.peer_address,
              "/peer_address") &&
        check(caller_server_->listening(), settings_.caller_address, "/caller_address") &&
        check(admin_server_->listening(), settings_.admin_address, "/admin_address");
    if (!open) {
        return false;
    }
    forwarder_.start(peers_);
    peers_.start([this](const auto& rows) { rollouts_.merge_evidence(rows); },
                 [this](auto count) { return rollouts_.next_rows(count); });
    periodic_thread_ = std::thread{[this] { periodic_loop(); }};
    store_.start();
    log_line.info("Started.", {{"instance", settings_.instance},
                               {"callers", to_string(settings_.caller_address)}});
    return true;
}

auto query_instance::stop() -> void
{
    if (stopped_.exchange(true) || !caller_server_) {
        return;
    }
    log_line.info("Leaving.", {{"instance", settings_.instance}});
    peers_.announce(member_state::leaving);
    // Peers return this address until the announcement has reached them, and callers cache it for
    // its lifetime.
    wait_while_serving(leave_propagation_time + settings_.address_lifetime);
    caller_api_.close_connections();
    wait_while_serving(drain_time);
    caller_server_->stop_listening();
    while (caller_server_->calls_in_progress() > 0 || engine_.in_progress() > 0) {
        std::this_thread::sleep_for(poll_interval);
    }
    peers_.announce(member_state::left);
    std::this_thread::sleep_for(drain_time);
    log_line.info("Stopped.", {{"instance", settings_.instance}});
}

auto query_instance::reconfigure() -> void
{
    // Configuration and members are read under the lock, so that the last of several concurrent
    // calls applies the latest state.
    const auto lock = std::lock_guard{reconfigure_mutex_};
    const auto accepted = holder_.current();
    if (!accepted) {
        return;
    }
    engine_.configure(*accepted, peers_.members());
}

auto query_instance::periodic_loop() -> void
{
    while (!destroying_) {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        rollouts_.advance(std::chrono::duration_cast<seconds>(now).count());
        announce_when_ready();
        std::this_thread::sleep_for(periodic_interval);
    }
}

auto query_instance::announce_when_ready() -> void
{
    const auto now = steady_clock::now();
    const auto fresh = holder_.version() != 0 && holder_.fresh_until() >= now;
    if (stopped_ || !fresh || peers_.self().state != member_state::joining) {
        return;
    }
    fresh_since_ = fresh_since_.value_or(now);
    if (now - *fresh_since_ >= request_policy{}.share_hold + target_discovery_time) {
        peers_.announce(member_state::alive);
        log_line.info("Serving callers.", {{"instance", settings_.instance}});
    }
}

auto query_instance::serve_peer(const peer_call& call) -> peer_reply
{
    auto reply = peer_reply{};
    if (call.kind == peer_call_kind::members) {
        reply.served = true;
        reply.members = peers_.members();
    }
    if (call.kind == peer_call_kind::configuration) {
        const auto accepted = holder_.current();
        reply.served = accepted != nullptr;
        reply.config_version = accepted ? accepted->version : 0;
        reply.config_change = accepted ? accepted->change : std::string{};
        reply.config_text = accepted ? accepted->text : std::string{};
    }
    if (call.kind == peer_call_kind::search) {
        auto answer = run_forwarded_search(call);
        reply.served = answer.has_value();
        reply.answer = answer ? std::move(*answer) : query_answer{};
    }
    return reply;
}

auto query_instance::run_forwarded_search(const peer_call& call) -> std::optional<query_answer>
{
    const auto time_left = milliseconds{static_cast<std::int64_t>(
        std::min<std::uint64_t>(call.remaining_ms, std::uint64_t{60'000}))};
    const auto request = forwarded_request{
        call.service, call.version, call.snapshot, call.total_shards,
        call.shards,  call.text,    call.top,      steady_clock::now() + time_left};
    auto promise = std::make_shared<std::promise<request_result>>();
    auto future = promise->get_future();
    engine_.search_forwarded(request,
                             [promise](auto result) { promise->set_value(std::move(result)); });
    if (future.wait_for(time_left + search_grace) != std::future_status::ready) {
        return std::nullopt;
    }
    auto result = future.get();
    auto* answer = std::get_if<query_answer>(&result);
    return answer == nullptr ? std::nullopt : std::optional{std::move(*answer)};
}

auto query_instance::wait_while_serving(milliseconds time) -> void
{
    const auto end = steady_clock::now() + time;
    while (steady_clock::now() < end && !grace_shortened_) {
        std::this_thread::sleep_for(poll_interval);
    }
}

} // namespace knapweedchute
