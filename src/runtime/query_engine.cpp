#include <knapweedchute/runtime/query_engine.hpp>

#include <xxhash.h>

#include <algorithm>
#include <future>
#include <set>
#include <utility>

namespace knapweedchute {
namespace {

constexpr auto id_lifetime = std::chrono::minutes{10};

auto view_of(const configuration& accepted, const service_spec& service,
             const std::string& instance, const std::vector<member>& members) -> service_view
{
    auto holders = std::vector<std::string>{};
    auto serving = std::set<std::string>{};
    for (const auto& known : members) {
        // Those believed dead may live on the other side of a cut and keep their share.
        if (known.state != member_state::left) {
            holders.push_back(known.instance);
        }
        if (known.serving()) {
            serving.insert(known.instance);
        }
    }
    return {service, accepted.file.zones_out(), instance, std::move(serving),
            ownership{std::move(holders)}};
}

} // namespace

query_engine::query_engine(const settings& values, std::uint64_t incarnation,
                           configuration_holder& holder, forwarder& remote, counter_set& counters)
    : settings_{values}, incarnation_{incarnation}, holder_{&holder}, remote_{&remote},
      counters_{&counters}, chooser_{values.availability_zone, request_policy{}.zone_penalty},
      admission_{static_cast<std::size_t>(values.most_queries), incarnation},
      ledger_{values.instance, incarnation, message_key{values.key}, id_lifetime,
              steady_clock::now()}
{
    for (auto index = std::size_t{0}; index < static_cast<std::size_t>(values.worker_threads);
         ++index) {
        workers_.push_back(std::make_unique<transfer_worker>(
            [this, index](time_point now) { return tick(index, now); }));
    }
}

query_engine::~query_engine()
{
    workers_.clear();
}

auto query_engine::configure(const configuration& accepted, const std::vector<member>& members)
    -> void
{
    for (const auto& service : accepted.file.services) {
        auto& slot = lane_for(service.name);
        auto view = view_of(accepted, service, settings_.instance, members);
        workers_[slot.worker]->post([lane = slot.lane.get(), view = std::move(view)] {
            lane->configure(view, steady_clock::now());
        });
    }
}

auto query_engine::search(search_request request, completion done) -> void
{
    counters_->add(counter::queries_received);
    const auto accepted = holder_->current();
    if (!accepted || accepted->file.find_service(request.service) == nullptr) {
        refuse_unknown(request.service, done);
        return;
    }
    auto admitted = false;
    {
        const auto lock = std::lock_guard{admission_mutex_};
        admitted = admission_.admit(request.answer_value, in_progress_, steady_clock::now());
    }
    if (!admitted) {
        counters_->add(counter::queries_shed);
        counters_->add(counter::queries_refused);
        done(refusal{{error_code::overloaded, request.service, "more is asked than can be served"},
                     outcome::not_run});
        return;
    }
    auto finish = counted(std::move(done), true, request.deadline);
    const auto* slot = find_lane(request.service);
    workers_[slot->worker]->post([lane = slot->lane.get(), request = std::move(request),
                                  finish = std::move(finish)] { lane->search(request, finish); });
}

auto query_engine::search_forwarded(const forwarded_request& request, completion done) -> void
{
    const auto* slot = find_lane(request.service);
    if (slot == nullptr) {
        refuse_unknown(request.service, done);
        return;
    }
    workers_[slot->worker]->post([lane = slot->lane.get(), request, done = std::move(done)] {
        lane->search_forwarded(request, done);
    });
}

auto query_engine::run(run_request request, completion done) -> void
{
    const auto accepted = holder_->current();
    if (!accepted || accepted->file.find_service(request.service) == nullptr) {
        refuse_unknown(request.service, done);
        return;
    }
    auto kept = std::optional<run_ledger::recorded_result>{};
    {
        const auto lock = std::lock_guard{ledger_mutex_};
        kept = ledger_.admit(request.id, steady_clock::now());
    }
    if (kept) {
        counters_->add(counter::runs_refused);
        std::visit([&](auto& value) { done(std::move(value)); }, *kept);
        return;
    }
    auto record = [this, id = request.id, done = std::move(done)](request_result result) {
        auto settled = run_ledger::recorded_result{};
        if (auto* body = std::get_if<std::string>(&result)) {
            settled = *body;
        } else if (auto* refused = std::get_if<refusal>(&result)) {
            settled = *refused;
        }
        {
            const auto lock = std::lock_guard{ledger_mutex_};
            ledger_.record_result(id, std::move(settled));
        }
        done(std::move(result));
    };
    auto finish = counted(std::move(record), false, request.deadline);
    const auto* slot = find_lane(request.service);
    workers_[slot->worker]->post([lane = slot->lane.get(), request = std::move(request),
                                  finish = std::move(finish)] { lane->run(request, finish); });
}

auto query_engine::issue_id() -> std::string
{
    const auto lock = std::lock_guard{ledger_mutex_};
    return ledger_.issue_id(steady_clock::now());
}

auto query_engine::set_new_version_share(const std::string& service, std::int64_t share_permil)
    -> void
{
    if (const auto* slot = find_lane(service); slot != nullptr) {
        slot->lane->set_new_version_share(share_permil);
    }
}

auto query_engine::tallies(const std::string& service, const rollout_spec& move) const
    -> std::map<std::string, version_tally>
{
    const auto* slot = find_lane(service);
    return slot == nullptr ? std::map<std::string, version_tally>{} : slot->lane->tallies(move);
}

auto query_engine::dump() const -> nlohmann::json
{
    const auto now = steady_clock::now();
    auto services = nlohmann::json::object();
    const auto lock = std::shared_lock{lanes_mutex_};
    for (const auto& [name, slot] : lanes_) {
        services[name] = slot.lane->dump(now);
    }
    return services;
}

auto query_engine::find_lane(const std::string& service) const -> const lane_slot*
{
    const auto lock = std::shared_lock{lanes_mutex_};
    const auto found = lanes_.find(service);
    return found == lanes_.end() ? nullptr : &found->second;
}

auto query_engine::lane_for(const std::string& service) -> lane_slot&
{
    const auto lock = std::unique_lock{lanes_mutex_};
    auto& slot = lanes_[service];
    if (!slot.lane) {
        const auto hash = XXH3_64bits(service.data(), service.size());
        slot.worker = lanes_.size() % workers_.size();
        slot.lane =
            std::make_unique<service_lane>(*workers_[slot.worker], *remote_, request_policy{},
                                           chooser_, *counters_, incarnation_ ^ hash);
    }
    return slot;
}

auto query_engine::tick(std::size_t worker, time_point now) -> std::optional<time_point>
{
    const auto fresh_until = holder_->fresh_until();
    auto next = std::optional<time_point>{};
    const auto lock = std::shared_lock{lanes_mutex_};
    for (auto& [name, slot] : lanes_) {
        if (slot.worker != worker) {
            continue;
        }
        slot.lane->allow_until(fresh_until);
        const auto due = slot.lane->tick(now);
        next = next ? std::min(*next, due) : due;
    }
    return next;
}

auto query_engine::counted(completion done, bool is_search, time_point deadline) -> completion
{
    in_progress_ += 1;
    const auto started = steady_clock::now();
    return [this, done = std::move(done), started, is_search, deadline](request_result result) {
        in_progress_ -= 1;
        const auto refused = std::holds_alternative<refusal>(result);
        const auto* answer = std::get_if<query_answer>(&result);
        const auto partial = answer != nullptr && !answer->missing.empty();
        counters_->add(refused ? counter::queries_refused : counter::queries_answered);
        counters_->add(counter::queries_partial, partial ? 1 : 0);
        if (is_search) {
            const auto allowed = std::max<duration>(deadline - started, milliseconds{1});
            const auto lock = std::lock_guard{admission_mutex_};
            admission_.on_finished(allowed);
        }
        done(std::move(result));
    };
}

auto query_engine::refuse_unknown(const std::string& service, const completion& done) -> void
{
    counters_->add(counter::queries_refused);
    const auto known = holder_->version() != 0;
    const auto code = known ? error_code::unknown_service : error_code::no_configuration;
    const auto* what = known ? "no such service" : "no configuration is in force yet";
    done(refusal{{code, service, what}, outcome::not_run});
}

} // namespace knapweedchute
