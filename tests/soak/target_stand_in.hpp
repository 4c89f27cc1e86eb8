#pragma once

#include <knapweedchute/net/caller_listener.hpp>
#include <knapweedchute/net/request_handler.hpp>
#include <knapweedchute/relay/timer_queue.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace knapweedchute::soak {

/// \brief How a target treats requests.
enum class target_mode : std::uint8_t
{
    good,
    slow,   ///< Takes some twenty times as long.
    dark,   ///< Answers nothing.
    full,   ///< Says that it did not run the request.
    failing ///< Runs the request and answers 500.
};

/// \brief How often each request ran, over all targets.
using run_counts = std::map<std::string, int>;

/// \brief One target as entry daemons meet it: identity, proof, records.
class target_stand_in final : public request_handler
{
public:
    /// \param runs Receives every run.
    target_stand_in(timer_queue& timers, std::string id, std::string service, run_counts& runs)
        : timers_{&timers}, id_{std::move(id)}, service_{std::move(service)}, runs_{&runs}
    {
    }

    auto set_mode(target_mode mode) -> void { mode_ = mode; }

    /// \brief Sets how long a request takes, unless the target is slow.
    auto set_usual_time(milliseconds time) -> void { usual_time_ = time; }

    /// \brief When a request arrived last.
    [[nodiscard]] auto last_arrival() const noexcept -> time_point { return last_arrival_; }

    /// \brief Requests that arrived.
    [[nodiscard]] auto arrivals() const noexcept -> std::size_t { return arrivals_; }
    [[nodiscard]] auto id() const noexcept -> const std::string& { return id_; }
    [[nodiscard]] auto service() const noexcept -> const std::string& { return service_; }

    auto handle(relayed_request request, responder respond) -> std::uint64_t override;
    auto cancel(std::uint64_t request) -> void override { open_.erase(request); }
    [[nodiscard]] auto limits() const -> caller_limits override { return {}; }

private:
    auto finish(std::uint64_t number) -> void;

    struct open_request
    {
        std::string id;
        responder respond;
    };

    timer_queue* timers_;
    std::string id_;
    std::string service_;
    run_counts* runs_;
    target_mode mode_ = target_mode::good;
    milliseconds usual_time_{8};
    std::map<std::uint64_t, open_request> open_;
    std::uint64_t next_ = 1;
    time_point last_arrival_;
    std::size_t arrivals_ = 0;
};

/// \brief The records of a service for a request: the same at each of its targets.
[[nodiscard]] auto records_of(const std::string& service, const std::string& request)
    -> std::string;

} // namespace knapweedchute::soak
