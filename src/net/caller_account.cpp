#include <knapweedchute/net/caller_account.hpp>

#include <algorithm>
#include <utility>

namespace knapweedchute {

caller_account::holding::holding(caller_account& account, std::function<void()> end)
    : account_{&account}, end_{std::move(end)}
{
}

caller_account::holding::~holding()
{
    account_->remove(*this);
}

auto caller_account::holding::set(std::size_t bytes, bool in_progress) -> void
{
    in_progress_ = in_progress;
    if (!ended_ && bytes != bytes_) {
        account_->update(*this, bytes);
    }
}

auto caller_account::update(holding& changed, std::size_t bytes) -> void
{
    if (bytes == 0) {
        remove(changed);
        return;
    }
    if (changed.bytes_ == 0) {
        changed.index_ = holdings_.size();
        holdings_.push_back(&changed);
    }
    held_ = held_ - changed.bytes_ + bytes;
    changed.bytes_ = bytes;
    while (held_ > limit_) {
        end_one();
    }
    highest_ = std::max(highest_, held_);
}

auto caller_account::end_one() -> void
{
    const auto rank = [](const holding* one) {
        const auto large = one->bytes_ > small_bytes;
        return std::pair{large ? (one->in_progress_ ? 1 : 2) : 0, one->bytes_};
    };
    auto& first = **std::max_element(
        holdings_.begin(), holdings_.end(),
        [&](const auto* left, const auto* right) { return rank(left) < rank(right); });
    remove(first);
    first.ended_ = true;
    first.end_();
}

auto caller_account::remove(holding& removed) -> void
{
    if (removed.bytes_ == 0) {
        return;
    }
    held_ -= removed.bytes_;
    removed.bytes_ = 0;
    holdings_.back()->index_ = removed.index_;
    holdings_[removed.index_] = holdings_.back();
    holdings_.pop_back();
}

} // namespace knapweedchute
