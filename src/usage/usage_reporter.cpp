#include <knapweedchute/usage/usage_reporter.hpp>

#include <algorithm>
#include <utility>

namespace knapweedchute {
namespace {

constexpr auto max_leftovers = std::size_t{16};

} // namespace

auto usage_reporter::next(duration now, const window_clock& clock, const usage_ledger& ledger)
    -> report_step
{
    using kind = report_step::kind;
    if (current_.what != kind::none || now < not_before_) {
        return {};
    }
    const auto counted = ledger.first_window();
    const auto settled = counted && !is_done(*counted) &&
                         clock.unix_at(now) >= clock.end_of(*counted) + limits_.settle;
    const auto stored = contents_.empty() ? std::nullopt : std::optional{contents_.begin()->first};
    auto step = report_step{kind::none, 0, {}, done_revision_, {}};
    if (settled && (!stored || *counted < *stored)) {
        step.what = kind::store;
        step.window = *counted;
        step.content = encode_(*counted, ledger.totals(*counted));
    } else if (stored && sent_ == stored) {
        step.what = kind::close;
        step.window = *stored;
        step.remove = leftovers_;
        step.remove.push_back(*stored);
    } else if (stored) {
        step.what = kind::send;
        step.window = *stored;
        step.content = contents_.begin()->second;
    }
    current_ = step;
    return step;
}

auto usage_reporter::on_end(duration now, store_outcome outcome, std::uint64_t revision) -> void
{
    using kind = report_step::kind;
    const auto step = std::exchange(current_, {});
    not_before_ = now + (outcome == store_outcome::done ? limits_.pause : limits_.retry);
    if (outcome != store_outcome::done) {
        return;
    }
    if (step.what == kind::store) {
        on_content(step.window, step.content);
    } else if (step.what == kind::send) {
        sent_ = step.window;
    } else if (step.what == kind::close) {
        on_done(step.window, revision);
        std::erase_if(leftovers_, [&](auto window) {
            return std::find(step.remove.begin(), step.remove.end(), window) != step.remove.end();
        });
    }
}

auto usage_reporter::on_content(usage_window window, std::string content) -> void
{
    if (!is_done(window)) {
        contents_.insert_or_assign(window, std::move(content));
    } else if (leftovers_.size() < max_leftovers &&
               std::find(leftovers_.begin(), leftovers_.end(), window) == leftovers_.end()) {
        leftovers_.push_back(window);
    }
}

auto usage_reporter::on_done(usage_window window, std::uint64_t revision) -> void
{
    if (revision < done_revision_) {
        return;
    }
    done_revision_ = revision;
    done_ = std::max(done_.value_or(window), window);
    contents_.erase(contents_.begin(), contents_.upper_bound(*done_));
}

} // namespace knapweedchute
