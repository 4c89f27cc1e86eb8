#include <knapweedchute/workspace/workspace_directory.hpp>

#include <utility>

namespace knapweedchute {

workspace_directory::workspace_directory(std::vector<workspace_keys> entries)
{
    workspaces_.reserve(entries.size());
    for (auto& entry : entries) {
        for (const auto& key : entry.keys) {
            owners_.emplace(key, workspaces_.size());
        }
        workspaces_.push_back(std::move(entry.owner));
    }
}

auto workspace_directory::find(const key_digest& key) const -> const workspace*
{
    const auto found = owners_.find(key);
    return found == owners_.end() ? nullptr : &workspaces_[found->second];
}

} // namespace knapweedchute
