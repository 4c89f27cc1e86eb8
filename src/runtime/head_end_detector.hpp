#pragma once

#include <curl/curl.h>

#include <cstddef>
#include <string_view>

namespace knapweedchute::impl {

/// \brief Detects whether the head of an answer arrived whole.
///
/// \detail libcurl reports success if the connection ends after the status line, with an empty
/// body.
class head_end_detector
{
public:
    /// \brief Makes a handle report its header lines here, until it is reset or attached anew.
    auto attach(CURL* handle) -> void
    {
        curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, receive_line);
        curl_easy_setopt(handle, CURLOPT_HEADERDATA, this);
    }

    /// \brief Whether the empty line after the head of the final answer was received.
    [[nodiscard]] auto complete() const noexcept -> bool { return complete_; }

private:
    static auto receive_line(char* data, std::size_t size, std::size_t count, void* detector)
        -> std::size_t
    {
        const auto line = std::string_view{data, size * count};
        auto& complete = static_cast<head_end_detector*>(detector)->complete_;
        // An interim answer has a head of its own; trailers follow a complete head.
        complete = (complete && !line.starts_with("HTTP/")) || line == "\r\n" || line == "\n";
        return line.size();
    }

    bool complete_ = false;
};

} // namespace knapweedchute::impl
