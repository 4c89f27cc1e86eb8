#pragma once

#include <knapweedchute/relay/relayed_answer.hpp>
#include <knapweedchute/relay/relayed_request.hpp>
#include <knapweedchute/route/route_table.hpp>
#include <knapweedchute/workspace/key_authority.hpp>
#include <knapweedchute/workspace/key_digest.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace knapweedchute {

/// \brief Result of checking the key of a request.
struct authorization
{
    const workspace* owner = nullptr;      ///< Workspace of the request, owned by the table.
    std::optional<key_digest> key;         ///< Key that must be valid at each send.
    std::optional<relayed_answer> refusal; ///< Answer to a request that may not be sent.
};

/// \brief Checks callers' keys and replaces them by the name of their workspace.
class request_authorizer
{
public:
    /// \param workspace_header Header in which targets receive the name of the workspace.
    /// \param digester         Computes the digests by which the configuration names keys.
    /// \param authority        Decides on digests; must outlive this object.
    request_authorizer(std::string workspace_header, const key_digester& digester,
                       const key_authority& authority);

    /// \brief Checks a request that arrives, and removes its key from its fields.
    /// \detail Without workspaces in the table, nothing is checked and nothing changes.
    /// \param table   Active route table.
    /// \param matched Route of the request.
    [[nodiscard]] auto authorize(const route_table& table, const route& matched,
                                 relayed_request& request) const -> authorization;

    /// \brief Decides whether a key of a request in progress is still valid.
    /// \param holder Name of the workspace under which the request is sent.
    [[nodiscard]] auto judge(const key_digest& key, std::string_view holder) const -> key_verdict
    {
        return authority_->judge(key, holder);
    }

    /// \brief Returns the answer to a request of which nothing was sent because of its key.
    [[nodiscard]] auto refusal(key_verdict verdict) const -> relayed_answer;

private:
    std::string workspace_header_;
    const key_digester* digester_;
    const key_authority* authority_;
};

} // namespace knapweedchute
