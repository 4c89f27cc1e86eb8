#include "documents.hpp"

#include <array>
#include <sstream>

namespace knapweedchute::test {
namespace {

constexpr auto slopes = std::array{"cedar ridge", "north bowl",     "spring gully",
                                   "old pasture", "eagle shoulder", "mill run"};
constexpr auto boards = std::array{"dune carver", "long glider", "camp cruiser", "twin tip"};

auto describe(std::size_t index) -> std::string
{
    const auto number = std::to_string(index);
    switch (index % 4) {
    case 0:
        return std::string{"snow depth "} + std::to_string(20 + index % 90) + " cm at " +
               slopes.at(index % slopes.size());
    case 1:
        return std::string{"slope closed warning "} + slopes.at(index % slopes.size()) +
               " until further notice";
    case 2:
        return std::string{"board "} + boards.at(index % boards.size()) + " length " +
               std::to_string(120 + index % 60) + " cm with wax kit";
    default:
        return std::string{"rental slot "} + number + " for " + boards.at(index % boards.size()) +
               " at dune camp";
    }
}

} // namespace

auto sample_documents(std::size_t count) -> std::vector<document>
{
    auto list = std::vector<document>{};
    for (auto index = std::size_t{0}; index < count; ++index) {
        list.push_back({"document-" + std::to_string(index), describe(index)});
    }
    return list;
}

auto matched_words(const std::string& text, const std::string& query) -> int
{
    auto words = std::istringstream{query};
    auto word = std::string{};
    auto matched = 0;
    while (words >> word) {
        matched += text.find(word) != std::string::npos ? 1 : 0;
    }
    return matched;
}

} // namespace knapweedchute::test
