#include "keelbridge/accounts/account_shares.h"

namespace keelbridge {

void AccountShares::Update(const AccountUsage& usage,
                           const ResourceTotals& capacity,
                           const absl::flat_hash_set<AccountId>& waiting) {
  const AccountId count = usage.size();
  std::vector<double> weighted_shares(static_cast<size_t>(count));
  double total_weight = 0;
  for (AccountId id = kNoAccount + 1; id < count; ++id) {
    const double share = usage.WeightedShare(id, capacity);
    weighted_shares[static_cast<size_t>(id)] = share;
    if (share > 0 || waiting.contains(id)) total_weight += usage.WeightOf(id);
  }
  exceeds_.assign(static_cast<size_t>(count), false);
  // An account is entitled to its weight divided by the total weight, so its
  // weighted share is compared with the inverse of the total weight.
  for (AccountId id = kNoAccount + 1; id < count; ++id) {
    const auto index = static_cast<size_t>(id);
    exceeds_[index] = weighted_shares[index] * total_weight > 1;
  }
}

bool AccountShares::Exceeds(AccountId account) const {
  const auto index = static_cast<size_t>(account);
  return index < exceeds_.size() && exceeds_[index];
}

}  // namespace keelbridge
