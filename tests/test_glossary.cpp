// The names in the code column of docs/glossary.md have to occur as identifiers in the sources.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace {

std::string text_of(const std::filesystem::path& file) {
  std::ifstream in(file);
  EXPECT_TRUE(in) << file << " can't be read";
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

// All identifiers and keywords in the .h and .cpp files below the folder; words in comments don't count.
std::set<std::string> identifiers_below(const std::filesystem::path& folder) {
  std::set<std::string> identifiers;
  const std::regex word("[A-Za-z_][A-Za-z0-9_]*"), comment("//[^\n]*");
  for (const auto& entry : std::filesystem::recursive_directory_iterator(folder)) {
    const std::string extension = entry.path().extension();
    if (extension != ".h" && extension != ".cpp") continue;
    const std::string text = std::regex_replace(text_of(entry.path()), comment, "");
    for (auto at = std::sregex_iterator(text.begin(), text.end(), word); at != std::sregex_iterator(); ++at)
      identifiers.insert(at->str());
  }
  return identifiers;
}

// The cells of one table row, without the text before the first bar and after the last one.
std::vector<std::string> cells_of(const std::string& row) {
  std::vector<std::string> cells;
  std::istringstream in(row);
  std::string cell;
  std::getline(in, cell, '|');
  while (std::getline(in, cell, '|')) cells.push_back(cell);
  return cells;
}

std::vector<std::string> quoted_in(const std::string& cell) {
  std::vector<std::string> names;
  const std::regex quoted("`([^`]+)`");
  for (auto at = std::sregex_iterator(cell.begin(), cell.end(), quoted); at != std::sregex_iterator(); ++at)
    names.push_back(at->str(1));
  return names;
}

constexpr std::size_t code_column = 2, columns = 4;

}  // namespace

TEST(Glossary, NamesInTheCodeColumnOccurInTheSources) {
  const std::set<std::string> identifiers = identifiers_below(SOURCE_FOLDER);
  std::istringstream page(text_of(GLOSSARY));
  std::size_t names_seen = 0;
  for (std::string line; std::getline(page, line);) {
    if (!line.starts_with("| ") || line.starts_with("| --- ") || line.starts_with("| our word ")) continue;
    const std::vector<std::string> cells = cells_of(line);
    ASSERT_EQ(cells.size(), columns) << line;
    const std::vector<std::string> names = quoted_in(cells[code_column]);
    EXPECT_FALSE(names.empty()) << "no name in the code: " << line;
    for (const std::string& name : names) {
      ++names_seen;
      EXPECT_TRUE(identifiers.contains(name)) << "`" << name << "` is not in src/: " << line;
    }
  }
  EXPECT_GT(names_seen, 0U);
}

// Each name in CamelCase on the architecture page has to occur in the sources.
TEST(Architecture, ClassesOccurInTheSources) {
  const std::set<std::string> identifiers = identifiers_below(SOURCE_FOLDER);
  const std::regex camel_case("[A-Z][a-z]+([A-Z][a-z]*)*");
  for (const std::string& name : quoted_in(text_of(ARCHITECTURE))) {
    if (!std::regex_match(name, camel_case)) continue;
    EXPECT_TRUE(identifiers.contains(name)) << "`" << name << "` is not in src/";
  }
}
