#pragma once

#include <knapweedchute/feed/feed_event.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace knapweedchute {

/// \brief Copy of the keys with their latest changes, from which peers are told.
class feed_cache
{
public:
    /// \brief Most changes that are kept for peers that lag.
    static constexpr auto most_changes = std::size_t{4'096};

    /// \brief Starts over with a whole state.
    auto reset(const std::map<std::string, feed_event>& items, std::uint64_t revision) -> void;

    /// \brief Takes changes over.
    auto apply(const feed_page& page) -> void;

    /// \brief The changes after a revision; nothing if they are not all kept.
    [[nodiscard]] auto since(std::uint64_t after) const -> std::optional<feed_page>;

    /// \brief The whole state.
    [[nodiscard]] auto all() const -> feed_page;

    /// \brief Everything up to here is in; 0 before the first whole state.
    [[nodiscard]] auto revision() const noexcept -> std::uint64_t { return revision_; }

private:
    std::map<std::string, feed_event> items_;
    std::multimap<std::uint64_t, feed_event> changes_;
    std::uint64_t kept_from_ = 0;
    std::uint64_t revision_ = 0;
};

} // namespace knapweedchute
