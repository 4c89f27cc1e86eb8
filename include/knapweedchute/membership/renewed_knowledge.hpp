#pragma once

#include <knapweedchute/core/time.hpp>

namespace knapweedchute {

/// \brief Tells whether knowledge that is renewed periodically may still be acted on.
///
/// \detail For processes that are paused or suspended: what an instance may do on its own follows
///         from the members that it knows, and others may have taken over meanwhile. The check is
///         made when the permission is used, not by a timer, which a pause delays as well. Times
///         are read from a clock that counts suspended time.
class renewed_knowledge
{
public:
    /// \param max_age  Age from which the knowledge is out of date.
    /// \param recovery Time after a gap in the renewals until peers have been heard again.
    renewed_knowledge(duration max_age, duration recovery) : max_age_{max_age}, recovery_{recovery}
    {
    }

    /// \brief Records that the knowledge was renewed.
    auto renew(duration now) noexcept -> void
    {
        if (renewed_ && now - renewed_at_ > max_age_) {
            valid_from_ = now + recovery_;
        }
        renewed_ = true;
        renewed_at_ = now;
    }

    /// \brief Whether the knowledge may be acted on.
    [[nodiscard]] auto valid(duration now) const noexcept -> bool
    {
        return renewed_ && now - renewed_at_ <= max_age_ && now >= valid_from_;
    }

private:
    duration max_age_;
    duration recovery_;
    duration renewed_at_{0};
    duration valid_from_{0};
    bool renewed_ = false;
};

} // namespace knapweedchute
