#pragma once

#include <knapweedchute/query/query_coordinator.hpp>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace knapweedchute::test {

/// \brief A target as the driver imitates it, without threads or sockets.
struct fake_target
{
    target_spec spec;
    target_report report;
    duration latency = milliseconds{2};
    double straggler_share = 0.0;
    std::int64_t straggler_factor = 20;
    std::int64_t limit = 1'000;         ///< Requests in progress when warm; more are shed.
    std::int64_t cold_requests = 1'000; ///< Requests in progress that it bears when cold.
    duration warmup = milliseconds{1};
    time_point cold_since;
    bool down = false;              ///< Refuses connections.
    bool silent = false;            ///< Never answers.
    bool loses_run_answers = false; ///< Runs requests, then fails.
    std::int64_t in_progress = 0;
    std::int64_t over_bearing = 0; ///< Requests that arrived above what it bears.
    std::uint64_t served = 0;
    std::uint64_t received = 0;
    std::map<std::string, int> executions;

    [[nodiscard]] auto bearing(time_point now) const -> std::int64_t;
};

/// \brief How one request ended in the driver.
struct driven_result
{
    query_key query = 0;
    std::size_t instance = 0;
    time_point started;
    time_point ended;
    time_point deadline;
    double worth = 0.0;
    request_policy policy;
    std::variant<query_answer, std::string, refusal> result;
};

/// \brief Feeds coordinators with fake targets, in virtual time and from one seed.
class coordinator_driver
{
public:
    explicit coordinator_driver(std::uint64_t seed);

    /// \brief Adds a target; returns it for changes during the run.
    auto add_target(fake_target target) -> fake_target&;

    /// \brief Adds a coordinator for one instance.
    auto add_instance(const std::string& name, const std::string& zone, request_policy policy,
                      bool random_choice) -> query_coordinator&;

    /// \brief Gives all coordinators the service and the instances they are to share with.
    auto configure(const service_spec& service, const std::set<std::string>& zones_out) -> void;

    /// \brief Has every coordinator hear every target's report.
    auto report_all() -> void;

    /// \name Requests
    /// @{
    auto search(std::size_t instance, milliseconds deadline, double worth) -> query_key;
    auto run_request_at(std::size_t instance, const std::string& id, milliseconds deadline)
        -> query_key;
    /// @}

    /// \brief Runs `work` at an offset from now.
    auto after(duration delay, std::function<void()> work) -> void;

    /// \brief Advances virtual time.
    auto advance(duration time) -> void;

    [[nodiscard]] auto now() const -> time_point { return now_; }
    [[nodiscard]] auto results() -> std::vector<driven_result>& { return results_; }
    [[nodiscard]] auto counters() const -> const counter_set& { return counters_; }
    [[nodiscard]] auto targets() -> std::map<address, fake_target>& { return targets_; }
    [[nodiscard]] auto coordinator(std::size_t index) -> query_coordinator&
    {
        return *instances_[index].coordinator;
    }

    /// \brief Whether targets stop work that is cancelled; else its answer arrives late.
    bool targets_cancel = false;

    /// \brief Changes answers on their way, for tests of late, crossed or false answers.
    std::function<void(part_answer&)> distort;

private:
    struct driven_instance
    {
        std::string name;
        std::string zone;
        request_policy policy;
        std::unique_ptr<replica_selector> chooser;
        std::unique_ptr<query_coordinator> coordinator;
        std::map<query_key, driven_result> open;
        std::map<attempt_key, fake_target*> running;
        time_point next_tick;
    };

    struct event
    {
        time_point when;
        std::uint64_t order = 0;
        std::function<void()> work;

        auto operator>(const event& other) const -> bool
        {
            return when != other.when ? when > other.when : order > other.order;
        }
    };

    auto execute(std::size_t instance, const action_list& actions) -> void;
    auto carry(std::size_t instance, const send_part& part) -> void;
    auto carry(std::size_t instance, const send_run& run) -> void;
    auto carry(std::size_t instance, const forward_parts& parts) -> void;
    auto carry(std::size_t instance, const cancel_attempt& cancelled) -> void;
    auto carry(std::size_t instance, const answer_query& answer) -> void;
    auto carry(std::size_t instance, const answer_run& answer) -> void;
    auto carry(std::size_t instance, const refuse_query& refused) -> void;
    auto finish(std::size_t instance, query_key query,
                std::variant<query_answer, std::string, refusal> result) -> void;
    auto fail_later(std::size_t instance, attempt_key attempt, attempt_failure failure,
                    duration delay) -> void;
    auto schedule_tick(std::size_t instance) -> void;
    [[nodiscard]] auto way(const driven_instance& from, const fake_target& to) const -> duration;
    [[nodiscard]] auto service_time(const fake_target& target) -> duration;

    std::mt19937_64 random_;
    time_point now_;
    std::uint64_t next_order_ = 0;
    std::uint64_t next_query_ = 1;
    counter_set counters_;
    std::map<address, fake_target> targets_;
    std::vector<driven_instance> instances_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::vector<driven_result> results_;
    std::map<query_key,
             std::function<void(const std::variant<query_answer, std::string, refusal>&)>>
        relays_;
};

/// \brief A service of `shards` shards with `replicas` targets each, spread over zones.
/// \returns The service; its targets are added to the driver with snapshot 1.
[[nodiscard]] auto add_service(coordinator_driver& driver, std::uint32_t shards,
                               std::uint32_t replicas, const fake_target& model) -> service_spec;

} // namespace knapweedchute::test
