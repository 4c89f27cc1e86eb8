#pragma once

#include <knapweedchute/core/counter_set.hpp>
#include <knapweedchute/entry/entry_settings.hpp>
#include <knapweedchute/net/call_client.hpp>
#include <knapweedchute/net/peer_port.hpp>
#include <knapweedchute/usage/duty_store.hpp>
#include <knapweedchute/usage/window_clock.hpp>
#include <knapweedchute/wire/envelope.hpp>
#include <knapweedchute/workspace/run_observer.hpp>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace knapweedchute {

/// \brief Counts runs, passes the counts to the holder of the duty, and reports them as the holder.
class usage_driver final : public run_observer
{
public:
    /// \param encode Returns the text of a window's report.
    usage_driver(boost::asio::io_context& loop, timer_queue& timers, const usage_settings& settings,
                 peer_port& peers, counter_set& counters, envelope codec,
                 usage_reporter::encoder encode);

    /// \brief Starts to pass counts on and to take part in the duty.
    /// \param store Makes the duty's calls; must outlive the driver.
    auto start(duty_store& store) -> void;

    auto on_run(const target_run& run) -> void override;

    /// \brief Joins a peer's counts.
    /// \param body Signed statement.
    /// \returns Text for the peer: the time on which the instances agree, and the start of this
    ///          process; nothing if the statement is not understood.
    [[nodiscard]] auto accept(const std::string& body) -> std::optional<std::string>;

    /// \name What the store says
    /// @{
    auto on_holder(const duty_record& record) -> void;
    auto on_vacancy() -> void { holder_.on_vacancy(); }
    auto on_content(usage_window window, std::string content) -> void;
    auto on_done(usage_window window, std::uint64_t revision) -> void;
    /// @}

    [[nodiscard]] auto holds() const noexcept -> bool { return holder_.holds(); }
    [[nodiscard]] auto open_windows() const noexcept -> std::size_t
    {
        return ledger_.window_count();
    }

private:
    /// Peer that receives the counts.
    struct recipient
    {
        std::unique_ptr<call_client> client;
        std::uint64_t acknowledged = 0; ///< Latest change that it has.
        std::uint64_t start = 0;        ///< Start of its process.
        bool busy = false;
    };

    auto advance() -> void;
    auto advance_duty() -> void;
    auto advance_report() -> void;
    auto end_report(const report_step& step, store_outcome outcome, std::uint64_t revision) -> void;
    auto log_duty() -> void;
    auto pass_on() -> void;
    auto send_counts(const address& where) -> void;
    auto on_acknowledgement(const address& where, std::uint64_t change,
                            const exchange_result& result) -> void;

    boost::asio::io_context* loop_;
    timer_queue* timers_;
    usage_settings settings_;
    peer_port* peers_;
    counter_set* counters_;
    envelope codec_;
    usage_source source_;
    window_clock clock_;
    usage_ledger ledger_;
    duty_holder holder_;
    usage_reporter reporter_;
    duty_store* store_ = nullptr;
    std::map<address, recipient> recipients_;
    std::set<std::uint64_t> counted_calls_; ///< Latest requests that are counted.
    time_point passed_on_at_;
    std::uint64_t logged_number_ = 0; ///< Number of the own duty that the log told last; 0: none.
    std::uint64_t logged_dropped_ = 0;
};

} // namespace knapweedchute
