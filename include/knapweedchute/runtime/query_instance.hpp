#pragma once

#include <knapweedchute/runtime/admin_api.hpp>
#include <knapweedchute/runtime/caller_api.hpp>
#include <knapweedchute/runtime/peer_forwarder.hpp>
#include <knapweedchute/runtime/peer_server.hpp>
#include <knapweedchute/runtime/rollout_agent.hpp>
#include <knapweedchute/runtime/store_agent.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

namespace knapweedchute {

/// \brief One complete instance of the system: everything that the daemon runs.
/// \code
/// auto instance = query_instance{values, incarnation, filter};
/// auto reason = error{};
/// if (instance.start(reason)) { /* until a signal */ instance.stop(); }
/// \endcode
class query_instance
{
public:
    /// \param values      Settings of the process.
    /// \param incarnation Number of this start, higher than that of every earlier start.
    /// \param filter      Blocks traffic in tests; must outlive the instance.
    query_instance(const settings& values, std::uint64_t incarnation, const network_filter& filter);
    query_instance(const query_instance&) = delete;
    auto operator=(const query_instance&) -> query_instance& = delete;
    ~query_instance();

    /// \brief Opens the listening addresses and starts the background threads.
    /// \param reason Set if an address cannot be opened.
    /// \returns Whether the instance started.
    [[nodiscard]] auto start(error& reason) -> bool;

    /// \brief Stops gracefully.
    ///
    /// \detail Withdraws the address from the address answers, serves until cached answers have
    ///         expired at the callers, then waits for the requests in progress.
    auto stop() -> void;

    /// \brief Makes a stop skip its waits for callers; requests in progress still finish.
    auto shorten_grace() -> void { grace_shortened_ = true; }

    [[nodiscard]] auto configuration_version() const -> std::uint64_t { return holder_.version(); }
    [[nodiscard]] auto counters() const noexcept -> const counter_set& { return counters_; }
    [[nodiscard]] auto members() const -> std::vector<member> { return peers_.members(); }

private:
    auto reconfigure() -> void;
    auto periodic_loop() -> void;
    auto announce_when_ready() -> void;
    [[nodiscard]] auto serve_peer(const peer_call& call) -> peer_reply;
    [[nodiscard]] auto run_forwarded_search(const peer_call& call) -> std::optional<query_answer>;
    auto wait_while_serving(milliseconds time) -> void;

    settings settings_;
    counter_set counters_;
    envelope codec_;
    configuration_holder holder_;
    peer_caller caller_;
    peer_forwarder forwarder_;
    query_engine engine_;
    rollout_agent rollouts_;
    std::mutex reconfigure_mutex_;
    peer_agent peers_;
    store_agent store_;
    caller_api caller_api_;
    admin_api admin_api_;
    std::atomic<bool> grace_shortened_{false};
    std::atomic<bool> stopped_{false};
    std::unique_ptr<peer_server> peer_server_;
    std::unique_ptr<http_server> caller_server_;
    std::unique_ptr<http_server> admin_server_;
    std::atomic<bool> destroying_{false};
    std::optional<time_point> fresh_since_;
    std::thread periodic_thread_;
};

} // namespace knapweedchute
