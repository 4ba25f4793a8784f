#include "libs/config/internal/json_reader.h"

#include <algorithm>
#include <limits>
#include <sstream>

namespace cornelplank::config {
namespace {

constexpr size_t kMaxStringBytes = 256;

template <typename T>
std::string RangeText(std::string_view kind, T low, T high) {
  std::ostringstream text;
  text << "must be a " << kind << " from " << low << " to " << high;
  return text.str();
}

void AppendToken(std::string* pointer, std::string_view token) {
  *pointer += '/';
  for (const char c : token) {
    if (c == '~') {
      *pointer += "~0";
    } else if (c == '/') {
      *pointer += "~1";
    } else {
      *pointer += c;
    }
  }
}

}  // namespace

std::optional<Json> ParseJson(std::string_view text, ConfigReason* reason) {
  if (base::IsTooDeep(text)) {
    base::SetReason(reason, ConfigCode::kMalformed, "the JSON is nested too deeply");
    return std::nullopt;
  }
  try {
    return Json::parse(text);
  } catch (const Json::exception& error) {
    base::SetReason(reason, ConfigCode::kMalformed, std::string("not JSON: ") + error.what());
  }
  return std::nullopt;
}

std::string JsonPath::ToPointer() const {
  if (parent == nullptr) return "";
  std::string text = parent->ToPointer();
  AppendToken(&text, token);
  return text;
}

std::string JoinPointer(std::initializer_list<std::string_view> tokens) {
  std::string text;
  for (const std::string_view token : tokens) AppendToken(&text, token);
  return text;
}

ObjectReader::ObjectReader(const Json& value, const JsonPath& path, Faults* faults)
    : value_(value), path_(path), faults_(faults), ok_(value.is_object()) {
  if (!ok_) faults_->push_back({path_.ToPointer(), "must be an object"});
}

void ObjectReader::AddFault(std::string_view key, std::string problem) {
  faults_->push_back({JsonPath{&path_, key}.ToPointer(), std::move(problem)});
}

const Json* ObjectReader::Find(std::string_view key) {
  known_.push_back(key);
  if (!ok_) return nullptr;
  const auto found = value_.find(key);
  return found == value_.end() ? nullptr : &*found;
}

const Json* ObjectReader::Require(std::string_view key) {
  const Json* field = Find(key);
  if (field == nullptr && ok_) AddFault(key, "is required");
  return field;
}

std::string ObjectReader::RequiredName(std::string_view key) {
  const Json* field = Require(key);
  if (field == nullptr) return "";
  const auto* text = field->get_ptr<const std::string*>();
  if (text != nullptr && IsName(*text)) return *text;
  AddFault(key, "must be a name");
  return "";
}

std::string ObjectReader::RequiredText(std::string_view key) {
  const Json* field = Require(key);
  if (field == nullptr) return "";
  const auto* text = field->get_ptr<const std::string*>();
  const auto is_control = [](char c) { return static_cast<unsigned char>(c) < 0x20; };
  if (text != nullptr && text->size() <= kMaxStringBytes &&
      std::none_of(text->begin(), text->end(), is_control)) {
    return *text;
  }
  AddFault(key, "must be a string of at most 256 bytes without control characters");
  return "";
}

std::string ObjectReader::RequiredAddress(std::string_view key) {
  const Json* field = Require(key);
  if (field == nullptr) return "";
  const auto* text = field->get_ptr<const std::string*>();
  if (text != nullptr && IsAddress(*text)) return *text;
  AddFault(key, "must be IP:PORT");
  return "";
}

int64_t ObjectReader::Integer(std::string_view key, std::optional<int64_t> fallback, int64_t low,
                              int64_t high) {
  const Json* field = fallback ? Find(key) : Require(key);
  if (field == nullptr) return fallback.value_or(low);
  const bool fits = field->is_number_integer() &&
                    (!field->is_number_unsigned() ||
                     field->get<uint64_t>() <= static_cast<uint64_t>(std::numeric_limits<int64_t>::max()));
  if (fits) {
    const auto value = field->get<int64_t>();
    if (value >= low && value <= high) return value;
  }
  AddFault(key, RangeText("whole number", low, high));
  return fallback.value_or(low);
}

uint64_t ObjectReader::Unsigned(std::string_view key) {
  const Json* field = Require(key);
  if (field == nullptr) return 0;
  if (field->is_number_unsigned()) return field->get<uint64_t>();
  AddFault(key, "must be a whole number of at most 64 bits");
  return 0;
}

double ObjectReader::Number(std::string_view key, std::optional<double> fallback, double low, double high) {
  const Json* field = fallback ? Find(key) : Require(key);
  if (field == nullptr) return fallback.value_or(low);
  if (field->is_number()) {
    // Adding zero turns -0.0 into 0.0: the two are equal but would be written differently.
    const double value = field->get<double>() + 0.0;
    if (value >= low && value <= high) return value;
  }
  AddFault(key, RangeText("number", low, high));
  return fallback.value_or(low);
}

bool ObjectReader::Flag(std::string_view key, bool fallback) {
  const Json* field = Find(key);
  if (field == nullptr) return fallback;
  if (field->is_boolean()) return field->get<bool>();
  AddFault(key, "must be true or false");
  return fallback;
}

std::vector<std::string> ObjectReader::Names(std::string_view key, bool required) {
  std::vector<std::string> names;
  const Json* list = Find(key);
  if (list != nullptr && list->is_array() && list->size() > kMaxNames) {
    AddFault(key, "lists more than " + std::to_string(kMaxNames) + " names");
    return names;
  }
  ForEachElement(this, key, required, faults_, [&](const Json& value, const JsonPath& path) {
    const auto* text = value.get_ptr<const std::string*>();
    if (text == nullptr || !IsName(*text)) {
      faults_->push_back({path.ToPointer(), "must be a name"});
    } else if (std::find(names.begin(), names.end(), *text) != names.end()) {
      faults_->push_back({path.ToPointer(), "'" + *text + "' is listed twice"});
    }
    // A faulty element stays in the list, so that later checks report the right index.
    names.push_back(text == nullptr ? "" : *text);
  });
  return names;
}

size_t ObjectReader::Choice(std::string_view key, std::span<const std::string_view> choices,
                            std::optional<size_t> fallback) {
  const Json* field = fallback ? Find(key) : Require(key);
  if (field == nullptr) return fallback.value_or(0);
  if (const auto* text = field->get_ptr<const std::string*>(); text != nullptr) {
    const auto found = std::find(choices.begin(), choices.end(), *text);
    if (found != choices.end()) return static_cast<size_t>(found - choices.begin());
  }
  std::string problem = "must be one of";
  for (const std::string_view choice : choices) problem += " '" + std::string(choice) + "'";
  AddFault(key, problem);
  return fallback.value_or(0);
}

void ObjectReader::RejectUnknown() {
  if (!ok_) return;
  for (const auto& [key, value] : value_.items()) {
    if (std::find(known_.begin(), known_.end(), key) == known_.end()) AddFault(key, "unknown field");
  }
}

}  // namespace cornelplank::config
