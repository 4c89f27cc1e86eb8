#include <knapweedchute/core/boot_time.hpp>
#include <knapweedchute/core/log.hpp>
#include <knapweedchute/usage/usage_driver.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>
#include <vector>

namespace knapweedchute {
namespace {

constexpr auto advance_interval = milliseconds{200};
/// A killed instance loses what it counted since it last passed counts on.
constexpr auto pass_on_interval = milliseconds{800};
/// By then an instance knows the members of its fleet and the holder.
constexpr auto join_time = seconds{3};
constexpr auto peer_timeout = milliseconds{1'000};
/// A report is sent only if the lease outlives its call.
constexpr auto report_timeout = milliseconds{1'500};
/// Requests that may still be in progress; ids of requests grow.
constexpr auto max_counted_calls = std::size_t{20'000};
constexpr auto max_rows = std::size_t{200'000};
constexpr auto status_ok = 200U;
constexpr auto counts_path = "/usage/counts";
/// Own calls are kept at this fraction of the rate that the platform accepts.
constexpr auto rate_divisor = 2.0;
const auto log_line = logger{"usage"};

auto wall_clock() -> milliseconds
{
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

auto duty_limits_of(const usage_settings& settings) -> duty_limits
{
    return {std::max(settings.lease, settings.min_lease), settings.lease};
}

auto report_limits_of(const usage_settings& settings) -> report_limits
{
    auto limits = report_limits{};
    limits.settle = std::min(limits.settle, settings.late * 3 / 10);
    limits.pause = std::chrono::ceil<milliseconds>(
        std::chrono::duration<double>(rate_divisor / settings.calls_per_second));
    limits.retry = std::max(limits.retry, limits.pause);
    return limits;
}

} // namespace

usage_driver::usage_driver(boost::asio::io_context& loop, timer_queue& timers,
                           const usage_settings& settings, peer_port& peers, counter_set& counters,
                           envelope codec, usage_reporter::encoder encode)
    : loop_{&loop}, timers_{&timers}, settings_{settings}, peers_{&peers}, counters_{&counters},
      codec_{std::move(codec)}, source_{peers.self().instance, peers.self().incarnation},
      clock_{settings.window, wall_clock(), boot_time()}, ledger_{source_, max_rows},
      holder_{source_.instance, source_.incarnation, duty_limits_of(settings)},
      reporter_{report_limits_of(settings), std::move(encode)}
{
}

auto usage_driver::start(duty_store& store) -> void
{
    store_ = &store;
    timers_->at(timers_->now() + join_time, [this] { advance(); });
}

auto usage_driver::on_run(const target_run& run) -> void
{
    // Parts, retries and hedges of one request count once.
    if (run.workspace.empty() || !counted_calls_.insert(run.call).second) {
        return;
    }
    if (counted_calls_.size() > max_counted_calls) {
        counted_calls_.erase(counted_calls_.begin());
    }
    const auto sent = boot_time() - (timers_->now() - run.sent);
    if (!ledger_.add(clock_.window_at(sent), run.workspace)) {
        counters_->add(counter::usage_runs_late);
    }
}

auto usage_driver::accept(const std::string& body) -> std::optional<std::string>
{
    auto reason = error{};
    const auto statement = codec_.decode<usage_statement>(body, reason);
    if (!statement) {
        log_line.warning("Counts not understood.", {{"reason", to_string(reason)}});
        return std::nullopt;
    }
    const auto now = boot_time();
    ledger_.merge(*statement, clock_.window_at(now) + 1);
    clock_.on_statement(statement->source.instance, milliseconds{statement->unix_ms}, now);
    clock_.correct(clock_.agreed_at(now), now);
    return std::to_string(clock_.unix_at(now).count()) + " " + std::to_string(source_.incarnation);
}

auto usage_driver::on_holder(const duty_record& record) -> void
{
    const auto& before = holder_.seen();
    if (!before || before->revision < record.revision) {
        log_line.info("Holder changed.",
                      {{"holder", record.instance}, {"number", std::to_string(record.revision)}});
    }
    holder_.on_holder(boot_time(), record);
}

auto usage_driver::on_content(usage_window window, std::string content) -> void
{
    reporter_.on_content(window, std::move(content));
}

auto usage_driver::on_done(usage_window window, std::uint64_t revision) -> void
{
    reporter_.on_done(window, revision);
    ledger_.close_through(*reporter_.done());
}

auto usage_driver::advance() -> void
{
    const auto now = timers_->now();
    advance_duty();
    advance_report();
    if (now - passed_on_at_ >= pass_on_interval) {
        passed_on_at_ = now;
        pass_on();
    }
    counters_->add(counter::usage_rows_dropped,
                   ledger_.rows_dropped() - std::exchange(logged_dropped_, ledger_.rows_dropped()));
    timers_->at(now + advance_interval, [this] { advance(); });
}

auto usage_driver::advance_duty() -> void
{
    const auto members = peers_->members();
    const auto rank = std::count_if(members.begin(), members.end(), [&](const auto& peer) {
        return peer.serving() && peer.instance < source_.instance;
    });
    const auto step = holder_.next(boot_time(), static_cast<std::size_t>(rank));
    if (step == duty_step::open_lease) {
        store_->open_lease(duty_limits_of(settings_).lease, [this](auto lease) {
            holder_.on_lease(boot_time(), lease);
            advance_duty();
        });
    } else if (step == duty_step::claim) {
        store_->claim({source_.instance, source_.incarnation, holder_.lease(), 0},
                      [this](auto outcome, auto revision) {
                          holder_.on_claim(boot_time(), outcome, revision);
                          log_duty();
                      });
    } else if (step == duty_step::renew) {
        store_->renew(holder_.lease(), [this](auto outcome, auto /*revision*/) {
            holder_.on_renewal(boot_time(), outcome);
        });
    }
    log_duty();
}

auto usage_driver::log_duty() -> void
{
    const auto before = std::exchange(logged_number_, holder_.number());
    if (before == logged_number_) {
        return;
    }
    if (before != 0) {
        log_line.warning("Duty lost.", {{"number", std::to_string(before)}});
    }
    if (logged_number_ != 0) {
        log_line.info("Duty taken.", {{"number", std::to_string(logged_number_)}});
    }
}

auto usage_driver::advance_report() -> void
{
    const auto now = boot_time();
    if (!holder_.may_act(now, now + report_timeout)) {
        return;
    }
    const auto step = reporter_.next(now, clock_, ledger_);
    auto done = [this, step](auto outcome, auto revision) { end_report(step, outcome, revision); };
    switch (step.what) {
    case report_step::kind::none:
        break;
    case report_step::kind::store:
        store_->store_content(step, holder_.number(), std::move(done));
        break;
    case report_step::kind::send:
        store_->send(step, source_.instance, holder_.number(), report_timeout, std::move(done));
        break;
    case report_step::kind::close:
        store_->close(step, holder_.number(), std::move(done));
        break;
    }
}

auto usage_driver::end_report(const report_step& step, store_outcome outcome,
                              std::uint64_t revision) -> void
{
    reporter_.on_end(boot_time(), outcome, revision);
    if (step.what == report_step::kind::send && outcome == store_outcome::done) {
        const auto age = clock_.unix_at(boot_time()) - clock_.end_of(step.window);
        counters_->add(counter::usage_windows_sent);
        counters_->add(counter::usage_windows_late, age > settings_.late ? 1 : 0);
        log_line.info("Window reported.", {{"window", std::to_string(step.window)},
                                           {"number", std::to_string(holder_.number())},
                                           {"after_ms", std::to_string(age.count())},
                                           {"bytes", std::to_string(step.content.size())}});
    } else if (outcome != store_outcome::done) {
        constexpr auto names = std::array{"none", "store", "send", "close"};
        log_line.warning("Report held up.",
                         {{"window", std::to_string(step.window)},
                          {"step", names.at(static_cast<std::size_t>(step.what))},
                          {"refused", outcome == store_outcome::refused ? "true" : "false"}});
    }
    if (reporter_.done()) {
        ledger_.close_through(*reporter_.done());
    }
}

auto usage_driver::pass_on() -> void
{
    // The second recipient has the counts of all when the holder is gone.
    constexpr auto max_recipients = std::size_t{2};
    const auto& seen = holder_.seen();
    auto members = peers_->members();
    std::erase_if(members, [](const auto& peer) { return !peer.serving(); });
    std::sort(members.begin(), members.end(), [&](const auto& a, const auto& b) {
        const auto a_holds = seen && a.instance == seen->instance;
        const auto b_holds = seen && b.instance == seen->instance;
        return a_holds != b_holds ? a_holds : a.instance < b.instance;
    });
    members.resize(std::min(members.size(), max_recipients));
    for (const auto& peer : members) {
        if (peer.instance != source_.instance) {
            send_counts(peer.peer_address);
        }
    }
}

auto usage_driver::send_counts(const address& where) -> void
{
    auto& to = recipients_[where];
    auto statement = ledger_.changes_after(to.acknowledged);
    if (to.busy || statement.rows.empty()) {
        return;
    }
    if (!to.client) {
        to.client = std::make_unique<call_client>(*loop_, *timers_, where);
    }
    to.busy = true;
    statement.unix_ms = clock_.unix_at(boot_time()).count();
    to.client->call(to.client->encode("POST", counts_path, codec_.encode(statement)), peer_timeout,
                    [this, where, change = statement.change](const auto& result) {
                        on_acknowledgement(where, change, result);
                    });
}

auto usage_driver::on_acknowledgement(const address& where, std::uint64_t change,
                                      const exchange_result& result) -> void
{
    auto& to = recipients_[where];
    to.busy = false;
    if (result.status != exchange_status::answered || result.answer.status != status_ok) {
        return;
    }
    auto unix_ms = std::int64_t{0};
    auto start = std::uint64_t{0};
    const auto& text = result.answer.body;
    const auto* const end = text.data() + text.size();
    const auto time_end = std::from_chars(text.data(), end, unix_ms);
    if (time_end.ec != std::errc{} || time_end.ptr == end ||
        std::from_chars(time_end.ptr + 1, end, start).ec != std::errc{}) {
        return;
    }
    // A process that was started anew has lost what its predecessor had.
    to.acknowledged = to.start == start || to.start == 0 ? change : 0;
    to.start = start;
    clock_.correct(milliseconds{unix_ms}, boot_time());
}

} // namespace knapweedchute
