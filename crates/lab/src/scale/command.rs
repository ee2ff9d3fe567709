//! `railtack-lab scale`.

use error_stack::Report;

use crate::{
    LabError,
    scale::{Slope, cluster, decisions, homes, state},
};

/// Measures one slope, or all of them if `None`.
pub async fn run(slope: Option<Slope>) -> Result<(), Report<LabError>> {
    let slopes = slope.map_or(Slope::ALL.to_vec(), |slope| vec![slope]);
    for slope in slopes {
        println!("== {}", slope.name());
        match slope {
            Slope::Decision => decisions::decisions(),
            Slope::Homes => homes::homes(),
            Slope::Index => decisions::index(),
            Slope::Configuration => state::configuration(),
            Slope::Claims => state::claims(),
            Slope::Polls => cluster::polls().await?,
            Slope::Commits => cluster::commits().await?,
            Slope::Overhead => cluster::overhead().await?,
        }
    }
    Ok(())
}
