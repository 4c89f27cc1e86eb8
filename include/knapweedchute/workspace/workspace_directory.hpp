#pragma once

#include <knapweedchute/workspace/key_digest.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace knapweedchute {

/// \brief Owner of requests, known by the keys that callers present.
struct workspace
{
    std::string name;            ///< Unique name, as targets see it.
    std::optional<int> priority; ///< Priority of its requests; replaces that of their routes.

    [[nodiscard]] auto operator==(const workspace&) const -> bool = default;
};

/// \brief A workspace and the digests of its keys.
struct workspace_keys
{
    workspace owner;              ///< The workspace.
    std::vector<key_digest> keys; ///< Digests of the keys that are valid for it.
};

/// \brief The workspaces of one configuration, found by their keys; immutable.
class workspace_directory
{
public:
    /// \param entries A key of several workspaces belongs to the first of them.
    explicit workspace_directory(std::vector<workspace_keys> entries);

    /// \brief Returns the workspace that holds a key.
    /// \returns The workspace, owned by this directory; null if none holds the key.
    [[nodiscard]] auto find(const key_digest& key) const -> const workspace*;

    /// \brief Number of workspaces.
    [[nodiscard]] auto size() const noexcept -> std::size_t { return workspaces_.size(); }

    /// \brief Number of keys of all workspaces.
    [[nodiscard]] auto key_count() const noexcept -> std::size_t { return owners_.size(); }

private:
    std::vector<workspace> workspaces_;
    std::unordered_map<key_digest, std::size_t, key_digest_hash> owners_;
};

} // namespace knapweedchute
