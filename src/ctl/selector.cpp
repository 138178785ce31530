#include "ctl/selector.h"

#include <fnmatch.h>

#include <boost/spirit/home/x3.hpp>
#include <vector>

namespace pearchute::ctl {

namespace {

namespace x3 = boost::spirit::x3;
using x3::char_;
using x3::lexeme;
using x3::lit;

using Field = std::function<const std::string*(const Facts&)>;  // null where the instance has no such label

const auto name_char = x3::alnum | char_("-_.:/*?@");
// Matches a keyword, but not a longer name that begins with it.
const auto keyword = [](const char* text) { return lexeme[lit(text) >> !name_char]; };

const auto assign = [](auto& context) { x3::_val(context) = x3::_attr(context); };

const x3::rule<struct FieldRule, Field> field = "a field: name, zone, admin or label.NAME";
const x3::rule<struct LabelRule, std::string> label = "label.NAME";
const x3::rule<struct ValueRule, std::string> value = "a value";
const x3::rule<struct ValuesRule, std::vector<std::string>> values = "values in braces";
const x3::rule<struct TestRule, Selector> test = "a test";
const x3::rule<struct FactorRule, Selector> factor = "a factor";
const x3::rule<struct TermRule, Selector> term = "a term";
const x3::rule<struct ExpressionRule, Selector> expression = "an expression";

template <const std::string Facts::*Member>
void fact(auto& context) {
  x3::_val(context) = [](const Facts& facts) { return &(facts.*Member); };
}
const auto label_of = [](auto& context) {
  x3::_val(context) = [name = x3::_attr(context)](const Facts& facts) -> const std::string* {
    const auto at = facts.labels.find(name);
    return at == facts.labels.end() ? nullptr : &at->second;
  };
};

const auto plain = lexeme[+name_char];
const auto quoted = lexeme['"' >> *(char_ - '"') >> '"'];
const auto label_def = lexeme["label." >> +(x3::alnum | char_("-_"))];
const auto value_def = quoted | plain;
const auto values_def = '{' >> (value % ',') > '}';
const auto field_def = keyword("name")[([](auto& c) { fact<&Facts::name>(c); })] |
                       keyword("zone")[([](auto& c) { fact<&Facts::zone>(c); })] |
                       keyword("admin")[([](auto& c) { fact<&Facts::admin>(c); })] | label[label_of];

// The comparison operators. A test begins with its field: set_field makes it a test for presence, and compare
// or is_in replaces that by the comparison.
enum class Comparison { equal, unequal, matches, matches_not };
struct Operators : x3::symbols<Comparison> {
  Operators() {
    add("=", Comparison::equal)("!=", Comparison::unequal)("~", Comparison::matches)("!~",
                                                                                     Comparison::matches_not);
  }
} const operators;

struct FieldTag;
const auto set_field = [](auto& context) {
  x3::get<FieldTag>(context).get() = x3::_attr(context);
  x3::_val(context) = [field = x3::_attr(context)](const Facts& facts) { return field(facts) != nullptr; };
};
struct OperatorTag;
const auto set_operator = [](auto& context) { x3::get<OperatorTag>(context).get() = x3::_attr(context); };
const auto compare = [](auto& context) {
  x3::_val(context) = [field = x3::get<FieldTag>(context).get(),
                       comparison = x3::get<OperatorTag>(context).get(),
                       value = x3::_attr(context)](const Facts& facts) {
    const std::string* fact = field(facts);
    const bool positive = comparison == Comparison::equal || comparison == Comparison::matches;
    if (!fact) return !positive;
    const bool fits = comparison == Comparison::equal || comparison == Comparison::unequal
                          ? *fact == value
                          : ::fnmatch(value.c_str(), fact->c_str(), 0) == 0;
    return fits == positive;
  };
};
const auto is_in = [](auto& context) {
  x3::_val(context) = [field = x3::get<FieldTag>(context).get(),
                       values = x3::_attr(context)](const Facts& facts) {
    const std::string* fact = field(facts);
    return fact && std::find(values.begin(), values.end(), *fact) != values.end();
  };
};
const auto require_label = [](auto& context) {
  // Only a label is a test without a comparison: the other fields are always present.
  if (x3::get<FieldTag>(context).get()(Facts{}) != nullptr) x3::_pass(context) = false;
};

using Position = std::string::const_iterator;
// Fails with the message "expected ..." where the preceding alternatives do not match.
const auto or_expect = [](const char* expected) {
  return x3::eps[([expected](auto& context) {
    throw x3::expectation_failure<Position>(x3::_where(context).begin(), expected);
  })];
};
constexpr const char* factor_description = "not, ( or a field: name, zone, admin or label.NAME";

const auto test_def = field[set_field] >>
                      ((keyword("in") >> (values[is_in] | or_expect("values in braces"))) |
                       (operators[set_operator] >> (value[compare] | or_expect("a value"))) |
                       x3::eps[require_label]);

const auto negate = [](auto& context) {
  x3::_val(context) = [inner = x3::_attr(context)](const Facts& facts) { return !inner(facts); };
};
const auto both = [](auto& context) {
  x3::_val(context) = [one = x3::_val(context), other = x3::_attr(context)](const Facts& facts) {
    return one(facts) && other(facts);
  };
};
const auto either = [](auto& context) {
  x3::_val(context) = [one = x3::_val(context), other = x3::_attr(context)](const Facts& facts) {
    return one(facts) || other(facts);
  };
};

const auto factor_def = (keyword("not") >> (factor[negate] | or_expect(factor_description))) |
                        ('(' >> (expression[assign] | or_expect(factor_description)) > ')') | test[assign];
const auto term_def = factor[assign] >> *(keyword("and") >> (factor[both] | or_expect(factor_description)));
const auto expression_def = term[assign] >>
                            *(keyword("or") >> (term[either] | or_expect(factor_description)));

BOOST_SPIRIT_DEFINE(field, label, value, values, test, factor, term, expression)

}  // namespace

Selector parse_selector(const std::string& text) {
  // Bounds the recursion depth of the parser.
  constexpr std::size_t max_length = 512;
  if (text.size() > max_length)
    throw SelectorError(max_length, "the selector has " + std::to_string(text.size()) +
                                        " characters; the limit is " + std::to_string(max_length));
  if (text.find_first_not_of(" \t") == std::string::npos) return [](const Facts&) { return true; };
  Selector selector;
  Field current_field;
  Comparison current_operator = Comparison::equal;
  auto at = text.begin();
  const auto parser = x3::with<FieldTag>(
      std::ref(current_field))[x3::with<OperatorTag>(std::ref(current_operator))[expression]];
  const auto column = [&](auto where) {
    while (where != text.end() && (*where == ' ' || *where == '\t')) ++where;
    return static_cast<std::size_t>(where - text.begin()) + 1;
  };
  try {
    if (!x3::phrase_parse(at, text.end(), parser, x3::space, selector))
      throw SelectorError(column(at), std::string("expected ") + factor_description);
  } catch (const x3::expectation_failure<Position>& failure) {
    throw SelectorError(column(failure.where()), "expected " + failure.which());
  }
  if (at != text.end()) throw SelectorError(column(at), "expected 'and', 'or' or the end of the selector");
  return selector;
}

}  // namespace pearchute::ctl
