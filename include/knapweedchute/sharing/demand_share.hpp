#pragma once

#include <knapweedchute/core/time.hpp>
#include <knapweedchute/sharing/room_loan.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief Times of `demand_share`.
struct share_limits
{
    duration lease = std::chrono::seconds{5};              ///< How long a loan may be used.
    duration lease_slack = std::chrono::milliseconds{500}; ///< For clocks that drift.
    duration window = std::chrono::seconds{10};            ///< Sliding window of the shared limit.
    duration quiet = std::chrono::seconds{10}; ///< Time without want after which room is lent.

    [[nodiscard]] auto operator==(const share_limits&) const -> bool = default;
};

/// \brief Divides a limit that all instances share by demand, without exceeding it together.
///
/// \detail Each instance has what `limit_fraction` says. A part of that, less than the smallest
///         fraction in any role, it lends to instances that ask, while it does not need it. A loan
///         names the count of instances from which the lender derives it; the borrower counts it
///         at the larger of that count and its own, so that it never outweighs what the lender
///         gives up. A borrower counts the time of a loan from its own request, a lender from its
///         later grant: a late, lost or repeated message only leaves room unused. Times are read
///         from a clock that counts suspended time.
class demand_share
{
public:
    /// \brief Lendable part of the limit, as a fraction of an equal part.
    /// \detail Less than `1 - preferred_fraction`, the least that an instance has in any role.
    static constexpr auto lendable_fraction = 0.2;
    /// \brief All of what an instance can lend.
    static constexpr auto whole_permil = std::uint32_t{1'000};
    /// \brief Maximum number of lenders of one borrower.
    static constexpr auto max_lenders = std::size_t{24};
    /// \brief Maximum number of borrowers that a lender knows.
    static constexpr auto max_borrowers = std::size_t{64};
    /// \brief Maximum number of requests for loans that one call of `select_lenders` makes.
    static constexpr auto max_requests = std::size_t{4};

    /// \param self    Name of this instance.
    /// \param started Start of the process; what an earlier one may have lent counts as lent.
    demand_share(std::string self, share_limits limits, duration started);

    /// \brief Sets what `limit_fraction` is derived from.
    /// \param count    Number of instances that share the limit, at least 1.
    /// \param fraction Fraction of the limit that this instance has without demand.
    auto set_members(std::size_t count, double fraction) noexcept -> void;

    /// \brief Records what is used of the limit.
    /// \param used  Highest use within a window that ends now, as a fraction of the whole limit.
    /// \param short_of_room Whether room was refused since the last call.
    auto observe(double used, bool short_of_room, duration now) noexcept -> void;

    /// \brief Selects the instances to ask for a loan now and records the requests.
    /// \param others Names of the other instances that share the limit, ascending.
    /// \returns At most `max_requests` names; none if no room is wanted.
    [[nodiscard]] auto select_lenders(const std::vector<std::string>& others, duration now)
        -> std::vector<std::string>;

    /// \brief Grants a loan if there is room to spare, the same to each that asks.
    /// \returns Loan of at least 1 permil; empty if nothing is lent.
    [[nodiscard]] auto lend(const std::string& borrower, duration now) -> std::optional<room_loan>;

    /// \brief Records a loan.
    /// \param requested_at Time of the request that the lender answers, of this instance's clock.
    auto on_loan(const std::string& lender, room_loan granted, duration requested_at, duration now)
        -> void;

    /// \brief Returns the fraction of the whole limit that this instance may use now.
    [[nodiscard]] auto fraction(duration now) const noexcept -> double;

    /// \brief Returns what no loan takes from this instance, as a fraction of the whole limit.
    [[nodiscard]] auto floor() const noexcept -> double;

    /// \brief Returns the part of `fraction` that is borrowed.
    [[nodiscard]] auto borrowed(duration now) const noexcept -> double;

    /// \brief Returns the fraction of the whole limit that is lent and not yet taken back.
    [[nodiscard]] auto lent(duration now) const noexcept -> double;

private:
    struct lent_part
    {
        double part = 0.0; ///< Fraction of the whole limit.
        duration until{0}; ///< From then on the part may be used here again.
    };

    struct borrower
    {
        duration asked_at{0};
        std::vector<lent_part> parts; ///< Descending, as later loans may be smaller.
    };

    struct request
    {
        duration at{0};
        room_loan loan;
        duration until{0}; ///< End of the loan.
    };

    [[nodiscard]] auto lendable() const noexcept -> double;

    std::string self_;
    share_limits limits_;
    duration earlier_loans_until_;
    duration last_want_;
    std::string last_asked_;
    double used_ = 0.0;
    std::size_t count_ = 1;
    double fraction_ = 1.0; ///< Fraction of the limit without demand.
    bool wants_ = false;
    std::map<std::string, borrower> borrowers_;
    std::map<std::string, request> requests_; ///< By lender.
};

} // namespace knapweedchute
