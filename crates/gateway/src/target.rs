//! Target discovery, load balancing and request dispatch.

pub mod balance;
pub mod cold;
pub mod crash;
pub mod departure;
pub mod directory;
pub mod evacuation;
pub mod hash;
pub mod limits;
pub mod meter;
pub mod permit;
pub mod pool;
pub mod prefix;
pub mod program;
pub mod room;
pub mod send;
pub mod version;
pub mod window;
