#include <knapweedchute/feed/feed_handler.hpp>
#include <knapweedchute/relay/refusal_answer.hpp>

#include <charconv>
#include <utility>
#include <vector>

namespace knapweedchute {
namespace {

constexpr auto status_ok = 200U;
constexpr auto status_not_found = 404U;
constexpr auto status_gone = 410U;
constexpr auto longest_wait_ms = std::int64_t{30'000};
constexpr auto not_fresh = "this instance does not read the store now";

} // namespace

feed_handler::feed_handler(timer_queue& timers, envelope codec)
    : timers_{&timers}, codec_{std::move(codec)}
{
}

auto feed_handler::tell_from(feed_keeper& keeper) -> void
{
    keeper_ = &keeper;
    keeper.on_change([this] { tell_waiting(); });
}

auto feed_handler::handle(relayed_request request, responder respond) -> std::uint64_t
{
    const auto* copy = keeper_ == nullptr ? nullptr : keeper_->copy();
    if (copy == nullptr) {
        respond(not_run_answer(not_fresh, duration::zero()));
        return 0;
    }
    if (request.target == "/feed/all") {
        respond(encode(copy->all()));
        return 0;
    }
    constexpr auto changes = std::string_view{"/feed/changes?"};
    if (request.target.starts_with(changes)) {
        return wait_for_changes(request.target.substr(changes.size()), std::move(respond));
    }
    respond(own_answer(status_not_found, "no such page"));
    return 0;
}

auto feed_handler::wait_for_changes(const std::string& query, responder respond) -> std::uint64_t
{
    auto peer = waiting_peer{};
    auto wait_ms = std::int64_t{0};
    const auto* end = query.data() + query.size();
    const auto first = std::from_chars(query.data(), end, peer.after);
    if (first.ptr != end) {
        std::from_chars(first.ptr + 1, end, wait_ms);
    }
    wait_ms = std::clamp<std::int64_t>(wait_ms, 0, longest_wait_ms);
    peer.respond = std::move(respond);
    const auto id = next_++;
    peer.timer =
        timers_->at(timers_->now() + milliseconds{wait_ms}, [this, id] { tell(id, true); });
    waiting_.emplace(id, std::move(peer));
    tell(id, false);
    return waiting_.contains(id) ? id : 0;
}

auto feed_handler::leave(std::uint64_t request) -> void
{
    if (const auto node = waiting_.extract(request); !node.empty()) {
        timers_->cancel(node.mapped().timer);
    }
}

auto feed_handler::tell_waiting() -> void
{
    auto ids = std::vector<std::uint64_t>{};
    for (const auto& [id, peer] : waiting_) {
        ids.push_back(id);
    }
    for (const auto id : ids) {
        tell(id, false);
    }
}

auto feed_handler::tell(std::uint64_t id, bool even_if_empty) -> void
{
    const auto found = waiting_.find(id);
    if (found == waiting_.end()) {
        return;
    }
    const auto* copy = keeper_->copy();
    const auto page = copy == nullptr ? std::nullopt : copy->since(found->second.after);
    if (page && page->events.empty() && !even_if_empty) {
        return;
    }
    auto node = waiting_.extract(found);
    timers_->cancel(node.mapped().timer);
    if (copy == nullptr) {
        node.mapped().respond(not_run_answer(not_fresh, duration::zero()));
    } else if (page) {
        node.mapped().respond(encode(*page));
    } else {
        node.mapped().respond(own_answer(status_gone, "not kept any more"));
    }
}

auto feed_handler::encode(const feed_page& page) const -> relayed_answer
{
    auto told = page;
    told.unsettled = keeper_->unsettled();
    return {status_ok, {}, codec_.seal(told)};
}

} // namespace knapweedchute
