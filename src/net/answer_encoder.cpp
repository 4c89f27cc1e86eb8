#include <knapweedchute/net/answer_encoder.hpp>
#include <knapweedchute/net/impl/http_library.hpp>

#include <string_view>

namespace knapweedchute {
namespace {

auto has_no_body(unsigned status) -> bool
{
    constexpr auto no_content = 204U;
    constexpr auto not_modified = 304U;
    return status == no_content || status == not_modified;
}

} // namespace

auto encode_answer(const relayed_answer& answer, bool head_only, bool close) -> std::string
{
    auto text = std::string{};
    text.reserve(512 + answer.body.size());
    const auto reason =
        boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(answer.status));
    text.append("HTTP/1.1 ").append(std::to_string(answer.status)).append(" ");
    text.append(reason.data(), reason.size()).append("\r\n");
    for (const auto& field : answer.fields) {
        text.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    if (!has_no_body(answer.status)) {
        text.append("Content-Length: ").append(std::to_string(answer.body.size())).append("\r\n");
    }
    if (close) {
        text.append("Connection: close\r\n");
    }
    text.append("\r\n");
    if (!head_only && !has_no_body(answer.status)) {
        text.append(answer.body);
    }
    return text;
}

} // namespace knapweedchute
