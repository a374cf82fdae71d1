#include "vm_list.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <boost/leaf/result.hpp>

#include <string>
#include <utility>

namespace bronzering {

namespace {

auto StringField(const boost::json::object& aObject, std::string_view aName) -> std::string
{
  const auto* value = aObject.if_contains(boost::json::string_view(aName.data(), aName.size()));
  if (value == nullptr || !value->is_string()) {
    return {};
  }
  const auto& text = value->get_string();
  return std::string(text.data(), text.size());
}

} // namespace

auto ParseVmList(std::string_view aText) -> outcome<std::vector<vm_entry>>
{
  auto error = boost::system::error_code();
  const auto document =
    boost::json::parse(boost::json::string_view(aText.data(), aText.size()), error);
  const auto* list = error ? nullptr : document.if_array();
  if (list == nullptr) {
    return boost::leaf::new_error(malformed_input{ "the VM list is not a JSON array" });
  }

  auto entries = std::vector<vm_entry>();
  for (const auto& item : *list) {
    if (!item.is_object()) {
      return boost::leaf::new_error(
        malformed_input{ "an entry of the VM list is not a JSON object" });
    }
    const auto& fields = item.get_object();
    const auto role = kProcessRoleNames.Find(StringField(fields, "role"));
    const auto state = kVmStateNames.Find(StringField(fields, "state"));
    if (!role || !state) {
      continue;
    }
    entries.push_back({ StringField(fields, "vm"),
                        *role,
                        StringField(fields, "availability_zone"),
                        StringField(fields, "endpoint"),
                        StringField(fields, "address"),
                        *state });
  }
  return entries;
}

} // namespace bronzering
