// Proves that the umbrella headers compile together.
#include "carobtide/base.hpp"
#include "carobtide/bundle.hpp"
#include "carobtide/consensus.hpp"
#include "carobtide/ledger.hpp"
#include "carobtide/placement.hpp"
#include "carobtide/routing.hpp"
#include "carobtide/settings.hpp"
#include "carobtide/transport.hpp"
