// The capacity page: the model's tables as Markdown, in sections of a page. A section lies between the lines
// `<!-- capacity:NAME -->` and `<!-- capacity:end -->`. Without I/O: text to text.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "lab/capacity/capacity_model.h"

namespace pearchute::lab::capacity {

struct PageSection {
  std::string name;  // as in its marker
  std::string text;  // Markdown; empty, or lines that each end with a newline
};

// Returns all sections that a page has to have, in order. Without slopes only the sections that follow from
// the target alone have a text. Throws SlopeError if the slopes are unusable.
std::vector<PageSection> page_sections(const Target& target, const std::vector<Slope>& slopes);

// Returns the page with the text of its sections replaced. Throws SettingsError for a section marker that is
// missing, unknown, duplicate or not closed.
std::string rewrite_page(const std::string& page, const std::vector<PageSection>& sections);

// Throws SettingsError, which names the first line that differs, if the page's sections are not these.
void check_page(const std::string& page, const std::vector<PageSection>& sections);

// Formats a number: three significant digits below 100, otherwise a whole number with commas, as "0.0712",
// "1.3", "4,921".
std::string number_text(double value);

}  // namespace pearchute::lab::capacity
