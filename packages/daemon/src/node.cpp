#include "carobtide/daemon/node.hpp"

#include "control_node.hpp"
#include "edge_node.hpp"

#include <utility>

namespace carobtide {

std::unique_ptr<Node> MakeNode(NodeSettings aSettings,
                               std::unique_ptr<Dialect> aDialect)
{
  if (aSettings.mRole == NodeRole::Edge) {
    return std::make_unique<EdgeNode>(std::move(aSettings),
                                      std::move(aDialect));
  }
  return std::make_unique<ControlNode>(std::move(aSettings),
                                       std::move(aDialect));
}

} // namespace carobtide
