#include <knapweedchute/feed/feed_handler.hpp>
#include <knapweedchute/feed/peer_feed_source.hpp>
#include <knapweedchute/relay/refusal_answer.hpp>

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

namespace knapweedchute {
namespace {

constexpr auto status_ok = 200U;
constexpr auto status_not_found = 404U;
constexpr auto status_gone = 410U;
constexpr auto max_wait_ms = std::int64_t{30'000};
/// Reported before the first answered watch; larger than any age at which a cache is used.
constexpr auto max_age = std::chrono::duration_cast<duration>(std::chrono::hours{24});
constexpr auto not_serving = "this instance does not read the store now";
constexpr auto lacks_restoration = "this instance does not know yet that the store is back";

} // namespace

feed_handler::feed_handler(timer_queue& timers, envelope codec)
    : timers_{&timers}, codec_{std::move(codec)}
{
}

auto feed_handler::set_subscriber(feed_subscriber& subscriber) -> void
{
    subscriber_ = &subscriber;
    subscriber.on_change([this] { answer_waiting_peers(); });
}

auto feed_handler::handle(relayed_request request, responder respond) -> std::uint64_t
{
    constexpr auto known_prefix = std::string_view{"/feed/known?"};
    if (subscriber_ != nullptr && request.target.starts_with(known_prefix)) {
        tell_known(request.target.substr(known_prefix.size()), respond);
        return 0;
    }
    const auto* cache = subscriber_ == nullptr ? nullptr : subscriber_->cache_for_peers();
    if (cache == nullptr) {
        respond(not_run_answer(not_serving, duration::zero()));
        return 0;
    }
    subscriber_->record_follower();
    if (request.target == "/feed/all") {
        respond(encode(cache->full_state(), std::nullopt));
        return 0;
    }
    constexpr auto changes_prefix = std::string_view{"/feed/changes?"};
    if (request.target.starts_with(changes_prefix)) {
        return wait_for_changes(request.target.substr(changes_prefix.size()), std::move(respond));
    }
    respond(error_answer(status_not_found, "no such page"));
    return 0;
}

auto feed_handler::wait_for_changes(const std::string& query, responder respond) -> std::uint64_t
{
    auto peer = waiting_peer{};
    auto wait_ms = std::int64_t{0};
    const auto* end = query.data() + query.size();
    // The release before states no era; its position can only be taken for one in this history.
    peer.after.era = subscriber_->position().era;
    const auto parsed_after = std::from_chars(query.data(), end, peer.after.revision);
    if (parsed_after.ptr != end) {
        std::from_chars(parsed_after.ptr + 1, end, wait_ms);
    }
    if (const auto era = query.find(peer_feed_source::era_field); era != std::string::npos) {
        std::from_chars(query.data() + era + peer_feed_source::era_field.size(), end,
                        peer.after.era);
    }
    if (peer.after.era > subscriber_->position().era) {
        subscriber_->hear_era(peer.after.era);
        respond(not_run_answer(lacks_restoration, duration::zero()));
        return 0;
    }
    if (query.ends_with(peer_feed_source::proved_ages)) {
        peer.arrived = subscriber_->uptime();
    }
    wait_ms = std::clamp<std::int64_t>(wait_ms, 0, max_wait_ms);
    // A peer that waits for changes is told as soon as this cache has become too old.
    const auto wait = std::min<duration>(milliseconds{wait_ms}, subscriber_->serving_time_left());
    peer.respond = std::move(respond);
    const auto id = next_id_++;
    peer.timer = timers_->at(timers_->now() + wait, [this, id] { answer_peer(id, true); });
    waiting_.emplace(id, std::move(peer));
    answer_peer(id, false);
    return waiting_.contains(id) ? id : 0;
}

auto feed_handler::tell_known(const std::string& query, const responder& respond) -> void
{
    auto era = std::uint64_t{0};
    std::from_chars(query.data(), query.data() + query.size(), era);
    auto page = subscriber_->known_beyond(era);
    if (page) {
        respond({status_ok, {}, codec_.encode(*page)});
    } else {
        respond(not_run_answer(not_serving, duration::zero()));
    }
}

auto feed_handler::cancel(std::uint64_t request) -> void
{
    if (const auto node = waiting_.extract(request); !node.empty()) {
        timers_->cancel(node.mapped().timer);
    }
}

auto feed_handler::answer_waiting_peers() -> void
{
    auto ids = std::vector<std::uint64_t>{};
    for (const auto& [id, peer] : waiting_) {
        ids.push_back(id);
    }
    for (const auto id : ids) {
        answer_peer(id, false);
    }
}

auto feed_handler::answer_peer(std::uint64_t id, bool even_if_empty) -> void
{
    const auto waiting = waiting_.find(id);
    if (waiting == waiting_.end()) {
        return;
    }
    const auto* cache = subscriber_->cache_for_peers();
    const auto page = cache == nullptr ? std::nullopt : cache->changes_after(waiting->second.after);
    if (page && page->events.empty() && !even_if_empty) {
        return;
    }
    auto node = waiting_.extract(waiting);
    timers_->cancel(node.mapped().timer);
    if (cache == nullptr) {
        node.mapped().respond(not_run_answer(not_serving, duration::zero()));
    } else if (page) {
        node.mapped().respond(encode(*page, node.mapped().arrived));
    } else {
        node.mapped().respond(error_answer(status_gone, "not kept any more"));
    }
}

auto feed_handler::encode(const feed_page& page, std::optional<duration> arrived) const
    -> relayed_answer
{
    auto answer_page = page;
    answer_page.recent_disruption = subscriber_->has_recent_disruption();
    const auto age = std::chrono::ceil<milliseconds>(subscriber_->age().value_or(max_age));
    const auto held = arrived ? std::chrono::floor<milliseconds>(subscriber_->uptime() - *arrived)
                              : milliseconds{0};
    answer_page.age_ms = static_cast<std::uint64_t>((age - held).count());
    return {status_ok, {}, codec_.encode(answer_page)};
}

} // namespace knapweedchute
