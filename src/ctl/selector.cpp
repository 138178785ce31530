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

using Field = std::function<const std::string*(const Facts&)>;  // nothing where a label is not there

const auto name_char = x3::alnum | char_("-_.:/*?@");
// A keyword, and not the beginning of a longer name.
const auto keyword = [](const char* text) { return lexeme[lit(text) >> !name_char]; };

const auto keep = [](auto& context) { x3::_val(context) = x3::_attr(context); };

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

// The comparison of the test's field, which `test` holds as "it is there", with what follows.
enum class By { equal, unequal, like, unlike };
struct Operators : x3::symbols<By> {
  Operators() { add("=", By::equal)("!=", By::unequal)("~", By::like)("!~", By::unlike); }
} const operators;

struct FieldTag;
const auto set_field = [](auto& context) {
  x3::get<FieldTag>(context).get() = x3::_attr(context);
  x3::_val(context) = [field = x3::_attr(context)](const Facts& facts) { return field(facts) != nullptr; };
};
struct OperatorTag;
const auto set_operator = [](auto& context) { x3::get<OperatorTag>(context).get() = x3::_attr(context); };
const auto compare = [](auto& context) {
  x3::_val(context) = [field = x3::get<FieldTag>(context).get(), by = x3::get<OperatorTag>(context).get(),
                       value = x3::_attr(context)](const Facts& facts) {
    const std::string* fact = field(facts);
    const bool positive = by == By::equal || by == By::like;
    if (!fact) return !positive;
    const bool fits = by == By::equal || by == By::unequal ? *fact == value
                                                           : ::fnmatch(value.c_str(), fact->c_str(), 0) == 0;
    return fits == positive;
  };
};
const auto among = [](auto& context) {
  x3::_val(context) = [field = x3::get<FieldTag>(context).get(),
                       values = x3::_attr(context)](const Facts& facts) {
    const std::string* fact = field(facts);
    return fact && std::find(values.begin(), values.end(), *fact) != values.end();
  };
};
const auto no_comparison = [](auto& context) {
  // Only a label may stand by itself: the other fields are always there.
  if (x3::get<FieldTag>(context).get()(Facts{}) != nullptr) x3::_pass(context) = false;
};

using Position = std::string::const_iterator;
// What has to come next, in the words of the message where it does not.
const auto or_expect = [](const char* what) {
  return x3::eps[(
      [what](auto& context) { throw x3::expectation_failure<Position>(x3::_where(context).begin(), what); })];
};
constexpr const char* factor_description = "not, ( or a field: name, zone, admin or label.NAME";

const auto test_def = field[set_field] >>
                      ((keyword("in") >> (values[among] | or_expect("values in braces"))) |
                       (operators[set_operator] >> (value[compare] | or_expect("a value"))) |
                       x3::eps[no_comparison]);

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
                        ('(' >> (expression[keep] | or_expect(factor_description)) > ')') | test[keep];
const auto term_def = factor[keep] >> *(keyword("and") >> (factor[both] | or_expect(factor_description)));
const auto expression_def = term[keep] >> *(keyword("or") >> (term[either] | or_expect(factor_description)));

BOOST_SPIRIT_DEFINE(field, label, value, values, test, factor, term, expression)

}  // namespace

Selector selector_in(const std::string& text) {
  // The depth of what it holds is bounded by its length.
  constexpr std::size_t max_length = 512;
  if (text.size() > max_length) throw SelectorError(max_length, "longer than 512 characters");
  if (text.find_first_not_of(" \t") == std::string::npos) return [](const Facts&) { return true; };
  Selector selector;
  Field field_now;
  By operator_now = By::equal;
  auto at = text.begin();
  const auto parser =
      x3::with<FieldTag>(std::ref(field_now))[x3::with<OperatorTag>(std::ref(operator_now))[expression]];
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
  if (at != text.end()) throw SelectorError(column(at), "expected and, or, or the end");
  return selector;
}

}  // namespace pearchute::ctl
