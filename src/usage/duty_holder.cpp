#include <knapweedchute/usage/duty_holder.hpp>

#include <utility>

namespace knapweedchute {
namespace {

/// A claim reaches the candidate of the next rank within it.
constexpr auto rank_delay = milliseconds{700};
constexpr auto retry_interval = milliseconds{300};
/// Renewals within the life of a lease, so that two may be lost.
constexpr auto renewals = 4;
/// Clocks of instance and store may drift apart by one part in this many.
constexpr auto drift_divisor = 20;

} // namespace

duty_holder::duty_holder(std::string instance, std::uint64_t incarnation, duty_limits limits)
    : instance_{std::move(instance)}, incarnation_{incarnation}, limits_{limits}
{
}

auto duty_holder::lease_time() const -> duration
{
    return limits_.lease - limits_.lease / drift_divisor;
}

auto duty_holder::next(duration now, std::size_t rank) -> duty_step
{
    if (busy_ || now < not_before_) {
        return duty_step::none;
    }
    auto step = duty_step::none;
    if (holds()) {
        // Also when the lease may have run out: a store that was down may have kept it, and a
        // renewal succeeds only if it did.
        step = duty_step::renew;
    } else if (!seen_) {
        vacant_since_ = vacant_since_.value_or(now);
        const auto wait = rank_delay * static_cast<std::int64_t>(rank);
        if (now - *vacant_since_ >= wait) {
            step = lease_ != 0 && now < lease_until_ ? duty_step::claim : duty_step::open_lease;
        }
    }
    busy_ = step != duty_step::none;
    begun_ = now;
    return step;
}

auto duty_holder::retry_at(duration when) -> void
{
    busy_ = false;
    not_before_ = when;
}

auto duty_holder::on_lease(duration now, std::optional<std::uint64_t> lease) -> void
{
    retry_at(lease ? now : now + retry_interval);
    lease_ = lease.value_or(0);
    lease_until_ = begun_ + lease_time();
}

auto duty_holder::on_claim(duration now, store_outcome outcome, std::uint64_t revision) -> void
{
    retry_at(now + retry_interval);
    if (outcome == store_outcome::done && !holds()) {
        win(now, revision);
    }
}

auto duty_holder::on_renewal(duration now, store_outcome outcome) -> void
{
    retry_at(now + retry_interval);
    if (outcome == store_outcome::done) {
        lease_until_ = begun_ + lease_time();
        not_before_ = begun_ + limits_.lease / renewals;
    } else if (outcome == store_outcome::refused) {
        on_loss();
    }
}

auto duty_holder::on_holder(duration now, const duty_record& record) -> void
{
    if (seen_ && record.revision < seen_->revision) {
        return;
    }
    seen_ = record;
    vacant_since_.reset();
    const auto own = record.instance == instance_ && record.incarnation == incarnation_;
    if (holds()) {
        if (record.revision > number_) {
            on_loss();
        }
    } else if (own && record.lease == lease_ && lease_ != 0 && now < lease_until_) {
        // The answer to the claim was lost, or is on its way.
        win(now, record.revision);
    }
}

auto duty_holder::on_vacancy() -> void
{
    seen_.reset();
}

auto duty_holder::on_loss() -> void
{
    number_ = 0;
    lease_ = 0;
    if (seen_ && seen_->instance == instance_) {
        seen_.reset();
    }
}

auto duty_holder::win(duration now, std::uint64_t revision) -> void
{
    number_ = revision;
    acts_from_ = now + limits_.quiet;
    vacant_since_.reset();
}

auto duty_holder::may_act(duration now, duration until) const -> bool
{
    return holds() && now >= acts_from_ && until < lease_until_;
}

} // namespace knapweedchute
