// The capacity page: the model's tables as Markdown, and the sections of a page that hold them, between
// `<!-- capacity:NAME -->` and `<!-- capacity:end -->`, each marker alone on its line. Pure: text to text.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "lab/capacity/capacity_model.h"

namespace pearchute::lab::capacity {

struct PageSection {
  std::string name;  // as in its marker
  std::string text;  // Markdown; empty, or lines that each end
};

// All sections that a page has to have, in order. Without slopes only those worked out of the target alone
// have a text.
std::vector<PageSection> page_sections(const Target& target, const std::vector<Slope>& slopes);

// The page with its sections replaced. Throws SettingsError for a marker that is missing, not known, twice
// there or not closed.
std::string rewrite_page(const std::string& page, const std::vector<PageSection>& sections);

// Throws SettingsError that names the section and its first line which is not what was worked out.
void check_page(const std::string& page, const std::vector<PageSection>& sections);

// Three significant digits, with commas: "0.0712", "1.3", "4,921".
std::string number_text(double value);

}  // namespace pearchute::lab::capacity
