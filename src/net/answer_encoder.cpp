#include "message_text.hpp"

#include <knapweedchute/net/answer_encoder.hpp>

#include <utility>

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
    auto message = http::response<http::string_body>{};
    message.version(impl::http_1_1);
    message.result(answer.status);
    for (const auto& field : answer.fields) {
        message.insert(field.name, field.value);
    }
    if (close) {
        message.set(http::field::connection, "close");
    }
    if (!has_no_body(answer.status)) {
        message.body() = answer.body;
    }
    return impl::serialize_message(std::move(message), head_only);
}

} // namespace knapweedchute
