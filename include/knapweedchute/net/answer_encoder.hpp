#pragma once

#include <knapweedchute/relay/relayed_answer.hpp>

#include <string>

namespace knapweedchute {

/// \brief Encodes an answer as the text of an HTTP response.
/// \param head_only Omits the body, for HEAD requests.
/// \param close     Adds `Connection: close`.
[[nodiscard]] auto encode_answer(const relayed_answer& answer, bool head_only, bool close)
    -> std::string;

} // namespace knapweedchute
