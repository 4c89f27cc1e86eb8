#pragma once

#include <string>
#include <vector>

namespace knapweedchute::test {

/// \brief Lines of a head whose field name the protocol does not allow; none ends with a line end.
[[nodiscard]] inline auto malformed_field_lines() -> std::vector<std::string>
{
    using namespace std::string_literals;
    return {"X-Odd Name: odd-value",
            "X-Odd : odd-value",
            "X-Odd\t: odd-value",
            " X-Odd: odd-value",
            "\tX-Odd: odd-value",
            "X-Odd\x01: odd-value",
            "\x1fX-Odd: odd-value",
            "X\x7f-Odd: odd-value",
            "X-Odd\v: odd-value",
            "X\0-Odd: odd-value"s,
            "X-Odd\r: odd-value",
            "X-Odd\n: odd-value",
            ": odd-value",
            "X-Odd",
            "Content-Length : 4",
            " Content-Length: 4",
            "Content-Length\x01: 4",
            "Transfer-Encoding : chunked",
            "Transfer-Encoding\t: chunked"};
}

} // namespace knapweedchute::test
