#pragma once

namespace knapweedchute {

/// \brief Token bucket that limits hedges and retries to a share of ordinary requests.
///
/// \detail There is one budget per service and instance. Each ordinary request adds a fraction of a
///         token. Each hedge spends one, and so does each retry unless the target was not reached,
///         was draining or no longer held the snapshot. Hedges and budgeted retries thus stay a
///         fixed share of the load during an outage as well.
class extra_request_budget
{
public:
    /// \param ratio      Tokens added per ordinary request.
    /// \param max_tokens Maximum number of tokens; also the initial number.
    extra_request_budget(double ratio, double max_tokens) noexcept;

    /// \brief Adds the tokens of one ordinary request.
    auto deposit() noexcept -> void;

    /// \brief Spends one token.
    /// \returns False if less than one token is left.
    [[nodiscard]] auto try_withdraw() noexcept -> bool;

    /// \brief Number of tokens left.
    [[nodiscard]] auto tokens() const noexcept -> double { return tokens_; }

private:
    double ratio_;
    double max_tokens_;
    double tokens_;
};

} // namespace knapweedchute
