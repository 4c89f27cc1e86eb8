#include <knapweedchute/membership/limit_fraction.hpp>
#include <knapweedchute/sharing/demand_share.hpp>

#include <algorithm>
#include <utility>

namespace knapweedchute {
namespace {

/// A loan is renewed twice before it ends, so that one lost message does not end it.
constexpr auto renewals_per_lease = 3;
constexpr auto permil = 1'000.0;

} // namespace

demand_share::demand_share(std::string self, share_limits limits, duration started)
    : self_{std::move(self)}, limits_{limits}, earlier_loans_until_{started + limits.lease +
                                                                    limits.lease_slack +
                                                                    limits.window},
      last_want_{started}, last_asked_{self_}
{
}

auto demand_share::set_members(std::size_t count, double fraction) noexcept -> void
{
    count_ = std::max<std::size_t>(count, 1);
    fraction_ = fraction;
}

auto demand_share::observe(double used, bool short_of_room, duration now) noexcept -> void
{
    used_ = used;
    if (short_of_room) {
        last_want_ = now;
    }
    wants_ = short_of_room || (wants_ && now - last_want_ < limits_.quiet);
}

auto demand_share::select_lenders(const std::vector<std::string>& others, duration now)
    -> std::vector<std::string>
{
    auto selected = std::vector<std::string>{};
    std::erase_if(requests_, [&](const auto& entry) {
        return entry.second.until <= now && now - entry.second.at >= limits_.lease;
    });
    if (!wants_) {
        return selected;
    }
    for (auto& [name, entry] : requests_) {
        const auto due = entry.until > now && now - entry.at >= limits_.lease / renewals_per_lease;
        if (due && selected.size() < max_requests) {
            entry.at = now;
            selected.push_back(name);
        }
    }
    auto next = std::upper_bound(others.begin(), others.end(), last_asked_);
    for (auto visited = std::size_t{0}; visited < others.size(); ++visited) {
        if (selected.size() >= max_requests || requests_.size() >= max_lenders) {
            break;
        }
        next = next == others.end() ? others.begin() : next;
        if (*next != self_ && !requests_.contains(*next)) {
            requests_[*next].at = now;
            selected.push_back(*next);
        }
        last_asked_ = *next++;
    }
    return selected;
}

auto demand_share::lend(const std::string& name, duration now) -> std::optional<room_loan>
{
    if (wants_ || now - last_want_ < limits_.quiet || now < earlier_loans_until_) {
        return std::nullopt;
    }
    for (auto& [other, known] : borrowers_) {
        std::erase_if(known.parts, [&](const auto& part) { return part.until <= now; });
    }
    std::erase_if(borrowers_, [&](const auto& entry) {
        return entry.second.parts.empty() && now - entry.second.asked_at >= limits_.lease;
    });
    if (borrowers_.size() >= max_borrowers && !borrowers_.contains(name)) {
        return std::nullopt;
    }
    auto& known = borrowers_[name];
    known.asked_at = now;
    const auto asking = std::count_if(borrowers_.begin(), borrowers_.end(), [&](const auto& entry) {
        return now - entry.second.asked_at < limits_.lease;
    });
    const auto held = known.parts.empty() ? 0.0 : known.parts.front().part;
    const auto others = lent(now) - held;
    // What was used within the window counts against what is kept.
    const auto spare = std::min(lendable(), fraction_ - used_) - others;
    const auto portion =
        std::min(spare / lendable(), 1.0 / static_cast<double>(asking)) * whole_permil;
    if (portion < 1.0) {
        return std::nullopt;
    }
    const auto granted =
        room_loan{static_cast<std::uint32_t>(portion), static_cast<std::uint32_t>(count_)};
    const auto part = lendable() * granted.permil / permil;
    std::erase_if(known.parts, [&](const auto& earlier) { return earlier.part <= part; });
    known.parts.push_back({part, now + limits_.lease + limits_.lease_slack + limits_.window});
    return granted;
}

auto demand_share::on_loan(const std::string& lender, room_loan granted, duration requested_at,
                           duration now) -> void
{
    const auto entry = requests_.find(lender);
    if (entry == requests_.end() || entry->second.at != requested_at || requested_at > now) {
        return;
    }
    granted.permil = std::min(granted.permil, whole_permil);
    entry->second.loan = granted;
    entry->second.until = requested_at + limits_.lease;
}

auto demand_share::fraction(duration now) const noexcept -> double
{
    // The count may have grown since the loans were granted.
    return std::max(fraction_ - lent(now), floor()) + borrowed(now);
}

auto demand_share::borrowed(duration now) const noexcept -> double
{
    auto total = 0.0;
    for (const auto& [name, entry] : requests_) {
        if (entry.until > now) {
            const auto count = std::max<std::size_t>(entry.loan.count, count_);
            total += lendable_fraction / static_cast<double>(count) * entry.loan.permil / permil;
        }
    }
    return total;
}

auto demand_share::lent(duration now) const noexcept -> double
{
    if (now < earlier_loans_until_) {
        return lendable();
    }
    auto total = 0.0;
    for (const auto& [name, entry] : borrowers_) {
        const auto held = std::find_if(entry.parts.begin(), entry.parts.end(),
                                       [&](const auto& part) { return part.until > now; });
        total += held == entry.parts.end() ? 0.0 : held->part;
    }
    return total;
}

auto demand_share::floor() const noexcept -> double
{
    return (1.0 - preferred_fraction - lendable_fraction) / static_cast<double>(count_);
}

auto demand_share::lendable() const noexcept -> double
{
    return lendable_fraction / static_cast<double>(count_);
}

} // namespace knapweedchute
