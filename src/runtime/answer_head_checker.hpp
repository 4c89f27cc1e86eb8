#pragma once

#include <knapweedchute/net/answer_grammar.hpp>

#include <curl/curl.h>

#include <cstddef>
#include <string_view>

namespace knapweedchute::impl {

/// \brief Checks that the head of an answer arrived whole and that its field names are valid.
///
/// \detail libcurl reports success if the connection ends after the status line, with an empty
///         body, and ignores or joins lines whose field name is malformed.
class answer_head_checker
{
public:
    /// \brief Makes a handle report its header lines here, until it is reset or attached anew.
    auto attach(CURL* handle) -> void
    {
        curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, receive_line);
        curl_easy_setopt(handle, CURLOPT_HEADERDATA, this);
    }

    /// \brief Whether the empty line after the head of the final answer was received, and no
    ///        malformed line.
    [[nodiscard]] auto valid() const noexcept -> bool { return complete_ && !malformed_; }

private:
    static auto receive_line(char* data, std::size_t size, std::size_t count, void* checker)
        -> std::size_t
    {
        const auto line = std::string_view{data, size * count};
        static_cast<answer_head_checker*>(checker)->check(line);
        return line.size();
    }

    auto check(std::string_view line) -> void
    {
        const auto begins = line.starts_with("HTTP/");
        const auto ends = line == "\r\n" || line == "\n";
        // An interim answer has a head of its own; trailers follow a complete head.
        complete_ = (complete_ && !begins) || ends;
        malformed_ = malformed_ || (!begins && !ends && !is_field_line(line));
    }

    bool complete_ = false;
    bool malformed_ = false;
};

} // namespace knapweedchute::impl
