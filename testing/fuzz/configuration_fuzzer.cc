// Fuzzes the operator's configuration: any text is either parsed or refused
// with a reason, and the lookups find every parsed entry.

#include "platform/dialect.h"
#include "testing/fuzz/fuzz_check.h"

namespace {

void CheckLookups(const keelbridge::SiteConfiguration& configuration) {
  for (const keelbridge::Queue& queue : configuration.queues) {
    fuzz::Require(queue.max_attempts >= 1, "a task has at least one attempt");
    const keelbridge::Queue* named = configuration.FindQueueByName(queue.name);
    fuzz::Require(named != nullptr && named->name == queue.name,
                  "a queue is found by its name");
    const keelbridge::Queue* best =
        configuration.FindQueue(queue.host, queue.path_prefix);
    fuzz::Require(best != nullptr && best->path_prefix == queue.path_prefix,
                  "the longest prefix wins");
  }
  for (const keelbridge::Pool& pool : configuration.pools)
    fuzz::Require(configuration.FindPool(pool.name) != nullptr,
                  "a pool is found by its name");
  for (const keelbridge::ClientAccount& account : configuration.accounts) {
    fuzz::Require(account.weight >= 0, "a weight is not negative");
    for (const std::string& key : account.keys) {
      const auto* owner = configuration.FindAccountByKey(key);
      fuzz::Require(owner != nullptr && owner->name == account.name,
                    "a key belongs to one account");
    }
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string text = fuzz::InputText(data, size);
  const platform::Dialect dialect;
  const auto parsed = dialect.ParseConfiguration(text);
  if (!parsed) {
    fuzz::Require(!parsed.error().message.empty(), "a refusal gives a reason");
    return 0;
  }
  fuzz::Require(parsed.value().document == text,
                "the document is kept unchanged");
  CheckLookups(parsed.value());
  return 0;
}
