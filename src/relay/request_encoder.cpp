#include <knapweedchute/relay/request_encoder.hpp>

namespace knapweedchute {
namespace {

auto needs_length(const relayed_request& request) -> bool
{
    return !request.body.empty() || request.method == "POST" || request.method == "PUT" ||
           request.method == "PATCH";
}

} // namespace

auto encode_request(const relayed_request& request, const header_names& names,
                    const target_record& target, milliseconds time_left) -> std::string
{
    auto text = std::string{};
    text.reserve(512 + request.body.size());
    text.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    append_field(text, "Host", request.host);
    for (const auto& field : request.fields) {
        append_field(text, field.name, field.value);
    }
    append_field(text, names.deadline, std::to_string(time_left.count()));
    append_field(text, names.expected_target, target.id);
    if (needs_length(request)) {
        append_field(text, "Content-Length", std::to_string(request.body.size()));
    }
    return text.append("\r\n").append(request.body);
}

} // namespace knapweedchute
