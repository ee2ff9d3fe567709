//! Versions of the software of replicas, encoded beside the list of their records.

use std::collections::BTreeMap;

use railtack_serving::{ReplicaRecord, SoftwareVersion};
use speedy::{Context, Readable, Reader, Writable, Writer};

/// Replicas of a list that run one version. Those that report none are in no group.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct SoftwareGroup {
    version: SoftwareVersion,
    /// Positions in the list.
    positions: Vec<u32>,
}

impl SoftwareGroup {
    /// Groups the records of a list.
    pub fn of_records<'a>(records: impl Iterator<Item = &'a ReplicaRecord>) -> Vec<Self> {
        let mut groups: BTreeMap<&SoftwareVersion, Vec<u32>> = BTreeMap::new();
        for (position, record) in (0..).zip(records) {
            if record.software.is_reported() {
                groups.entry(&record.software).or_default().push(position);
            }
        }
        let groups = groups.into_iter().map(|(version, positions)| Self {
            version: version.clone(),
            positions,
        });
        groups.collect()
    }

    /// Sets the versions of the records of a list. Positions beyond its end are ignored.
    pub fn assign(groups: &[Self], records: &mut [&mut ReplicaRecord]) {
        for group in groups {
            for position in &group.positions {
                if let Some(record) = records.get_mut(*position as usize) {
                    record.software = group.version.clone();
                }
            }
        }
    }
}

/// Records that are encoded with the versions of their software.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedRecords(pub Vec<ReplicaRecord>);

impl<C: Context> Writable<C> for VersionedRecords {
    fn write_to<T: ?Sized + Writer<C>>(&self, writer: &mut T) -> Result<(), C::Error> {
        self.0.write_to(writer)?;
        SoftwareGroup::of_records(self.0.iter()).write_to(writer)
    }
}

impl<'a, C: Context> Readable<'a, C> for VersionedRecords {
    fn read_from<R: Reader<'a, C>>(reader: &mut R) -> Result<Self, C::Error> {
        let mut records = Vec::<ReplicaRecord>::read_from(reader)?;
        let groups = Vec::<SoftwareGroup>::read_from(reader)?;
        let mut listed: Vec<&mut ReplicaRecord> = records.iter_mut().collect();
        SoftwareGroup::assign(&groups, &mut listed);
        Ok(Self(records))
    }
}
