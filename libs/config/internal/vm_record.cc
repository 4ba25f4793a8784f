#include "libs/config/internal/vm_record.h"

#include <array>
#include <limits>
#include <set>
#include <utility>

#include "libs/config/internal/json_reader.h"

namespace cornelplank::config {
namespace {

constexpr std::array<std::string_view, 2> kStates = {"live", "leaving"};

VmRecord ReadVm(const Json& value, const JsonPath& path, Faults* faults) {
  ObjectReader reader(value, path, faults);
  VmRecord vm;
  vm.id = reader.RequiredName("id");
  vm.partner = reader.RequiredName("partner");
  vm.region = reader.RequiredName("region");
  vm.zone = reader.RequiredName("zone");
  vm.rpc = reader.RequiredAddress("rpc");
  vm.http = reader.RequiredAddress("http");
  vm.incarnation = reader.Unsigned("incarnation");
  vm.state = static_cast<VmState>(reader.Choice("state", kStates, std::nullopt));
  return vm;
}

}  // namespace

std::optional<VmList> ParseVmList(std::string_view json, ConfigReason* reason, UnusableVmRecords* unusable) {
  const auto value = ParseJson(json, reason);
  if (!value) return std::nullopt;
  Faults faults;
  UnusableVmRecords left_out;
  const JsonPath root;
  ObjectReader reader(*value, root, &faults);
  VmList list;
  list.age = std::chrono::milliseconds{
      reader.Integer("age_ms", std::nullopt, 0, std::numeric_limits<int32_t>::max())};
  std::set<std::string> ids;
  ForEachElement(&reader, "vms", true, &faults, [&](const Json& element, const JsonPath& path) {
    const size_t faults_before = left_out.faults.size();
    VmRecord vm = ReadVm(element, path, &left_out.faults);
    if (!vm.id.empty() && !ids.insert(vm.id).second) {
      left_out.faults.push_back({path.ToPointer(), "VM '" + vm.id + "' is listed twice"});
    }
    if (left_out.faults.size() == faults_before) {
      list.vms.push_back(std::move(vm));
    } else if (vm.id.empty()) {
      left_out.unnamed = true;
    } else {
      left_out.ids.insert(std::move(vm.id));
    }
  });
  std::erase_if(list.vms, [&](const VmRecord& vm) { return left_out.ids.contains(vm.id); });
  if (unusable != nullptr) *unusable = std::move(left_out);
  if (faults.empty()) return list;
  base::SetReason(reason, ConfigCode::kMalformed, faults.front().Text());
  return std::nullopt;
}

std::string WriteVmList(const VmList& list) {
  Json vms = Json::array();
  for (const VmRecord& vm : list.vms) {
    vms.push_back({{"id", vm.id},
                   {"partner", vm.partner},
                   {"region", vm.region},
                   {"zone", vm.zone},
                   {"rpc", vm.rpc},
                   {"http", vm.http},
                   {"incarnation", vm.incarnation},
                   {"state", kStates[static_cast<size_t>(vm.state)]}});
  }
  const Json value = {{"age_ms", list.age.count()}, {"vms", std::move(vms)}};
  return value.dump();
}

}  // namespace cornelplank::config
