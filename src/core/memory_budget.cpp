#include <knapweedchute/core/memory_budget.hpp>
#include <knapweedchute/core/memory_reservation.hpp>

#include <algorithm>

namespace knapweedchute {

memory_budget::memory_budget(std::size_t limit, counter_set& counters)
    : limit_{limit}, counters_{&counters}
{
}

auto memory_budget::update(memory_reservation& reservation, std::size_t bytes) -> void
{
    if (bytes == 0) {
        remove(reservation);
        return;
    }
    if (reservation.bytes_ == 0) {
        reservation.index_ = reservations_.size();
        reservations_.push_back(&reservation);
    }
    held_ = held_ - reservation.bytes_ + bytes;
    reservation.bytes_ = bytes;
    while (held_ > limit_) {
        evict_largest();
    }
    highest_ = std::max(highest_, held_);
}

auto memory_budget::evict_largest() -> void
{
    auto& largest = **std::max_element(
        reservations_.begin(), reservations_.end(),
        [](const auto* left, const auto* right) { return left->bytes_ < right->bytes_; });
    counters_->add(counter::answers_evicted);
    remove(largest);
    largest.evicted_ = true;
    largest.evict_();
}

auto memory_budget::remove(memory_reservation& reservation) -> void
{
    if (reservation.bytes_ == 0) {
        return;
    }
    held_ -= reservation.bytes_;
    reservation.bytes_ = 0;
    reservations_.back()->index_ = reservation.index_;
    reservations_[reservation.index_] = reservations_.back();
    reservations_.pop_back();
}

} // namespace knapweedchute
