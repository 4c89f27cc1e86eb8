#pragma once

#include <string>
#include <vector>

namespace knapweedchute::test {

/// \brief A small document of the stand-ins.
struct document
{
    std::string name;
    std::string text;
};

/// \brief Documents of a kind: snow readings, closed slopes, boards and rental slots.
[[nodiscard]] auto sample_documents(std::size_t count) -> std::vector<document>;

/// \brief Number of words of `query` that `text` contains.
[[nodiscard]] auto matched_words(const std::string& text, const std::string& query) -> int;

} // namespace knapweedchute::test
