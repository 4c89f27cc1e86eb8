#include <knapweedchute/net/answer_encoder.hpp>
#include <knapweedchute/net/impl/http_library.hpp>

namespace knapweedchute {
namespace {

namespace http = boost::beast::http;

auto has_no_body(unsigned status) -> bool
{
    return status == static_cast<unsigned>(http::status::no_content) ||
           status == static_cast<unsigned>(http::status::not_modified);
}

} // namespace

auto encode_answer(const relayed_answer& answer, bool head_only, bool close) -> std::string
{
    constexpr auto usual_head_bytes = std::size_t{512};
    const auto body = has_no_body(answer.status) ? std::string_view{} : answer.body;
    const auto reason = http::obsolete_reason(http::int_to_status(answer.status));
    auto text = std::string{};
    text.reserve(usual_head_bytes + (head_only ? 0 : body.size()));
    text.append("HTTP/1.1 ").append(std::to_string(answer.status)).append(" ");
    text.append(reason.data(), reason.size()).append("\r\n");
    for (const auto& field : answer.fields) {
        append_field(text, field.name, field.value);
    }
    if (close) {
        append_field(text, "Connection", "close");
    }
    append_field(text, "Content-Length", std::to_string(body.size()));
    text.append("\r\n");
    return head_only ? text : text.append(body);
}

} // namespace knapweedchute
