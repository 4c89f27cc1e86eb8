#pragma once

#include <knapweedchute/relay/relayed_answer.hpp>

#include <string>

namespace knapweedchute {

/// \brief The HTTP answer as text.
/// \param head_only Leaves the body out, for requests by HEAD.
/// \param close     Says that the connection is closed after this answer.
[[nodiscard]] auto encode_answer(const relayed_answer& answer, bool head_only, bool close)
    -> std::string;

} // namespace knapweedchute
