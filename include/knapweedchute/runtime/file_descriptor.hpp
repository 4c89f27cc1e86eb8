#pragma once

#include <unistd.h>

#include <utility>

namespace knapweedchute {

/// \brief Owner of an open file descriptor.
class file_descriptor
{
public:
    file_descriptor() noexcept = default;
    explicit file_descriptor(int value) noexcept : value_{value} {}
    file_descriptor(const file_descriptor&) = delete;
    file_descriptor(file_descriptor&& other) noexcept : value_{std::exchange(other.value_, -1)} {}
    auto operator=(const file_descriptor&) -> file_descriptor& = delete;

    auto operator=(file_descriptor&& other) noexcept -> file_descriptor&
    {
        reset();
        value_ = std::exchange(other.value_, -1);
        return *this;
    }

    ~file_descriptor() { reset(); }

    /// \brief The descriptor, or -1 if there is none.
    [[nodiscard]] auto value() const noexcept -> int { return value_; }

    /// \brief Whether there is a descriptor.
    [[nodiscard]] explicit operator bool() const noexcept { return value_ >= 0; }

private:
    auto reset() noexcept -> void
    {
        if (value_ >= 0) {
            ::close(value_);
        }
        value_ = -1;
    }

    int value_ = -1;
};

} // namespace knapweedchute
