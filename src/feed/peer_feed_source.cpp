#include <knapweedchute/core/log.hpp>
#include <knapweedchute/feed/peer_feed_source.hpp>

#include <utility>

namespace knapweedchute {
namespace {

constexpr auto read_timeout = milliseconds{1'000};
constexpr auto known_timeout = milliseconds{300};
constexpr auto status_ok = 200U;
constexpr auto status_gone = 410U;

} // namespace

peer_feed_source::peer_feed_source(boost::asio::io_context& loop, timer_queue& timers,
                                   const address& peer, envelope codec, feed_limits limits)
    : client_{loop, timers, peer}, codec_{std::move(codec)},
      watch_margin_{limits.peer_margin()}, proved_{limits.proved()}
{
}

auto peer_feed_source::read(const std::string& /*prefix*/, const std::string& /*after*/,
                            bool /*allow_stale*/, listener done) -> void
{
    call("/feed/all", read_timeout, std::move(done));
}

auto peer_feed_source::watch(feed_position after, milliseconds wait, listener done) -> void
{
    call("/feed/changes?" + std::to_string(after.revision) + "," + std::to_string(wait.count()) +
             std::string{era_field} + std::to_string(after.era) +
             (proved_ ? std::string{proved_ages} : ""),
         wait + watch_margin_, std::move(done));
}

auto peer_feed_source::read_known(std::uint64_t era, const listener& done) -> void
{
    call("/feed/known?" + std::to_string(era), known_timeout, done);
}

auto peer_feed_source::call(const std::string& target, duration timeout, listener done) -> void
{
    client_.call(
        client_.encode("GET", target, ""), timeout,
        [this, done = std::move(done)](const exchange_result& result) {
            if (result.status == exchange_status::answered && result.answer.status == status_gone) {
                done({feed_read_status::history_expired, {}});
                return;
            }
            if (result.status != exchange_status::answered || result.answer.status != status_ok) {
                done(failed_reply(failure_of(result)));
                return;
            }
            auto reason = error{};
            const auto page = codec_.decode<feed_page>(result.answer.body, reason);
            done(page ? feed_reply{feed_read_status::done, *page}
                      : failed_reply(feed_failure::unreadable));
        });
}

} // namespace knapweedchute
