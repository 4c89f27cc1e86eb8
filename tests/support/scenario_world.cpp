#include "scenario_world.hpp"

#include <knapweedchute/config/object_reader.hpp>

#include <stdexcept>
#include <utility>

namespace knapweedchute::test {
namespace {

constexpr auto loopback = 0x7f000001U;
constexpr auto platform_port = std::uint16_t{21'000};
constexpr auto first_target_port = std::uint16_t{21'100};
constexpr auto entry_port = std::uint16_t{21'010};
constexpr auto call_timeout = milliseconds{3'000};
constexpr auto load_threads = std::size_t{4};
constexpr auto default_lifetime_ms = 300;
constexpr auto load_pause = milliseconds{2};
constexpr auto status_ok = 200L;
constexpr auto max_kept_refusals = std::size_t{5};
const auto operator_key = std::string{"operator-key-012345"};

auto view_of(const std::optional<http_response>& response) -> caller_view
{
    auto view = caller_view{};
    if (response) {
        auto reason = error{};
        view.status = response->status;
        view.body = parse_json(response->body, reason).value_or(nlohmann::json::object());
    }
    return view;
}

auto text_of(const address& where) -> std::string
{
    return to_string(where);
}

} // namespace

scenario_world::scenario_world()
    : platform_{std::make_unique<platform_stand_in>(address{loopback, platform_port})}
{
}

scenario_world::~scenario_world()
{
    if (loading_) {
        stop_load();
    }
    entries_.clear();
}

auto scenario_world::add_target(const std::string& version, const std::string& zone,
                                target_options options) -> std::size_t
{
    const auto index = targets_.size();
    options.where = {loopback, static_cast<std::uint16_t>(first_target_port + index)};
    options.seed = index + 1;
    targets_.push_back(std::make_unique<target_stand_in>(options));
    declared_.push_back({version, zone, options.where});
    zones_.insert(zone);
    return index;
}

auto scenario_world::start_entry(const std::string& name, const std::string& zone, int lifetime_ms)
    -> void
{
    const auto ip = loopback + next_entry_++;
    auto& added = entries_[name];
    auto& values = added.values;
    values.instance = name;
    values.availability_zone = zone;
    values.deployment = "scenario";
    values.key = "scenario-key-0123456";
    values.operator_key = operator_key;
    values.caller_address = {ip, entry_port};
    values.admin_address = {ip, entry_port + 1};
    values.peer_address = {ip, entry_port + 2};
    values.platform_address = {loopback, platform_port};
    values.worker_threads = 2;
    values.http_threads = 1;
    values.max_queries = 1'000;
    values.max_body_bytes = 65'536;
    values.store_readers = 2;
    values.probe_period = milliseconds{100};
    values.store_period = milliseconds{200};
    values.address_lifetime = milliseconds{lifetime_ms};
    values.freshness_limit = milliseconds{1'500};
    for (const auto& [other, running] : entries_) {
        if (other != name) {
            values.seeds.push_back(running.values.peer_address);
        }
    }
    added.gate = std::make_unique<network_filter>();
    added.instance = std::make_unique<query_instance>(values, next_incarnation_++, *added.gate);
    auto reason = error{};
    if (!added.instance->start(reason)) {
        throw std::runtime_error{to_string(reason)};
    }
}

auto scenario_world::stop_entry(const std::string& name) -> void
{
    entries_.at(name).instance->stop();
    entries_.erase(name);
}

auto scenario_world::kill_entry(const std::string& name) -> void
{
    entries_.erase(name);
}

auto scenario_world::cut(const std::string& left, const std::string& right, bool closed) -> void
{
    auto& one = entries_.at(left);
    auto& other = entries_.at(right);
    if (closed) {
        one.gate->block(other.values.peer_address);
        other.gate->block(one.values.peer_address);
        return;
    }
    one.gate->unblock(other.values.peer_address);
    other.gate->unblock(one.values.peer_address);
}

auto scenario_world::set_zone(const std::string& zone, bool out) -> void
{
    if (out) {
        zones_out_.insert(zone);
    } else {
        zones_out_.erase(zone);
    }
}

auto scenario_world::set_move(const std::string& to, std::int64_t seconds_left) -> void
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto unix_s = std::chrono::duration_cast<seconds>(now).count();
    move_ = rollout_spec{to, unix_s + seconds_left, {100, 500, 1'000}};
}

auto scenario_world::apply(std::uint64_t base, std::string& failure) -> std::uint64_t
{
    auto counters = counter_set{};
    auto service = http_key_value_store{{loopback, platform_port}, milliseconds{500}, counters};
    auto store = configuration_store{service, 3};
    auto reason = error{};
    const auto text = file_text();
    const auto change = "change-" + std::to_string(++changes_);
    const auto version = store.apply(text, base, change, reason);
    if (!version) {
        failure = to_string(reason.code);
        return 0;
    }
    last_accepted_ = {{"version", *version}, {"change", change}, {"text", text}};
    return *version;
}

auto scenario_world::push(const std::string& entry) -> void
{
    auto client = http_client{};
    auto reason = error{};
    const auto& where = entries_.at(entry).values.admin_address;
    static_cast<void>(client.perform({"POST",
                                      "http://" + text_of(where) + "/v1/configuration",
                                      last_accepted_.dump(),
                                      {"X-Operator-Key: " + operator_key},
                                      call_timeout},
                                     reason));
}

auto scenario_world::post(const std::string& entry, const std::string& path,
                          const nlohmann::json& body) -> caller_view
{
    auto client = http_client{};
    auto reason = error{};
    const auto& where = entries_.at(entry).values.caller_address;
    const auto response = client.perform(
        {"POST", "http://" + text_of(where) + path, body.dump(), {}, call_timeout}, reason);
    return view_of(response);
}

auto scenario_world::addresses(const std::string& entry) -> caller_view
{
    auto client = http_client{};
    auto reason = error{};
    const auto& where = entries_.at(entry).values.caller_address;
    const auto response = client.perform(
        {"GET", "http://" + text_of(where) + "/v1/addresses", {}, {}, call_timeout}, reason);
    return view_of(response);
}

auto scenario_world::start_load(const std::vector<std::string>& entries) -> void
{
    load_ = {};
    loading_ = true;
    for (auto number = std::size_t{0}; number < load_threads; ++number) {
        load_threads_.emplace_back([this, entries, number] { load_loop(entries, number); });
    }
}

auto scenario_world::stop_load() -> load_view
{
    loading_ = false;
    for (auto& thread : load_threads_) {
        thread.join();
    }
    load_threads_.clear();
    return load_;
}

auto scenario_world::executions() const -> std::map<std::string, int>
{
    auto total = std::map<std::string, int>{};
    for (const auto& target : targets_) {
        for (const auto& [id, count] : target->executions()) {
            total[id] += count;
        }
    }
    return total;
}

auto scenario_world::file_text() const -> std::string
{
    auto zones = nlohmann::json::array();
    for (const auto& zone : zones_) {
        zones.push_back({{"name", zone}, {"out", zones_out_.contains(zone)}});
    }
    auto by_version = std::map<std::string, nlohmann::json>{};
    for (const auto& target : declared_) {
        auto& list = by_version.try_emplace(target.version, nlohmann::json::array()).first->second;
        list.push_back({{"address", text_of(target.where)}, {"availability_zone", target.zone}});
    }
    auto versions = nlohmann::json::array();
    for (const auto& [name, targets] : by_version) {
        versions.push_back({{"name", name}, {"targets", targets}});
    }
    auto service = nlohmann::json{{"name", "s"},         {"workspace", "kerkenna"},
                                  {"version", version_}, {"connections_per_replica", 25},
                                  {"warmup_ms", 1},      {"versions", versions}};
    if (move_) {
        service["move"] = {{"to", move_->to},
                           {"finish_by_unix_s", move_->finish_by_unix_s},
                           {"steps_permil", move_->steps_permil}};
    }
    return nlohmann::json{{"availability_zones", zones}, {"services", {service}}}.dump();
}

auto scenario_world::load_loop(const std::vector<std::string>& entries, std::size_t number) -> void
{
    // Like a caller that keeps an address answer for as long as it is valid.
    auto client = http_client{};
    auto known = std::vector<std::string>{};
    for (const auto& entry : entries) {
        known.push_back(text_of(entries_.at(entry).values.caller_address));
    }
    auto valid_until = time_point{};
    for (auto serial = std::uint64_t{1}; loading_; ++serial) {
        if (steady_clock::now() >= valid_until) {
            const auto asked = steady_clock::now();
            auto fresh = ask_addresses(known[serial % known.size()]);
            known = fresh.empty() ? known : std::move(fresh);
            valid_until = asked + milliseconds{default_lifetime_ms};
        }
        const auto& where = known[(number + serial) % known.size()];
        const auto body =
            nlohmann::json{{"request_id", std::to_string(number) + "-" + std::to_string(serial)},
                           {"service", "s"},
                           {"text", "slope closed"},
                           {"deadline_ms", 1'000}};
        auto reason = error{};
        const auto sent = steady_clock::now();
        const auto response = client.perform(
            {"POST", "http://" + where + "/v1/query", body.dump(), {}, call_timeout}, reason);
        const auto unreachable = !response && reason.code == error_code::store_unavailable;
        if (unreachable) {
            const auto lock = std::lock_guard{load_mutex_};
            load_.unreachable += sent < valid_until ? 1 : 0;
        } else {
            judge(view_of(response));
        }
        std::this_thread::sleep_for(load_pause);
    }
}

auto scenario_world::ask_addresses(const std::string& where) -> std::vector<std::string>
{
    auto client = http_client{};
    auto reason = error{};
    const auto view = view_of(
        client.perform({"GET", "http://" + where + "/v1/addresses", {}, {}, call_timeout}, reason));
    auto list = std::vector<std::string>{};
    if (view.body.is_object() && view.body.contains("addresses")) {
        for (const auto& item : view.body.at("addresses")) {
            list.push_back(item.at("address"));
        }
    }
    return list;
}

auto scenario_world::judge(const caller_view& view) -> void
{
    const auto lock = std::lock_guard{load_mutex_};
    if (view.status == 0) {
        load_.cut += 1;
        return;
    }
    if (view.status != status_ok) {
        load_.refused += 1;
        if (load_.refusals.size() < max_kept_refusals) {
            load_.refusals.push_back(std::to_string(view.status) + " " + view.body.dump());
        }
        return;
    }
    const auto& coverage = view.body.at("coverage");
    const auto answered = coverage.at("answered").get<std::size_t>();
    const auto shards = coverage.at("shards").get<std::size_t>();
    load_.whole += answered == shards ? 1 : 0;
    load_.partial += answered == shards ? 0 : 1;
    auto true_answer = answered + view.body.at("missing").size() == shards;
    const auto mark = "(snapshot " + std::to_string(view.body.at("snapshot").get<int>()) + ")";
    for (const auto& found : view.body.at("hits")) {
        const auto text = found.at("text").get<std::string>();
        true_answer = true_answer && text.find(mark) != std::string::npos;
    }
    load_.violations += true_answer ? 0 : 1;
}

} // namespace knapweedchute::test
