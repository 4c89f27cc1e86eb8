#include <knapweedchute/runtime/query_engine.hpp>

#include <xxhash.h>

#include <algorithm>
#include <future>
#include <set>
#include <utility>

namespace knapweedchute {
namespace {

constexpr auto request_id_lifetime = std::chrono::minutes{10};

auto make_service_view(const configuration& accepted, const service_spec& service,
                       const std::string& instance, const std::vector<member>& members)
    -> service_view
{
    auto sharing_instances = std::vector<std::string>{};
    auto serving = std::set<std::string>{};
    for (const auto& known : members) {
        // An instance that is dead in this view may still run on the other side of a network
        // partition, so it keeps its share.
        if (known.state != member_state::left) {
            sharing_instances.push_back(known.instance);
        }
        if (known.serving()) {
            serving.insert(known.instance);
        }
    }
    return {service, accepted.file.excluded_zones(), instance, std::move(serving),
            ownership{std::move(sharing_instances)}};
}

} // namespace

query_engine::query_engine(const settings& values, std::uint64_t incarnation,
                           configuration_holder& holder, forwarder& remote, counter_set& counters)
    : settings_{values}, incarnation_{incarnation}, holder_{&holder}, remote_{&remote},
      counters_{&counters}, selector_{values.availability_zone, request_policy{}.zone_penalty},
      admission_{static_cast<std::size_t>(values.max_queries), incarnation},
      ledger_{values.instance, incarnation, message_key{values.key}, request_id_lifetime,
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
        auto& entry = find_or_create_executor(service.name);
        auto view = make_service_view(accepted, service, settings_.instance, members);
        workers_[entry.worker]->post([executor = entry.executor.get(), view = std::move(view)] {
            executor->configure(view, steady_clock::now());
        });
    }
}

auto query_engine::search(search_request request, completion done) -> void
{
    counters_->add(counter::queries_received);
    const auto accepted = holder_->current();
    if (!accepted || accepted->file.find_service(request.service) == nullptr) {
        refuse_unknown_service(request.service, done);
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
    auto finish = track_completion(std::move(done), true, request.deadline);
    const auto* entry = find_executor(request.service);
    workers_[entry->worker]->post(
        [executor = entry->executor.get(), request = std::move(request),
         finish = std::move(finish)] { executor->search(request, finish); });
}

auto query_engine::search_forwarded(const forwarded_request& request, completion done) -> void
{
    const auto* entry = find_executor(request.service);
    if (entry == nullptr) {
        refuse_unknown_service(request.service, done);
        return;
    }
    workers_[entry->worker]->post(
        [executor = entry->executor.get(), request, done = std::move(done)] {
            executor->search_forwarded(request, done);
        });
}

auto query_engine::run(run_request request, completion done) -> void
{
    const auto accepted = holder_->current();
    if (!accepted || accepted->file.find_service(request.service) == nullptr) {
        refuse_unknown_service(request.service, done);
        return;
    }
    auto ledger_result = std::optional<run_ledger::recorded_result>{};
    {
        const auto lock = std::lock_guard{ledger_mutex_};
        ledger_result = ledger_.admit(request.id, steady_clock::now());
    }
    if (ledger_result) {
        counters_->add(counter::runs_refused);
        std::visit([&](auto& value) { done(std::move(value)); }, *ledger_result);
        return;
    }
    auto record = [this, id = request.id, done = std::move(done)](request_result result) {
        auto recorded = run_ledger::recorded_result{};
        if (auto* body = std::get_if<std::string>(&result)) {
            recorded = *body;
        } else if (auto* refused = std::get_if<refusal>(&result)) {
            recorded = *refused;
        }
        {
            const auto lock = std::lock_guard{ledger_mutex_};
            ledger_.record_result(id, std::move(recorded));
        }
        done(std::move(result));
    };
    auto finish = track_completion(std::move(record), false, request.deadline);
    const auto* entry = find_executor(request.service);
    workers_[entry->worker]->post([executor = entry->executor.get(), request = std::move(request),
                                   finish = std::move(finish)] { executor->run(request, finish); });
}

auto query_engine::issue_id() -> std::string
{
    const auto lock = std::lock_guard{ledger_mutex_};
    return ledger_.issue_id(steady_clock::now());
}

auto query_engine::set_new_version_share(const std::string& service, std::int64_t share_permil)
    -> void
{
    if (const auto* entry = find_executor(service); entry != nullptr) {
        entry->executor->set_new_version_share(share_permil);
    }
}

auto query_engine::tallies(const std::string& service, const rollout_spec& rollout) const
    -> std::map<std::string, version_tally>
{
    const auto* entry = find_executor(service);
    return entry == nullptr ? std::map<std::string, version_tally>{}
                            : entry->executor->tallies(rollout);
}

auto query_engine::dump() const -> nlohmann::json
{
    const auto now = steady_clock::now();
    auto services = nlohmann::json::object();
    const auto lock = std::shared_lock{executors_mutex_};
    for (const auto& [name, entry] : executors_) {
        services[name] = entry.executor->dump(now);
    }
    return services;
}

auto query_engine::find_executor(const std::string& service) const -> const executor_entry*
{
    const auto lock = std::shared_lock{executors_mutex_};
    const auto found = executors_.find(service);
    return found == executors_.end() ? nullptr : &found->second;
}

auto query_engine::find_or_create_executor(const std::string& service) -> executor_entry&
{
    const auto lock = std::unique_lock{executors_mutex_};
    auto& entry = executors_[service];
    if (!entry.executor) {
        const auto hash = XXH3_64bits(service.data(), service.size());
        entry.worker = executors_.size() % workers_.size();
        entry.executor =
            std::make_unique<service_executor>(*workers_[entry.worker], *remote_, request_policy{},
                                               selector_, *counters_, incarnation_ ^ hash);
    }
    return entry;
}

auto query_engine::tick(std::size_t worker, time_point now) -> std::optional<time_point>
{
    const auto fresh_until = holder_->fresh_until();
    auto next = std::optional<time_point>{};
    const auto lock = std::shared_lock{executors_mutex_};
    for (auto& [name, entry] : executors_) {
        if (entry.worker != worker) {
            continue;
        }
        entry.executor->allow_requests_until(fresh_until);
        const auto due = entry.executor->tick(now);
        next = next ? std::min(*next, due) : due;
    }
    return next;
}

auto query_engine::track_completion(completion done, bool is_search, time_point deadline)
    -> completion
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

auto query_engine::refuse_unknown_service(const std::string& service, const completion& done)
    -> void
{
    counters_->add(counter::queries_refused);
    const auto has_configuration = holder_->version() != 0;
    const auto code =
        has_configuration ? error_code::unknown_service : error_code::no_configuration;
    const auto* what = has_configuration ? "no such service" : "no configuration is in force yet";
    done(refusal{{code, service, what}, outcome::not_run});
}

} // namespace knapweedchute
