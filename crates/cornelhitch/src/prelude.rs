//! Commonly used types, for glob imports.

pub use cornelhitch_node::node::Node;
pub use cornelhitch_node::socket::Sockets;
pub use cornelhitch_planner::Planner;
pub use cornelhitch_settings::prelude::*;
pub use cornelhitch_target::client::Client;
pub use cornelhitch_types::prelude::*;
