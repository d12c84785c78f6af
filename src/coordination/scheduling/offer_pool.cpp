#include "coordination/scheduling/offer_pool.h"

#include <utility>

namespace saddleslip::coordination {

namespace {

constexpr double kOfferLifetimeRounds = 2.5;
// Bounds the pool's memory if controllers send offers faster than they expire.
constexpr std::size_t kMaxPooledOffers = 4096;

}  // namespace

void OfferPool::add(const protocol::Offers& offers, base::Time now) {
  const base::Time expires_at =
      base::after(now, settings_.tuning.round_period * kOfferLifetimeRounds);
  for (const protocol::Offer& offer : offers.offers) {
    PooledOffer pooled{offer.job, {}, expires_at};
    for (const auto& [first, count] : offer.ranges) pooled.ranges.push_back({first, count});
    offers_.push_back(std::move(pooled));
  }
  while (offers_.size() > kMaxPooledOffers) offers_.pop_front();
}

void OfferPool::expire(base::Time now) {
  std::erase_if(offers_, [&](const PooledOffer& offer) { return offer.expires_at < now; });
}

}  // namespace saddleslip::coordination
