#include <knapweedchute/core/memory_budget.hpp>
#include <knapweedchute/core/memory_reservation.hpp>

#include <utility>

namespace knapweedchute {

memory_reservation::memory_reservation(memory_budget& budget, eviction_handler evict)
    : budget_{&budget}, evict_{std::move(evict)}
{
}

memory_reservation::~memory_reservation()
{
    resize(0);
}

auto memory_reservation::resize(std::size_t bytes) -> void
{
    const auto counted = bytes < min_reserved ? 0 : bytes;
    if (!evicted_ && counted != bytes_) {
        budget_->update(*this, counted);
    }
}

} // namespace knapweedchute
